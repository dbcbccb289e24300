//! Streams: every event exactly once and in order, over several runners where the route allows it.

mod common;

use common::{Behavior, Fake, StreamEnd, body, ready, request};
use relay::downstream::NotRun;
use std::time::Duration;
use tokio::time::sleep;

const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: b\n\n";
const THREE: &str = "id: 3\ndata: c\n\n";

fn stream(parts: &[&'static str], end: StreamEnd) -> Behavior {
    Behavior::Stream {
        parts: parts.to_vec(),
        end,
    }
}

async fn serve(route: &str, behaviors: Vec<Behavior>) -> (Fake, (u16, String, bool)) {
    let fake = Fake::with_behaviors(behaviors);
    let relay = ready(fake.clone());
    let answer = relay.serve(request("a", route)).await;
    (fake, body(answer).await)
}

/// A runner dies in the middle of an event. Another one resumes after the last complete event; the
/// client sees one stream without gaps or repetitions.
#[tokio::test(start_paused = true)]
async fn broken_within_event() {
    let first = stream(&[ONE, "id: 2\nda"], StreamEnd::Broken);
    let second = stream(&[TWO, THREE], StreamEnd::Whole);
    let (fake, answer) = serve("stream", vec![first, second]).await;
    assert_eq!(answer, (200, [ONE, TWO, THREE].concat(), true));
    assert_eq!(fake.sent()[1].resume_after, Some(1));
}

/// A runner stops sending in the middle of a stream without closing the connection. Waiting for it
/// until the deadline would leave the client with half a response.
#[tokio::test(start_paused = true)]
async fn silent_within_stream() {
    let first = stream(&[ONE], StreamEnd::Silent);
    let second = stream(&[TWO], StreamEnd::Whole);
    let (_, answer) = serve("stream", vec![first, second]).await;
    assert_eq!(answer, (200, [ONE, TWO].concat(), true));
}

/// A stream that no other runner may resume breaks off. The client must see that it is incomplete.
#[tokio::test(start_paused = true)]
async fn not_resumable() {
    let (fake, (_, text, complete)) = serve("once", vec![stream(&[ONE], StreamEnd::Broken)]).await;
    assert_eq!((text.as_str(), complete), (ONE, false));
    assert_eq!(fake.sent().len(), 1);
}

/// No other runner can resume the stream. The client must see that it is incomplete.
#[tokio::test(start_paused = true)]
async fn resume_failed() {
    let behaviors = vec![
        stream(&[ONE], StreamEnd::Broken),
        Behavior::Answer {
            status: 500,
            proven: true,
            body: "",
        },
    ];
    let (_, (_, text, complete)) = serve("stream", behaviors).await;
    assert_eq!((text.as_str(), complete), (ONE, false));
}

/// Guards against a runner that is ruled out because it lacked inputs, which have been recomputed since.
#[tokio::test(start_paused = true)]
async fn inputs_recomputed() {
    let behaviors = vec![
        stream(&[ONE], StreamEnd::Broken),
        Behavior::Refuse(NotRun::InputGone),
        stream(&[TWO], StreamEnd::Whole),
    ];
    let (fake, answer) = serve("staged", behaviors).await;
    assert_eq!(answer, (200, [ONE, TWO].concat(), true));
    let sent = fake.sent();
    assert_eq!(sent[1].runner, sent[2].runner);
}

/// The runner that resumes ignores the event id and starts over. The client would read part of the
/// text twice and take it for a complete response.
#[tokio::test(start_paused = true)]
async fn resumed_from_start() {
    let behaviors = vec![
        stream(&[ONE], StreamEnd::Broken),
        stream(&[ONE, TWO], StreamEnd::Whole),
    ];
    let (_, (_, text, complete)) = serve("stream", behaviors).await;
    assert_eq!((text.as_str(), complete), (ONE, false));
    let first = stream(&[ONE], StreamEnd::Broken);
    let both = stream(&["id: 2\ndata: b\n\nid: 3\ndata: c\n\n"], StreamEnd::Whole);
    let (_, answer) = serve("stream", vec![first, both]).await;
    assert_eq!(answer, (200, [ONE, TWO, THREE].concat(), true));
}

/// The stream ends without an error, but within an event. The client must see that it is
/// incomplete.
#[tokio::test(start_paused = true)]
async fn ends_within_event() {
    let (_, (_, text, complete)) =
        serve("once", vec![stream(&[ONE, "id: 2\n"], StreamEnd::Whole)]).await;
    assert_eq!((text.as_str(), complete), (ONE, false));
}

/// A client disconnects during a pause of its stream. The call must be cancelled promptly rather
/// than at the next event, since the runner would do useless work in the meantime.
#[tokio::test(start_paused = true)]
async fn client_disconnected() {
    let fake = Fake::with_behaviors([stream(&[ONE], StreamEnd::Silent)]);
    let relay = ready(fake.clone());
    let answer = relay.serve(request("a", "once")).await;
    drop(answer);
    sleep(Duration::from_millis(50)).await;
    let busy = relay.pool(&"plain".into(), |pool| {
        pool.targets()
            .iter()
            .map(decide::route::Target::in_flight)
            .sum::<u32>()
    });
    assert_eq!(busy, 0);
}

/// A client resumes a stream. The runner is told after which event to resume.
#[tokio::test(start_paused = true)]
async fn client_resumes() {
    let fake = Fake::with_behaviors([stream(&[THREE], StreamEnd::Whole)]);
    let relay = ready(fake.clone());
    let mut request = request("a", "stream");
    request.resume_after = Some(2);
    let answer = relay.serve(request).await;
    assert_eq!(body(answer).await, (200, THREE.to_owned(), true));
    assert_eq!(fake.sent()[0].resume_after, Some(2));
}

/// A stream starts without the runner's proof of origin. It is rejected like any other response
/// without proof.
#[tokio::test(start_paused = true)]
async fn without_proof() {
    let forged = || Behavior::Answer {
        status: 200,
        proven: false,
        body: ONE,
    };
    let (_, (status, text, _)) = serve("once", vec![forged()]).await;
    assert_eq!(status, 502);
    assert!(!text.contains("data"));
    let (_, answer) = serve("stream", vec![forged(), stream(&[ONE], StreamEnd::Whole)]).await;
    assert_eq!(answer, (200, ONE.to_owned(), true));
}

/// Guards against a stream that looks complete because the task that forwards it has panicked.
#[tokio::test(start_paused = true)]
async fn forwarder_panics() {
    let (_, (_, text, complete)) = serve("stream", vec![stream(&[ONE], StreamEnd::Panic)]).await;
    assert_eq!((text.as_str(), complete), (ONE, false));
}
