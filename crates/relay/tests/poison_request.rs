//! Requests that end each runner that begins to run them.

mod common;

use common::{Act, End, Fake, body, ready, request, runner};
use relay::runner::Change;
use relay::{Relay, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two attempts of a caller.
const PAUSE: Duration = Duration::from_millis(700);

/// An attempt of the caller whose request no runner survives.
fn poison(id: &str) -> Request {
    let mut request = request(id, "once");
    let mut message = relay::request::Message::clone(&request.message);
    message.body = "poison".into();
    request.message = Arc::new(message);
    request
}

/// A relay with enough runners to lose some.
fn relay() -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let more = (3..9).map(|number| Change::Listed(runner(&format!("p-{number}"), "plain")));
    relay.update(more.collect());
    relay
}

/// Serves an attempt whose stream breaks at the runner that it is sent to; gives the status and that
/// runner.
async fn broken(relay: &Arc<Relay<Fake>>, request: Request) -> (u16, Option<String>) {
    let crash = Act::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: End::Broken,
    };
    *relay.downstream.acts.lock().expect("free") = [crash].into();
    let before = relay.downstream.sent().len();
    let answer = relay.serve(request).await;
    let (status, ..) = body(answer).await;
    let sent = relay.downstream.sent().split_off(before);
    (status, sent.first().map(|call| call.runner.clone()))
}

/// The same, and the runner's entry lapses.
async fn attempt(relay: &Arc<Relay<Fake>>, request: Request) -> (u16, Option<String>) {
    let (status, runner) = broken(relay, request).await;
    if let Some(id) = &runner {
        relay.update(vec![Change::Gone(id.as_str().into())]);
    }
    sleep(PAUSE).await;
    (status, runner)
}

/// A caller repeats a request that no runner survives, each time under a new name. A relay that takes
/// each attempt for a new request ends one runner after the other with it, and all that they serve.
#[tokio::test(start_paused = true)]
async fn sent_no_more() {
    let relay = relay();
    for number in 0..3 {
        let (status, runner) = attempt(&relay, poison(&format!("q{number}"))).await;
        assert_eq!((status, runner.is_some()), (200, true));
    }
    let before = relay.downstream.sent().len();
    let answer = relay.serve(poison("q3")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after >= Some(Duration::from_secs(1)));
    assert_eq!(relay.downstream.sent().len(), before);
}
