//! Changes that become known between the selection of a runner and the moment at which something is
//! sent to it.

mod common;

use bytes::Bytes;
use common::stage::{cell, order};
use common::{Fake, body, ready, request, runner};
use relay::batch::{Outcome, ReleaseKind};
use relay::downstream::Handle;
use relay::request::Message;
use relay::runner::Change;
use relay::{Relay, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time after which a runner announces that it leaves, during each of the waits below.
const LEAVES_AFTER: Duration = Duration::from_millis(100);

fn leaving(id: &str, service: &str) -> Change {
    Change::Listed(Runner {
        leaving: true,
        ..runner(id, service)
    })
}

/// Takes up nearly all room of a runner with a result that is released before the next call.
fn fill(relay: &Arc<Relay<Fake>>, id: &str) {
    let address = runner(id, "stage").address;
    let result: Handle = format!("{address}/old").into();
    let batcher = relay.batcher(&cell());
    batcher.record_results(relay, &[(result.clone(), 900)]);
    batcher.release(relay, &[result], ReleaseKind::Over);
}

/// Submits four pieces for the only runner, which announces that it leaves while results are
/// dropped to make room for them; another runner is listed at that moment.
async fn submit_and_leave(relay: &Arc<Relay<Fake>>) -> Outcome {
    relay.update(vec![Change::Gone("s-2".into())]);
    *relay.downstream.release_time.lock().expect("free") = Duration::from_millis(400);
    fill(relay, "s-1");
    let outcome = relay.batcher(&cell()).submit(relay, order("a", 4));
    sleep(LEAVES_AFTER).await;
    let other = Change::Listed(runner("s-2", "stage"));
    relay.update(vec![leaving("s-1", "stage"), other]);
    outcome.await.expect("an outcome")
}

/// Guards against sending pieces to a runner that announced that it leaves while results were
/// dropped to make room for the call.
#[tokio::test(start_paused = true)]
async fn left_while_releasing() {
    let relay = ready(Fake::default());
    let results = submit_and_leave(&relay).await.expect("made elsewhere");
    assert_eq!(results.len(), 4);
    let stage_calls = relay.downstream.stage_calls();
    let runners: Vec<&str> = stage_calls.iter().map(|call| &*call.runner).collect();
    assert_eq!(runners, ["s-2"]);
}

/// Guards against charging the retry budget for calls that were never sent.
#[tokio::test(start_paused = true)]
async fn no_retry_charged() {
    let relay = ready(Fake::default());
    // Exhausts the budget, with no first attempts to add to it.
    while relay.try_retry(&"stage".into(), "other") {}
    let results = submit_and_leave(&relay).await;
    assert_eq!(results.map(|results| results.len()), Ok(4));
}

/// Guards against sending a request or a piece to a runner that announced that it leaves while the
/// connection to it was being established.
#[tokio::test(start_paused = true)]
async fn left_while_connecting() {
    for (route, service, id) in [("unsafe", "plain", "p"), ("staged", "stage", "s")] {
        let relay = ready(Fake::default());
        let (left, other) = (format!("{id}-1"), format!("{id}-2"));
        relay.update(vec![Change::Gone(other.as_str().into())]);
        *relay.downstream.connect_time.lock().expect("free") = Duration::from_millis(200);
        let waiting = tokio::spawn({
            let relay = relay.clone();
            async move { body(relay.serve(request("a", route)).await).await.0 }
        });
        sleep(LEAVES_AFTER).await;
        let listed = Change::Listed(runner(&other, service));
        relay.update(vec![leaving(&left, service), listed]);
        assert_eq!(waiting.await.expect("it ends"), 200, "{route}");
        let sent = relay.downstream.sent().into_iter().map(|call| call.runner);
        let stage_calls = relay.downstream.stage_calls().into_iter();
        let called: Vec<String> = sent.chain(stage_calls.map(|call| call.runner)).collect();
        assert!(
            !called.contains(&left) && called.contains(&other),
            "{called:?}"
        );
    }
}

/// Guards against a request that waits for runners to come back, as a suspect does, and is then
/// sent to one that has left in the meantime.
#[tokio::test(start_paused = true)]
async fn left_while_waiting() {
    let relay = ready(Fake::default());
    let set_deadly = |text: Option<&'static str>| {
        *relay.downstream.crash_body.lock().expect("free") = text.map(Bytes::from);
    };
    set_deadly(Some("poison"));
    let waiting = tokio::spawn({
        let relay = relay.clone();
        async move { body(relay.serve(asking("a", "poison")).await).await.0 }
    });
    sleep(LEAVES_AFTER).await;
    set_deadly(None);
    // One runner has exited; a suspect is not sent to the one that is left.
    let exited = relay.downstream.exited.lock().expect("free").clone();
    let left = if exited == ["p-1"] { "p-2" } else { "p-1" };
    assert_eq!(relay.downstream.sent().len(), 1);
    let others = ["p-3", "p-4", "p-5"].map(|id| Change::Listed(runner(id, "plain")));
    let changes = others.into_iter().chain([leaving(left, "plain")]);
    relay.update(changes.collect());
    assert_eq!(waiting.await.expect("it ends"), 200);
    let sent = relay.downstream.sent();
    assert!(sent[1..].iter().all(|call| call.runner != left), "{sent:?}");
}

fn asking(id: &str, text: &'static str) -> relay::Request {
    let request = request(id, "safe");
    let message = Message {
        body: Bytes::from_static(text.as_bytes()),
        ..Message::clone(&request.message)
    };
    relay::Request {
        message: Arc::new(message),
        ..request
    }
}
