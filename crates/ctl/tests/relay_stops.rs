//! Relays that stop and exit while clients or other relays still wait for them.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::fleet::{Fleet, Signal};
use ctl::rig::probe::wait_until;
use platform::name;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;
use stub::caller::{ClientRequest, Connection, Kind, ResponseOutcome, USUAL, is_ready};
use stub::config::{self, HOST, MODEL, PLAIN, STAGE};
use stub::runner::{EVENTS, Log, Runner, answer, event};
use stub::server;
use stub::store::{Entry, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Longer than any step takes, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a client waits for its response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Failure domain of all processes.
const DOMAIN: &str = "a";
/// Key of all clients.
const KEY: &str = "key";

/// Relays with a table service and runners.
struct Bench {
    fleet: Fleet,
    store: Store,
    log: Log,
    runners: Vec<Runner>,
}

impl Bench {
    async fn start(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
        let store = Store::start().await.unwrap();
        store.configure(&config::configuration(1, &[KEY.to_owned()]));
        Self {
            fleet: Fleet::with_programs(directory, programs.unwrap()).unwrap(),
            store,
            log: Log::default(),
            runners: Vec::new(),
        }
    }

    async fn runner(&mut self, service: &str) {
        let id = format!("{service}-0");
        let runner = Runner::start(&id, &self.log).await.unwrap();
        self.list(&id, service, runner.address());
        self.runners.push(runner);
    }

    fn list(&self, id: &str, service: &str, address: SocketAddr) {
        self.store.list(&Entry {
            id,
            service,
            address,
            domain: DOMAIN,
            started: stub::now() / 1_000,
            leaving: false,
        });
    }

    /// Starts a relay and waits until it is ready.
    async fn relay(&mut self, id: &str, weight: f64, grace_s: f64) -> SocketAddr {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let place = setting::Place {
            region: "r".to_owned(),
            domain: DOMAIN.to_owned(),
        };
        let settings = setting::Relay {
            id: id.to_owned(),
            place,
            places: Vec::new(),
            listen: any,
            ready: any,
            metrics: any,
            peers: any,
            key: "k".to_owned(),
            weight,
            memory_mb: 128,
            first_start: true,
            store: self.store.address(),
            repeats: setting::relay::RetryBound::default(),
            warmup: setting::relay::Warmup::default(),
            grace_s,
            drain_ms: 3_000.0,
            policy: setting::relay::Policies::default(),
        };
        let ready = self.fleet.relay(&settings).unwrap();
        let probe = ready.ready.unwrap();
        wait_until("the relay is ready", || is_ready(probe))
            .await
            .unwrap();
        ready.listen
    }

    /// Waits until a process has exited.
    async fn exit(&mut self, id: &str) -> ExitStatus {
        let end = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.fleet.try_wait(id).unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "{id} does not exit");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { timeout(TIMEOUT * 2, test).await.unwrap() });
}

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

/// Size of a response that its client reads late, in bytes.
const LATE_BYTES: usize = 100_000;
/// Receive buffer of that client, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

async fn connect_slowly(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Starts a runner whose responses are long, and returns its address.
async fn start_long_runner() -> SocketAddr {
    let (listener, address) = server::listen().await.unwrap();
    server::spawn(listener, |request| async move {
        let id = request.headers().get(name::ATTEMPT_ID).cloned();
        let mut answer = server::complete(hyper::StatusCode::OK, vec![b'x'; LATE_BYTES]);
        if let Some(id) = id {
            answer.headers_mut().insert(name::SEAL, id);
        }
        Ok(answer)
    });
    address
}

/// Guards against the loss of the end of a response whose client reads it only after the process has exited.
#[test]
fn exit_before_client_reads() {
    run(async {
        let mut bench = Bench::start("relay_stops_late").await;
        let runner = start_long_runner().await;
        bench.list("long-0", PLAIN, runner);
        let address = bench.relay("relay-1", 1.0, 3.0).await;
        let mut client = connect_slowly(address).await;
        bench.fleet.signal("relay-1", Signal::Terminate).unwrap();
        let (id, key, deadline) = (name::ATTEMPT_ID, name::API_KEY, name::DEADLINE);
        let text = format!(
            "POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n{id}: late\r\n{key}: {KEY}\r\n{deadline}: 3000\r\n\
             Content-Length: 0\r\n\r\n"
        );
        client.write_all(text.as_bytes()).await.unwrap();
        let status = bench.exit("relay-1").await;
        assert!(status.success(), "{status}");
        let mut bytes = Vec::new();
        let read = timeout(TIMEOUT, client.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes);
        let body = text.split_once("\r\n\r\n").unwrap().1;
        assert_eq!(body.len(), LATE_BYTES, "{read:?}");
    });
}

/// Processes that are stopped in turn, and clients of each.
const ROUNDS: usize = 4;
const CLIENTS: usize = 60;
/// Time between the requests of two clients.
const STEP: Duration = Duration::from_millis(1);
/// Grace period in seconds. Connections are closed after a half of it at the latest.
const GRACE_S: f64 = 3.0;

/// Stops a process while clients send on connections that they have opened before. Returns the number of requests
/// that runners got.
async fn exit_under_requests(bench: &mut Bench, round: usize) -> usize {
    let relay = format!("relay-{round}");
    let address = bench.relay(&relay, 1.0, GRACE_S).await;
    let mut connections = Vec::new();
    for number in 0..CLIENTS {
        let mut connection = Connection::open(address).await.unwrap();
        // Half of the connections have carried a request before.
        if number % 4 < 2 {
            let early = request(&format!("early{round}x{number}"), Kind::Safe);
            connection.send(early).await;
        }
        connections.push((number, connection));
    }
    bench.fleet.signal(&relay, Signal::Terminate).unwrap();
    let closing_at = Instant::now() + Duration::from_secs_f64(GRACE_S / 2.0);
    let clients = connections.into_iter().map(|(number, mut connection)| {
        tokio::spawn(async move {
            let offset = STEP * u32::try_from(number).unwrap();
            sleep_until(closing_at + offset - STEP * 30).await;
            let kind = [Kind::Safe, Kind::Stream][number % 2];
            connection
                .send(request(&format!("late{round}x{number}"), kind))
                .await
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
        let is_whole = matches!(&record.outcome, ResponseOutcome::Whole { status: 200, text, .. }
            if *text == expected(&record.request));
        assert!(is_whole, "{record:?}");
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

/// Factor by which a call with pieces is slowed down, so that it ends between the time at which an idle process
/// exits and the end of its grace period.
const SLOWNESS: f64 = 27.0;

/// Guards against the loss of pieces that a stopping relay computes for another one: the other relay's request
/// fails, or all of them are computed again.
#[test]
fn exit_under_order_of_peer() {
    run(async {
        let mut bench = Bench::start("relay_stops_orders").await;
        bench.runner(MODEL).await;
        bench.runner(STAGE).await;
        // The first relay owns all cells.
        bench.relay("relay-1", 1.0, GRACE_S).await;
        let other = bench.relay("relay-2", 1e-9, GRACE_S).await;
        let mut connection = Connection::open(other).await.unwrap();
        let first = connection.send(request("first", Kind::Staged)).await;
        assert!(
            matches!(first.outcome, ResponseOutcome::Whole { status: 200, .. }),
            "{first:?}"
        );
        bench.runners[1].set_slowness(SLOWNESS);
        let sent =
            tokio::spawn(async move { connection.send(request("slow", Kind::Staged)).await });
        let log = bench.log.clone();
        let pieces = || log.results().iter().filter(|one| one.id == "slow").count();
        wait_until("the call has begun", || async { pieces() > 0 })
            .await
            .unwrap();
        bench.runners[1].set_slowness(1.0);
        bench.fleet.signal("relay-1", Signal::Terminate).unwrap();
        let record = sent.await.unwrap();
        let expected_pieces = Kind::Staged.pieces().iter().sum::<u64>();
        let status = bench.exit("relay-1").await;
        let is_whole = matches!(&record.outcome, ResponseOutcome::Whole { status: 200, text, .. }
            if *text == expected(&record.request));
        assert!(is_whole, "{} pieces, {record:?}", pieces());
        assert_eq!(pieces() as u64, expected_pieces);
        assert!(status.success(), "{status}");
    });
}
