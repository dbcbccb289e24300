//! Measures one hop between two ends in one process and prints a line of JSON.
//!
//! `hop link` sends frames over a link, `hop nng` over raw nng request and reply, and `hop news`
//! only holds a publisher and a subscriber, to show what they cost in threads and memory.

use bytes::Bytes;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::pubsub::{Publisher, Subscriber};
use wire::{Frame, Key, Listener};

type Outcome<T> = Result<T, Box<dyn Error>>;

const WARM_UP: usize = 2_000;
const ROUND_TRIPS: usize = 50_000;
const PAYLOAD: usize = 512;
const WORKERS: usize = 2;

fn main() -> Outcome<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?;
    let mode = std::env::args().nth(1).unwrap_or_default();
    let times = match mode.as_str() {
        "idle" => Vec::new(),
        "link" => runtime.block_on(link())?,
        "nng" => nng()?,
        "news" => return runtime.block_on(news()),
        _ => return Err("usage: hop idle|link|nng|news".into()),
    };
    report(&mode, times)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn link() -> Outcome<Vec<Duration>> {
    let key = Key::new("key");
    let listener: Listener = Listener::bind(loopback(), key.clone()).await?;
    let (sender, mut receiver) = wire::connect(listener.address()?, &key).await?;
    let (echo, mut heard) = listener.accept().await?;
    tokio::spawn(async move {
        while let Ok(Some(frame)) = heard.recv().await {
            if echo.send(frame).await.is_err() {
                break;
            }
        }
    });
    let client = tokio::spawn(async move {
        let body = Bytes::from(vec![7; PAYLOAD]);
        let mut times = Vec::with_capacity(WARM_UP + ROUND_TRIPS);
        for _ in 0..WARM_UP + ROUND_TRIPS {
            let body = body.clone();
            let start = Instant::now();
            sender.send(Frame::OrderDone { status: 200, body }).await?;
            receiver.recv().await?;
            times.push(start.elapsed());
        }
        Ok::<_, wire::Error>(times)
    });
    Ok(client.await??)
}

fn nng() -> Outcome<Vec<Duration>> {
    use nng::options::{Options, transport::tcp::BoundPort};
    use nng::{Protocol, Socket};

    let server = Socket::new(Protocol::Rep0)?;
    let listener = nng::Listener::new(&server, "tcp://127.0.0.1:0")?;
    let port = listener.get_opt::<BoundPort>()?;
    std::thread::spawn(move || {
        while let Ok(message) = server.recv() {
            if server.send(message).is_err() {
                break;
            }
        }
    });
    let client = Socket::new(Protocol::Req0)?;
    client.dial(&format!("tcp://127.0.0.1:{port}"))?;
    let body = vec![7; PAYLOAD];
    let mut times = Vec::with_capacity(WARM_UP + ROUND_TRIPS);
    for _ in 0..WARM_UP + ROUND_TRIPS {
        let start = Instant::now();
        client.send(body.as_slice()).map_err(|(_, error)| error)?;
        client.recv()?;
        times.push(start.elapsed());
    }
    Ok(times)
}

async fn news() -> Outcome<()> {
    let publisher = Publisher::bind(loopback(), Key::new("key"))?;
    let (subscriber, mut news) = Subscriber::new(Key::new("key"))?;
    subscriber.dial(publisher.address())?;
    while news.try_recv().is_err() {
        publisher.publish(wire::pubsub::Notification::Head { revision: 1 })?;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    report("news", Vec::new())
}

fn report(mode: &str, mut times: Vec<Duration>) -> Outcome<()> {
    times.drain(..WARM_UP.min(times.len()));
    times.sort_unstable();
    let at = |share: usize| {
        let time = times.get(times.len() * share / 100);
        time.map_or("null".to_owned(), |time| {
            format!("{:.1}", time.as_secs_f64() * 1e6)
        })
    };
    println!(
        r#"{{"mode":"{mode}","round_trips":{},"p50_us":{},"p99_us":{},"threads":{},"resident_kb":{}}}"#,
        times.len(),
        at(50),
        at(99),
        status("Threads:")?,
        status("VmRSS:")?,
    );
    Ok(())
}

/// A number of this process's entry in /proc.
fn status(field: &str) -> Outcome<u64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    Ok(number.ok_or("no such field")?.parse()?)
}
