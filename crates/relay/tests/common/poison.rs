//! Clients of the staged route, next to one whose requests are faulty.

use super::faults::RunnerFaults;
use super::{Fake, body, ready, request, runner};
use relay::request::Message;
use relay::runner::Change;
use relay::{Relay, Request, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Timeout of the clients.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between two attempts of a client.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which the platform lists a runner after its exit.
pub(crate) const LISTED_AFTER_EXIT: Duration = Duration::from_millis(2_700);
/// Time that a runner takes to restart after it is no longer listed.
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time for which a request is retried; too short for a trial to become due.
pub(crate) const RETRY_PERIOD: Duration = Duration::from_secs(3);
/// Number of runners of the stage, which form one cell.
pub(crate) const STAGE_RUNNERS: usize = 8;
/// Name and body of a faulty request.
pub(crate) const POISON: &str = "poison";
/// Names and bodies of requests without faults.
pub(crate) const INNOCENT: [&str; 3] = ["one", "two", "three"];
/// Workspace of the clients.
pub(crate) const WORKSPACE: &str = "coop";

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) whole: bool,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) elapsed: Duration,
}

impl Reply {
    pub(crate) fn is_served(&self) -> bool {
        self.status == 200 && self.whole
    }
}

/// An attempt on the staged route with one piece per stage; its body is `text`.
pub(crate) fn attempt(id: &str, text: &str) -> Request {
    attempt_on("staged", id, text)
}

pub(crate) fn attempt_on(route: &str, id: &str, text: &str) -> Request {
    let request = request(id, route);
    let message = Message {
        body: text.to_owned().into(),
        ..Message::clone(&request.message)
    };
    Request {
        timeout: Some(TIMEOUT),
        pieces: vec![1, 1],
        message: Arc::new(message),
        ..request
    }
}

/// Serves an attempt until its response is complete.
pub(crate) async fn serve(relay: &Arc<Relay<Fake>>, request: Request) -> Reply {
    let begun = Instant::now();
    let answer = relay.serve(request).await;
    let retry_after = answer.retry_after;
    let (status, _, whole) = body(answer).await;
    Reply {
        status,
        whole,
        retry_after,
        elapsed: begun.elapsed(),
    }
}

/// Serves an attempt in a separate task, and returns once the pieces of its first stage have been sent.
pub(crate) async fn send(relay: &Arc<Relay<Fake>>, request: Request) -> JoinHandle<Reply> {
    let relay = relay.clone();
    let attempt = tokio::spawn(async move { serve(&relay, request).await });
    sleep(Duration::from_millis(1)).await;
    attempt
}

pub(crate) async fn reply(attempt: JoinHandle<Reply>) -> Reply {
    attempt.await.expect("no panic")
}

pub(crate) async fn replies(attempts: impl IntoIterator<Item = JoinHandle<Reply>>) -> Vec<Reply> {
    let mut replies = Vec::new();
    for attempt in attempts {
        replies.push(reply(attempt).await);
    }
    replies
}

/// Starts attempts that occupy all runners of the stage with a call each.
pub(crate) async fn occupy(relay: &Arc<Relay<Fake>>, round: usize) -> Vec<JoinHandle<Reply>> {
    let mut busy = Vec::new();
    for number in 0..STAGE_RUNNERS {
        let id = format!("busy-{round}-{number}");
        busy.push(send(relay, attempt(&id, &id)).await);
    }
    busy
}

/// Starts innocent attempts and then others while all runners are busy, so that their pieces share a call.
/// Returns the replies to the innocent attempts and the tasks of the others.
pub(crate) async fn share_call(
    relay: &Arc<Relay<Fake>>,
    round: usize,
    others: Vec<Request>,
) -> (Vec<Reply>, Vec<JoinHandle<Reply>>) {
    let mut innocent = occupy(relay, round).await;
    for text in INNOCENT {
        innocent.push(send(relay, attempt(&format!("{text}-{round}"), text)).await);
    }
    let mut sent = Vec::new();
    for other in others {
        sent.push(send(relay, other).await);
    }
    (replies(innocent).await, sent)
}

/// Asserts that an attempt is refused at once with a retry delay, and that no runner gets any part of it.
pub(crate) async fn assert_refused(relay: &Arc<Relay<Fake>>, request: Request) {
    let id = request.id.clone();
    let reply = serve(relay, request).await;
    assert_eq!((reply.status, reply.elapsed), (503, Duration::ZERO));
    assert!(reply.retry_after > Some(Duration::ZERO), "{reply:?}");
    let stage_calls = calls(relay).into_iter().flatten();
    assert!(
        stage_calls
            .into_iter()
            .all(|stage_calls| stage_calls != *id)
    );
    let mut sent = relay.downstream.sent().into_iter();
    assert!(sent.all(|call| call.id != *id));
}

/// Asserts that all attempts were served.
pub(crate) fn assert_served(replies: &[Reply]) {
    let unserved: Vec<&Reply> = replies.iter().filter(|reply| !reply.is_served()).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
}

/// Runners that have failed so far, with the requests that caused it.
pub(crate) fn failures(relay: &Relay<Fake>) -> Vec<(String, String)> {
    let failures = relay.downstream.faults.failures().into_iter();
    let names = failures.map(|failure| (failure.runner, failure.request.unwrap_or_default()));
    names.collect()
}

/// Retries a request for some time, each attempt under a new name.
pub(crate) async fn retry_for(
    relay: &Arc<Relay<Fake>>,
    time: Duration,
    attempt: impl Fn(usize) -> Request,
) -> Vec<Reply> {
    let begun = Instant::now();
    let mut replies = Vec::new();
    while begun.elapsed() < time {
        replies.push(serve(relay, attempt(replies.len())).await);
        sleep(RETRY_DELAY).await;
    }
    replies
}

/// Whether attempts with this body are quarantined.
pub(crate) fn is_quarantined(relay: &Relay<Fake>, text: &str) -> bool {
    relay.is_quarantined(attempt("x", text).content(Some(WORKSPACE)))
}

/// A relay with `stage` runners of the stage and `plain` runners of the model that serve each request, but
/// at least two of each.
pub(crate) fn relay(stage: usize, plain: usize) -> Arc<Relay<Fake>> {
    let relay = ready(fake());
    add_runners(&relay, stage, plain);
    relay
}

/// A fake whose runners serve each request.
pub(crate) fn fake() -> Fake {
    let fake = Fake::default();
    *fake.streams.lock().expect("free") = true;
    fake
}

/// Adds runners to the two of each service. Addresses are derived from names, which are chosen so that
/// those of the stage differ from all others.
pub(crate) fn add_runners(relay: &Relay<Fake>, stage: usize, plain: usize) {
    let stages = (3..=stage).map(|number| runner(&format!("s-{number}"), "stage"));
    let plains = (3..=plain).map(|number| runner(&format!("a-{number}"), "plain"));
    relay.update(stages.chain(plains).map(Change::Listed).collect());
}

/// Maintains the list of runners: removes failed ones, and restarts them after `restart_time` if that is set.
pub(crate) fn maintain_list(relays: &[&Arc<Relay<Fake>>], restart_time: Option<Duration>) {
    let relays: Vec<Arc<Relay<Fake>>> = relays.iter().map(|relay| Arc::clone(relay)).collect();
    let faults = relays[0].downstream.faults.clone();
    tokio::spawn(async move {
        let mut health = faults.watch();
        let mut seen = 0;
        loop {
            for failure in faults.failures().split_off(seen) {
                seen += 1;
                let (relays, faults) = (relays.clone(), faults.clone());
                tokio::spawn(replace(
                    relays,
                    faults,
                    failure.runner,
                    restart_time,
                    seen as u64,
                ));
            }
            if health.changed().await.is_err() {
                return;
            }
        }
    });
}

async fn replace(
    relays: Vec<Arc<Relay<Fake>>>,
    faults: RunnerFaults,
    id: String,
    restart_time: Option<Duration>,
    start: u64,
) {
    sleep(LISTED_AFTER_EXIT).await;
    let Some(known) = relays[0].runner(&id) else {
        return;
    };
    for relay in &relays {
        relay.update(vec![Change::Gone(id.as_str().into())]);
    }
    let Some(restart_time) = restart_time else {
        return;
    };
    sleep(restart_time).await;
    faults.start(&id);
    let anew = Runner {
        started: Some(start),
        ..Runner::clone(&known)
    };
    for relay in &relays {
        relay.update(vec![Change::Listed(anew.clone())]);
    }
}

/// Names of the requests whose pieces each stage call contained.
pub(crate) fn calls(relay: &Relay<Fake>) -> Vec<Vec<String>> {
    let ids = |call: &super::StageCall| {
        let mut ids: Vec<String> = call.items.iter().map(|item| item.id.to_string()).collect();
        ids.dedup();
        ids
    };
    relay.downstream.stage_calls().iter().map(ids).collect()
}
