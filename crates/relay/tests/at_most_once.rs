//! Requests that may run at most once, and what a refusal guarantees.

mod common;

use common::{Behavior, Fake, body, ready, request};
use relay::downstream::NotRun;

const FAILED: Behavior = Behavior::Answer {
    status: 500,
    proven: true,
    body: "failed",
};

async fn serve(
    route: &str,
    behaviors: impl IntoIterator<Item = Behavior>,
) -> (Fake, (u16, String, bool)) {
    let fake = Fake::with_behaviors(behaviors);
    let relay = ready(fake.clone());
    let answer = relay.serve(request("a", route)).await;
    (fake, body(answer).await)
}

/// A response is lost after the runner may have printed a label. Another runner would print it
/// again, so that two looms carry one serial number; the client is notified that the request may
/// have run.
#[tokio::test(start_paused = true)]
async fn answer_lost() {
    let (fake, (status, ..)) = serve("unsafe", [Behavior::Lose]).await;
    assert_eq!((status, fake.sent().len()), (502, 1));
}

/// The same for a request that may be retried: another runner responds to it.
#[tokio::test(start_paused = true)]
async fn answer_lost_safe() {
    let (fake, (status, text, _)) = serve("safe", [Behavior::Lose]).await;
    assert_eq!((status, text.as_str()), (200, "done"));
    let sent = fake.sent();
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].runner, sent[1].runner);
}

/// The response to a stream that no other runner may resume is lost before its first event. The
/// request is not sent again.
#[tokio::test(start_paused = true)]
async fn answer_lost_once() {
    let (fake, (status, ..)) = serve("once", [Behavior::Lose]).await;
    assert_eq!((status, fake.sent().len()), (502, 1));
}

/// A runner states that it has not run a request. The request may safely go to another runner.
#[tokio::test(start_paused = true)]
async fn refused_by_runner() {
    for reason in [
        NotRun::Full { spacing: None },
        NotRun::Replaced,
        NotRun::Unreachable {
            reason: "reset".to_owned(),
        },
    ] {
        let (fake, (status, ..)) = serve("unsafe", [Behavior::Refuse(reason)]).await;
        assert_eq!((status, fake.sent().len()), (200, 2));
    }
}

/// All runners refuse: the client is notified that the request has not run, and when to retry.
#[tokio::test(start_paused = true)]
async fn refused_by_all() {
    let fake = Fake::with_behaviors([
        Behavior::Refuse(NotRun::Full { spacing: None }),
        Behavior::Refuse(NotRun::Full { spacing: None }),
    ]);
    let relay = ready(fake.clone());
    let answer = relay.serve(request("a", "unsafe")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
}

/// One runner refuses and the next one loses the response. The request may have run; saying
/// otherwise would let the client send it again.
#[tokio::test(start_paused = true)]
async fn refused_then_lost() {
    let (_, (status, ..)) = serve(
        "unsafe",
        [
            Behavior::Refuse(NotRun::Full { spacing: None }),
            Behavior::Lose,
        ],
    )
    .await;
    assert_eq!(status, 502);
}

/// A runner does not respond until the deadline. The client gets a timeout, which does not state
/// that the request has not run.
#[tokio::test(start_paused = true)]
async fn silent_runner() {
    let (fake, (status, ..)) = serve("unsafe", [Behavior::Silent]).await;
    assert_eq!((status, fake.sent().len()), (504, 1));
}

/// An error of the runner itself counts as a run. If the request may be retried, another runner is
/// tried, and if that fails as well, its response goes to the client.
#[tokio::test(start_paused = true)]
async fn runner_fails() {
    let (fake, (status, ..)) = serve("safe", [FAILED]).await;
    assert_eq!((status, fake.sent().len()), (200, 2));
    let (fake, (status, text, _)) = serve("safe", [FAILED, FAILED]).await;
    assert_eq!(
        (status, text.as_str(), fake.sent().len()),
        (500, "failed", 2)
    );
    let (fake, (status, ..)) = serve("unsafe", [FAILED]).await;
    assert_eq!((status, fake.sent().len()), (500, 1));
}

/// A response without the runner's proof is rejected, whatever its status.
#[tokio::test(start_paused = true)]
async fn answer_without_proof() {
    let forged = || Behavior::Answer {
        status: 200,
        proven: false,
        body: "forged",
    };
    let (_, (status, text, _)) = serve("unsafe", [forged()]).await;
    assert_eq!(status, 502);
    assert!(!text.contains("forged"));
    let (_, (status, text, _)) = serve("safe", [forged()]).await;
    assert_eq!((status, text.as_str()), (200, "done"));
}

/// A pooled connection may have died unnoticed, in which case the request is lost with it. Requests
/// that may run at most once get a new connection.
#[tokio::test(start_paused = true)]
async fn fresh_connection() {
    for (route, reuse) in [
        ("unsafe", false),
        ("once", false),
        ("safe", true),
        ("stream", true),
    ] {
        let (fake, _) = serve(route, []).await;
        assert_eq!(fake.sent()[0].reuse, reuse, "{route}");
    }
}

/// The retry budget is exhausted, and a lost response is reported as such. Retrying every request
/// would double the load just when runners fail.
#[tokio::test(start_paused = true)]
async fn budget_spent() {
    let fake = Fake::with_behaviors((0..200).map(|_| Behavior::Lose));
    let relay = ready(fake.clone());
    for index in 0..100 {
        relay.serve(request(&index.to_string(), "safe")).await;
    }
    // A fifth of a hundred, and this process's part of the fixed number.
    let most = 100 + 20 + 40 / 4;
    let sent = fake.sent().len();
    assert!((101..=most).contains(&sent), "{sent}");
}
