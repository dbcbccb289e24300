//! Relays that stop and exit while clients or other relays still wait for them.

#![allow(clippy::unwrap_used, missing_docs)]

mod relays;

use ctl::fleet::Signal;
use ctl::rig::probe::wait_until;
use hyper::StatusCode;
use platform::name;
use relays::{Bench, KEY, TIMEOUT, run};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stub::caller::{
    ClientRequest, Connection, Kind, RequestRecord, ResponseOutcome, USUAL, unsent,
};
use stub::config::{self, CHAIN, HOST, MODEL, PLAIN, StageService};
use stub::runner::{EVENTS, Runner, answer, event};
use stub::server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time that a client waits for its response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
fn request(id: &str, kind: Kind) -> ClientRequest {
    ClientRequest {
        id: id.to_owned(),
        kind,
        key: KEY.to_owned(),
        timeout: CLIENT_TIMEOUT,
        body: USUAL,
        parts: &[],
    }
}

/// The text of a complete and successful response.
fn expected(request: &ClientRequest) -> String {
    match request.kind.streams() {
        true => (1..=EVENTS).map(|one| event(&request.id, one)).collect(),
        false => answer(&request.id),
    }
}

fn is_whole(record: &RequestRecord) -> bool {
    matches!(&record.outcome, ResponseOutcome::Whole { status: 200, text, .. }
        if *text == expected(&record.request))
}

/// The text of a request without a body to the route of this kind, up to the blank line.
fn head(id: &str, route: &str) -> String {
    let (id_name, key, deadline) = (name::ATTEMPT_ID, name::API_KEY, name::DEADLINE);
    let milliseconds = CLIENT_TIMEOUT.as_millis();
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\n{id_name}: {id}\r\n{key}: {KEY}\r\n\
         {deadline}: {milliseconds}\r\nContent-Length: 0\r\n"
    )
}

/// Size of a long response, in bytes.
const LONG_BYTES: usize = 100_000;
/// Receive buffer of a slow client, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

async fn connect_slowly(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Starts a runner whose responses are long and begin after a while. Returns its address, and the number of
/// requests that it has got.
async fn start_long_runner(time: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = server::listen().await.unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    server::spawn(listener, move |request| {
        count.fetch_add(1, Ordering::SeqCst);
        async move {
            sleep(time).await;
            let id = request.headers().get(name::ATTEMPT_ID).cloned();
            let mut answer = server::complete(StatusCode::OK, vec![b'x'; LONG_BYTES]);
            if let Some(id) = id {
                answer.headers_mut().insert(name::SEAL, id);
            }
            Ok(answer)
        }
    });
    (address, requests)
}

/// Guards against the loss of the end of a response whose client reads it only after the process has exited.
#[test]
fn exit_before_client_reads() {
    run(async {
        let mut bench = Bench::start("relay_stops_late").await;
        let (runner, _) = start_long_runner(Duration::ZERO).await;
        bench.list("long-0", PLAIN, runner);
        let address = bench.relay("relay-1", 1.0, 3.0).await;
        let mut client = connect_slowly(address).await;
        bench.fleet.signal("relay-1", Signal::Terminate).unwrap();
        let text = head("late", "safe") + "\r\n";
        client.write_all(text.as_bytes()).await.unwrap();
        let status = bench.exit("relay-1").await;
        assert!(status.success(), "{status}");
        let mut bytes = Vec::new();
        let read = timeout(TIMEOUT, client.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes);
        let body = text.split_once("\r\n\r\n").unwrap().1;
        assert_eq!(body.len(), LONG_BYTES, "{read:?}");
    });
}

/// Grace period of a process that is stopped as soon as it has started, in seconds.
const SHORT_GRACE_S: f64 = 2.0;
/// Clients of such a process.
const EARLY_CLIENTS: usize = 8;

/// Sends one request after the other until the process accepts no more, and returns their records.
async fn send_until_closed(address: SocketAddr, client: String) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    while let Some(mut connection) = Connection::open(address).await {
        while connection.is_open().await {
            let number = records.len();
            let kind = [Kind::Safe, Kind::Stream][number % 2];
            let request = request(&format!("{client}x{number}"), kind);
            records.push(connection.send(request).await);
        }
    }
    records
}

/// Guards against requests that a process passes on to a runner and does not answer because the signal to stop
/// arrives while it starts.
#[test]
fn exit_after_start() {
    run(async {
        let mut bench = Bench::start("relay_stops_start").await;
        bench.runner(PLAIN).await;
        bench.runner(MODEL).await;
        let mut passed_on = 0;
        for round in 0..ROUNDS {
            let relay = format!("relay-{round}");
            let address = bench.start_relay(&relay, 1.0, SHORT_GRACE_S).listen;
            let clients = (0..EARLY_CLIENTS).map(|client| {
                tokio::spawn(send_until_closed(address, format!("{round}x{client}")))
            });
            let clients: Vec<_> = clients.collect();
            sleep(STEP * u32::try_from(round).unwrap()).await;
            bench.fleet.signal(&relay, Signal::Terminate).unwrap();
            let status = bench.exit(&relay).await;
            assert!(status.success(), "{status}");
            for client in clients {
                let runs = bench.log.runs();
                for record in client.await.unwrap() {
                    if runs.iter().any(|run| run.id == record.request.id) {
                        passed_on += 1;
                        assert!(is_whole(&record), "{record:?}");
                    }
                }
            }
        }
        println!("{passed_on} requests passed on and answered completely");
        assert!(passed_on > 0);
    });
}

/// Grace period of a process that a request reaches late, or that waits for another relay, in seconds.
const LONG_GRACE_S: f64 = 6.0;
/// Time from the signal to stop until the rest of the request's head arrives: after connections were closed, and
/// before requests are refused.
const REST_DELAY: Duration = Duration::from_millis(4_100);
/// Time that its runner takes, longer than the process has left.
const RUNNER_TIME: Duration = Duration::from_millis(2_000);

/// Stops a process when a request has arrived but for its last bytes, which follow long after connections were
/// closed.
async fn exit_under_late_rest(name: &str, text: &str, rest: &str) {
    let mut bench = Bench::start(name).await;
    let (runner, requests) = start_long_runner(RUNNER_TIME).await;
    bench.list("long-0", PLAIN, runner);
    let address = bench.relay("relay-1", 1.0, LONG_GRACE_S).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(text.as_bytes()).await.unwrap();
    bench.fleet.signal("relay-1", Signal::Terminate).unwrap();
    sleep(REST_DELAY).await;
    // The connection may have been closed.
    drop(client.write_all(rest.as_bytes()).await);
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, client.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes);
    let status = bench.exit("relay-1").await;
    assert!(status.success(), "{status}");
    let is_whole = text.starts_with("HTTP/1.1 200") && text.len() > LONG_BYTES;
    let is_refused = text.starts_with("HTTP/1.1 503");
    let requests = requests.load(Ordering::SeqCst);
    assert!(
        is_whole || is_refused || requests == 0,
        "{requests} passed on, {read:?}: {text:?}"
    );
}

/// Guards against a request that is read and passed on long after connections were closed, since the first bytes of
/// its head had arrived before, and then cut off at the end of the grace period.
#[test]
fn exit_under_late_head() {
    run(async {
        exit_under_late_rest("relay_stops_head", &head("late", "safe"), "\r\n").await;
    });
}

/// Guards against the same for a request whose body is not complete when connections are closed.
#[test]
fn exit_under_late_body() {
    run(async {
        let head = head("late", "safe").replace("Content-Length: 0", "Content-Length: 2");
        exit_under_late_rest("relay_stops_body", &(head + "\r\nx"), "y").await;
    });
}

/// Processes that are stopped in turn, and clients of each.
const ROUNDS: usize = 4;
const CLIENTS: usize = 60;
/// Time between the requests of two clients.
const STEP: Duration = Duration::from_millis(1);
/// Grace period in seconds. Connections are closed after a half of it at the latest.
const GRACE_S: f64 = 3.0;

/// Stops a process while clients send: on connections that have carried a request before, on those that have not,
/// and on new ones. Returns the number of requests that runners got.
async fn exit_under_requests(bench: &mut Bench, round: usize) -> usize {
    let relay = format!("relay-{round}");
    let address = bench.relay(&relay, 1.0, GRACE_S).await;
    let mut connections = Vec::new();
    for number in 0..CLIENTS {
        let mut connection = match number % 4 {
            3 => None,
            _ => Connection::open(address).await,
        };
        if let (0 | 1, Some(connection)) = (number % 4, &mut connection) {
            let early = request(&format!("early{round}x{number}"), Kind::Safe);
            assert!(is_whole(&connection.send(early).await));
        }
        connections.push((number, connection));
    }
    bench.fleet.signal(&relay, Signal::Terminate).unwrap();
    let closing_at = Instant::now() + Duration::from_secs_f64(GRACE_S / 2.0);
    let clients = connections.into_iter().map(|(number, connection)| {
        tokio::spawn(async move {
            let offset = STEP * u32::try_from(number).unwrap();
            sleep_until(closing_at + offset - STEP * 30).await;
            let kind = [Kind::Safe, Kind::Stream][number / 4 % 2];
            let request = request(&format!("late{round}x{number}"), kind);
            let connection = match connection {
                Some(connection) => Some(connection),
                None => Connection::open(address).await,
            };
            match connection {
                Some(mut connection) => connection.send(request).await,
                None => unsent(request, address),
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let status = bench.exit(&relay).await;
    assert!(status.success(), "{status}");
    let mut passed_on = 0;
    for client in clients {
        let record = client.await.unwrap();
        let runs = bench.log.runs();
        if !runs.iter().any(|run| run.id == record.request.id) {
            continue;
        }
        passed_on += 1;
        assert!(is_whole(&record), "{record:?}");
    }
    passed_on
}

/// Guards against requests that a process passes on to a runner and does not answer because it exits.
#[test]
fn exit_under_late_requests() {
    run(async {
        let mut bench = Bench::start("relay_stops_requests").await;
        bench.runner(PLAIN).await;
        bench.runner(MODEL).await;
        let mut passed_on = 0;
        for round in 0..ROUNDS {
            passed_on += exit_under_requests(&mut bench, round).await;
        }
        let sent = ROUNDS * CLIENTS;
        println!("{passed_on} of {sent} requests passed on and answered completely");
    });
}

/// A service whose calls end between the time at which an idle process exits and the end of its grace period.
static SLOW_SERVICE: StageService = StageService {
    name: CHAIN[0],
    batch: 8,
    call_ms: (1_800, 5),
    slots: 1,
    room: 500_000,
    result_bytes: 8_000,
    handle_s: 4,
};

/// The configuration in which the first service of the chain is the slow one.
fn slow_configuration() -> Value {
    let mut configuration = config::chain_configuration(1, &[KEY.to_owned()]);
    let services = configuration["services"].as_array_mut().unwrap();
    let slow = services
        .iter_mut()
        .find(|one| one["name"] == SLOW_SERVICE.name);
    slow.unwrap()["pieces"]["call_ms"] = SLOW_SERVICE.call_ms.0.into();
    configuration
}

/// Stops one of two relays while the first one has pieces computed for a request at the second one.
async fn exit_under_order(test: &str, stopped: &str, grace_s: f64) {
    let mut bench = Bench::start(test).await;
    bench.store.configure(&slow_configuration());
    bench.runner(MODEL).await;
    let slow = Runner::start_stage("slow-0", &SLOW_SERVICE, &bench.log);
    let slow = slow.await.unwrap();
    bench.list("slow-0", SLOW_SERVICE.name, slow.address());
    // The first relay owns all cells.
    bench.relay("relay-1", 1.0, grace_s).await;
    let other = bench.relay("relay-2", 1e-9, grace_s).await;
    let mut connection = Connection::open(other).await.unwrap();
    let sent = tokio::spawn(async move { connection.send(request("slow", Kind::First)).await });
    let log = bench.log.clone();
    let pieces = || log.results().iter().filter(|one| one.id == "slow").count();
    let begun = wait_until("the call has begun", || async { pieces() > 0 });
    begun.await.unwrap();
    bench.fleet.signal(stopped, Signal::Terminate).unwrap();
    let record = sent.await.unwrap();
    let status = bench.exit(stopped).await;
    assert!(is_whole(&record), "{} pieces, {record:?}", pieces());
    let expected_pieces = Kind::First.pieces().iter().sum::<u64>();
    assert_eq!(pieces() as u64, expected_pieces);
    assert!(status.success(), "{status}");
}

/// Guards against the loss of pieces that a stopping relay computes for another one: the other relay's request
/// fails, or all of them are computed again.
#[test]
fn exit_under_order_of_peer() {
    run(exit_under_order("relay_stops_orders", "relay-1", GRACE_S));
}

/// Guards against a request that a stopping relay loses because another one computes its pieces.
#[test]
fn exit_under_order_at_peer() {
    let test = exit_under_order("relay_stops_ordered", "relay-2", LONG_GRACE_S);
    run(test);
}
