//! What counts as a lost request in the soak of relays that are stopped.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::torture::relays::stops::account::{Account, Fate, Moment};
use ctl::torture::relays::stops::balancer::Balancer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stub::caller::{ClientRequest, Connection, Kind, Reading, RequestRecord, ResponseOutcome};
use stub::runner::{Log, Pace, Runner};
use stub::{Micros, now};
use tokio::time::sleep;

const PACE: Pace = Pace { seed: 1, slots: 4 };
const SECOND: Micros = 1_000_000;

fn request(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.to_owned(),
        kind: Kind::Stream,
        key: String::new(),
        timeout: Duration::from_secs(9),
        body: "{}",
        parts: &[],
    }
}

fn broken(text: &str) -> ResponseOutcome {
    let text = text.to_owned();
    ResponseOutcome::Broken { status: 200, text }
}

fn refused() -> ResponseOutcome {
    ResponseOutcome::Whole {
        status: 503,
        proven: false,
        has_retry_after: true,
        text: String::new(),
    }
}

fn whole(text: String) -> ResponseOutcome {
    ResponseOutcome::Whole {
        status: 200,
        proven: true,
        has_retry_after: false,
        text,
    }
}

/// A relay that does not exist, and a runner that works on the request `running` and whose connection for the
/// request `given-up` was closed.
struct Scene {
    balancer: Arc<Balancer>,
    entry: SocketAddr,
    log: Log,
    _runner: Runner,
}

impl Scene {
    async fn new() -> Self {
        let log = Log::default();
        let runner = Runner::start("model-0", &log).await.unwrap();
        runner.set_pace(PACE);
        let entry = "127.0.0.1:9".parse().unwrap();
        let balancer = Arc::new(Balancer::default());
        balancer.add("relay-0", entry, entry);
        send(&runner, "given-up", Duration::from_millis(20)).await;
        let address = runner.address();
        tokio::spawn(async move {
            let mut connection = Connection::open(address).await.unwrap();
            let max_wait = Duration::from_secs(9);
            let pause = Duration::ZERO;
            let reading = Reading { max_wait, pause };
            connection.send_patiently(request("running"), reading).await
        });
        let has_end = |id: &str, has_end: bool| {
            let mut runs = log.runs().into_iter();
            runs.any(|run| run.id == id && run.end.is_some() == has_end)
        };
        while !has_end("given-up", true) || !has_end("running", false) {
            sleep(Duration::from_millis(5)).await;
        }
        Self {
            balancer,
            entry,
            log,
            _runner: runner,
        }
    }

    fn fate(&self, id: &str, sent: Micros, done: Micros, outcome: ResponseOutcome) -> Fate {
        let account = Account {
            pace: PACE,
            balancer: &self.balancer,
            log: &self.log,
        };
        let record = RequestRecord {
            request: request(id),
            entry: self.entry,
            sent,
            done,
            outcome,
        };
        account.settle(&[record])[id]
    }
}

async fn send(runner: &Runner, id: &str, wait: Duration) {
    let mut connection = Connection::open(runner.address()).await.unwrap();
    let pause = Duration::ZERO;
    let reading = Reading {
        max_wait: wait,
        pause,
    };
    let record = connection.send_patiently(request(id), reading).await;
    assert_eq!(record.outcome, ResponseOutcome::Silent);
}

/// Guards against losses at relays that are not stopped, and wrong responses, that go unnoticed.
#[tokio::test]
async fn while_serving() {
    let scene = Scene::new().await;
    let sent = now();
    let fate = |id, after, outcome| scene.fate(id, sent, sent + after, outcome);
    let lost = Fate::Lost(Moment::Serving);
    assert_eq!(fate("given-up", SECOND, broken("")), lost);
    assert_eq!(fate("given-up", SECOND, ResponseOutcome::Closed), lost);
    assert_eq!(fate("given-up", 9 * SECOND, broken("")), Fate::Late);
    assert_eq!(
        fate("given-up", SECOND, ResponseOutcome::Silent),
        Fate::Left
    );
    assert_eq!(fate("given-up", SECOND, broken("id: 2")), Fate::Wrong);
    assert_eq!(fate("given-up", SECOND, whole(String::new())), Fate::Wrong);
    let all = PACE.stream("given-up");
    assert_eq!(fate("given-up", SECOND, whole(all)), Fate::Whole);
    assert_eq!(fate("given-up", SECOND, refused()), Fate::FalselyRefused);
    assert_eq!(fate("unknown", SECOND, refused()), Fate::Refused);
}

/// Guards against requests that no runner has, and whose connection ends long after they were sent, that go unnoticed.
#[tokio::test]
async fn ended_late_unread() {
    let scene = Scene::new().await;
    let sent = now();
    let fate = |after, outcome| scene.fate("unknown", sent, sent + after, outcome);
    let serving = Fate::Lost(Moment::Serving);
    let slack = SECOND / 5;
    assert_eq!(fate(slack, ResponseOutcome::Closed), Fate::Unread);
    assert_eq!(fate(slack + 1, ResponseOutcome::Closed), serving);
    assert_eq!(fate(slack, broken("")), Fate::Unread);
    assert_eq!(fate(slack + 1, broken("")), serving);
    assert_eq!(fate(9 * SECOND, ResponseOutcome::Closed), Fate::Late);
    let unsent = ResponseOutcome::Unreachable;
    assert_eq!(fate(slack + 1, unsent), Fate::Unread);
    scene.balancer.record_stop(scene.entry);
    let stopped = scene.balancer.instance(scene.entry).unwrap().stopped;
    let at = |seconds: u64| stopped.unwrap() + seconds * SECOND;
    let fate = |sent, done| scene.fate("unknown", sent, done, ResponseOutcome::Closed);
    let in_progress = Fate::Lost(Moment::InProgress);
    assert_eq!(fate(at(0) - 1, at(7)), in_progress);
    assert_eq!(fate(at(4), at(5)), Fate::Lost(Moment::Closing));
}

/// Guards against an excuse for losses around a stop that covers more than runners that were still at work at the
/// end of the grace period on requests that were sent early enough.
#[tokio::test]
async fn around_stop() {
    let scene = Scene::new().await;
    scene.balancer.record_stop(scene.entry);
    let stopped = scene
        .balancer
        .instance(scene.entry)
        .unwrap()
        .stopped
        .unwrap();
    let fate = |id, sent, done| scene.fate(id, sent, done, broken(""));
    let at = |seconds: u64| stopped + seconds * SECOND;
    let before = stopped - SECOND;
    assert_eq!(fate("running", before, at(7)), Fate::Unfinished);
    assert_eq!(fate("running", at(3), at(7)), Fate::Unfinished);
    let closing = Fate::Lost(Moment::Closing);
    assert_eq!(fate("running", at(3) + 1, at(7)), closing);
    let in_progress = Fate::Lost(Moment::InProgress);
    assert_eq!(fate("given-up", before, at(7)), in_progress);
    assert_eq!(fate("running", before, at(2)), in_progress);
    assert_eq!(fate("given-up", at(1), at(2)), Fate::Lost(Moment::Stopping));
    let serving = Fate::Lost(Moment::Serving);
    assert_eq!(fate("running", before, stopped - 1), serving);
}
