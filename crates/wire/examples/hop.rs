//! Measures the round-trip time between two ends in one process and prints a line of JSON.
//!
//! `hop link` sends frames over a link and `hop nng` over raw nng request and reply. `hop idle`
//! and `hop news` measure no round trips: they show the threads and memory of an idle process and
//! of one with a publisher and a subscriber.

use bytes::Bytes;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::pubsub::{Publisher, Subscriber};
use wire::{Frame, Key, Listener};

type Outcome<T> = Result<T, Box<dyn Error>>;

const WARM_UP_TRIPS: usize = 2_000;
const ROUND_TRIPS: usize = 50_000;
const PAYLOAD_BYTES: usize = 512;
const WORKER_THREADS: usize = 2;

fn main() -> Outcome<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let mode = std::env::args().nth(1).unwrap_or_default();
    let times = match mode.as_str() {
        "idle" => Vec::new(),
        "link" => runtime.block_on(link())?,
        "nng" => nng()?,
        "news" => return runtime.block_on(pubsub()),
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
    let (echo, mut incoming) = listener.accept().await?;
    tokio::spawn(async move {
        while let Ok(Some(frame)) = incoming.recv().await {
            if echo.send(frame).await.is_err() {
                break;
            }
        }
    });
    let client = tokio::spawn(async move {
        let body = Bytes::from(vec![7; PAYLOAD_BYTES]);
        let mut times = Vec::with_capacity(WARM_UP_TRIPS + ROUND_TRIPS);
        for _ in 0..WARM_UP_TRIPS + ROUND_TRIPS {
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
    let body = vec![7; PAYLOAD_BYTES];
    let mut times = Vec::with_capacity(WARM_UP_TRIPS + ROUND_TRIPS);
    for _ in 0..WARM_UP_TRIPS + ROUND_TRIPS {
        let start = Instant::now();
        client.send(body.as_slice()).map_err(|(_, error)| error)?;
        client.recv()?;
        times.push(start.elapsed());
    }
    Ok(times)
}

async fn pubsub() -> Outcome<()> {
    let publisher = Publisher::bind(loopback(), Key::new("key"))?;
    let (subscriber, mut notifications) = Subscriber::new(Key::new("key"))?;
    subscriber.dial(publisher.address())?;
    while notifications.try_recv().is_err() {
        publisher.publish(wire::pubsub::Notification::Head { revision: 1 })?;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    report("news", Vec::new())
}

fn report(mode: &str, mut times: Vec<Duration>) -> Outcome<()> {
    times.drain(..WARM_UP_TRIPS.min(times.len()));
    times.sort_unstable();
    let percentile = |percent: usize| {
        let time = times.get(times.len() * percent / 100);
        time.map_or("null".to_owned(), |time| {
            format!("{:.1}", time.as_secs_f64() * 1e6)
        })
    };
    println!(
        r#"{{"mode":"{mode}","round_trips":{},"p50_us":{},"p99_us":{},"threads":{},"resident_kb":{}}}"#,
        times.len(),
        percentile(50),
        percentile(99),
        status("Threads:")?,
        status("VmRSS:")?,
    );
    Ok(())
}

/// Reads a numeric field of this process from /proc.
fn status(field: &str) -> Outcome<u64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    Ok(number.ok_or("no such field")?.parse()?)
}
