//! Callers of the staged route, beside one whose request harms runners.

use super::faults::RunnerFaults;
use super::{Fake, body, ready, request, runner};
use relay::request::Message;
use relay::runner::Change;
use relay::{Relay, Request, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time that callers wait for their answers.
pub(crate) const PATIENCE: Duration = Duration::from_secs(4);
/// Time between two attempts of a caller.
pub(crate) const PAUSE: Duration = Duration::from_millis(400);
/// Time for which the platform's list names a runner after its end.
pub(crate) const LISTED: Duration = Duration::from_millis(2_700);
/// Time until it has started anew after that.
pub(crate) const RETURN: Duration = Duration::from_secs(1);
/// Time for which a request is repeated before it may be due for a trial.
pub(crate) const REPEATED: Duration = Duration::from_secs(3);
/// Runners of the stage, all of them in one cell.
pub(crate) const STAGE: usize = 8;
/// Name and body of a request that harms runners.
pub(crate) const POISON: &str = "poison";
/// Names and bodies of some that do not.
pub(crate) const INNOCENT: [&str; 3] = ["one", "two", "three"];
/// Workspace of the callers.
pub(crate) const WORKSPACE: &str = "coop";

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) whole: bool,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) after: Duration,
}

impl Reply {
    pub(crate) fn is_served(&self) -> bool {
        self.status == 200 && self.whole
    }
}

/// An attempt with one piece for each stage; its body tells what it asks for.
pub(crate) fn asking(id: &str, text: &str) -> Request {
    asking_on("staged", id, text)
}

pub(crate) fn asking_on(route: &str, id: &str, text: &str) -> Request {
    let request = request(id, route);
    let message = Message {
        body: text.to_owned().into(),
        ..Message::clone(&request.message)
    };
    Request {
        timeout: Some(PATIENCE),
        pieces: vec![1, 1],
        message: Arc::new(message),
        ..request
    }
}

/// Serves an attempt to its end.
pub(crate) async fn ask(relay: &Arc<Relay<Fake>>, request: Request) -> Reply {
    let begun = Instant::now();
    let answer = relay.serve(request).await;
    let retry_after = answer.retry_after;
    let (status, _, whole) = body(answer).await;
    Reply {
        status,
        whole,
        retry_after,
        after: begun.elapsed(),
    }
}

/// The same in a task of its own, which has sent the pieces of its first stage by now.
pub(crate) async fn send(relay: &Arc<Relay<Fake>>, request: Request) -> JoinHandle<Reply> {
    let relay = relay.clone();
    let asking = tokio::spawn(async move { ask(&relay, request).await });
    sleep(Duration::from_millis(1)).await;
    asking
}

pub(crate) async fn reply(asking: JoinHandle<Reply>) -> Reply {
    asking.await.expect("no panic")
}

pub(crate) async fn replies(asking: impl IntoIterator<Item = JoinHandle<Reply>>) -> Vec<Reply> {
    let mut replies = Vec::new();
    for asking in asking {
        replies.push(reply(asking).await);
    }
    replies
}

/// Attempts that together take all runners of the stage, each with a call of its own.
pub(crate) async fn occupy(relay: &Arc<Relay<Fake>>, round: usize) -> Vec<JoinHandle<Reply>> {
    let mut busy = Vec::new();
    for number in 0..STAGE {
        let id = format!("busy-{round}-{number}");
        busy.push(send(relay, asking(&id, &id)).await);
    }
    busy
}

/// Attempts of the innocent callers and others after them, none of which finds a runner idle: they share
/// a call. Gives what became of the innocent ones, and the others.
pub(crate) async fn share_call(
    relay: &Arc<Relay<Fake>>,
    round: usize,
    others: Vec<Request>,
) -> (Vec<Reply>, Vec<JoinHandle<Reply>>) {
    let mut innocent = occupy(relay, round).await;
    for text in INNOCENT {
        innocent.push(send(relay, asking(&format!("{text}-{round}"), text)).await);
    }
    let mut sent = Vec::new();
    for other in others {
        sent.push(send(relay, other).await);
    }
    (replies(innocent).await, sent)
}

/// The attempt is refused at once, honestly, and no runner gets anything of it.
pub(crate) async fn assert_refused(relay: &Arc<Relay<Fake>>, request: Request) {
    let id = request.id.clone();
    let reply = ask(relay, request).await;
    assert_eq!((reply.status, reply.after), (503, Duration::ZERO));
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

/// All attempts are answered as they should be.
pub(crate) fn assert_served(replies: &[Reply]) {
    let unserved: Vec<&Reply> = replies.iter().filter(|reply| !reply.is_served()).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
}

/// Runners that have failed so far, with the requests that did it.
pub(crate) fn failures(relay: &Relay<Fake>) -> Vec<(String, String)> {
    let failures = relay.downstream.faults.failures().into_iter();
    let names = failures.map(|failure| (failure.runner, failure.request.unwrap_or_default()));
    names.collect()
}

/// Repeats a request for some time, each attempt under a new name.
pub(crate) async fn repeat(
    relay: &Arc<Relay<Fake>>,
    time: Duration,
    attempt: impl Fn(usize) -> Request,
) -> Vec<Reply> {
    let begun = Instant::now();
    let mut replies = Vec::new();
    while begun.elapsed() < time {
        replies.push(ask(relay, attempt(replies.len())).await);
        sleep(PAUSE).await;
    }
    replies
}

/// Whether an attempt that asks for this would be refused since it is held back.
pub(crate) fn is_quarantined(relay: &Relay<Fake>, text: &str) -> bool {
    relay.is_quarantined(asking("x", text).content(Some(WORKSPACE)))
}

/// Runners that answer each request, as many of the stage and of the service as said; there are at
/// least two of each.
pub(crate) fn relay(stage: usize, plain: usize) -> Arc<Relay<Fake>> {
    let relay = ready(fake());
    add_runners(&relay, stage, plain);
    relay
}

/// Runners that answer each request.
pub(crate) fn fake() -> Fake {
    let fake = Fake::default();
    *fake.streams.lock().expect("free") = true;
    fake
}

/// More runners than the two of each service. Addresses follow from names; those of the stage differ from all
/// others.
pub(crate) fn add_runners(relay: &Relay<Fake>, stage: usize, plain: usize) {
    let stages = (3..=stage).map(|number| runner(&format!("s-{number}"), "stage"));
    let plains = (3..=plain).map(|number| runner(&format!("a-{number}"), "plain"));
    relay.update(stages.chain(plains).map(Change::Listed).collect());
}

/// Takes runners that have failed from the list, and starts them anew if so wanted.
pub(crate) fn keep_list(relays: &[&Arc<Relay<Fake>>], back: Option<Duration>) {
    let relays: Vec<Arc<Relay<Fake>>> = relays.iter().map(|relay| Arc::clone(relay)).collect();
    let faults = relays[0].downstream.faults.clone();
    tokio::spawn(async move {
        let mut health = faults.watch();
        let mut seen = 0;
        loop {
            for failure in faults.failures().split_off(seen) {
                seen += 1;
                let (relays, faults) = (relays.clone(), faults.clone());
                tokio::spawn(replace(relays, faults, failure.runner, back, seen as u64));
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
    back: Option<Duration>,
    start: u64,
) {
    sleep(LISTED).await;
    let Some(known) = relays[0].runner(&id) else {
        return;
    };
    for relay in &relays {
        relay.update(vec![Change::Gone(id.as_str().into())]);
    }
    let Some(back) = back else { return };
    sleep(back).await;
    faults.start(&id);
    let anew = Runner {
        started: Some(start),
        ..Runner::clone(&known)
    };
    for relay in &relays {
        relay.update(vec![Change::Listed(anew.clone())]);
    }
}

/// Names of the requests whose pieces each call has carried.
pub(crate) fn calls(relay: &Relay<Fake>) -> Vec<Vec<String>> {
    let ids = |call: &super::StageCall| {
        let mut ids: Vec<String> = call.items.iter().map(|item| item.id.to_string()).collect();
        ids.dedup();
        ids
    };
    relay.downstream.stage_calls().iter().map(ids).collect()
}
