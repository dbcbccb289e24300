//! Every call gets its own complete answer, or an error if there is none.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{call, next_frame, offer, start_agent};
use wire::{Frame, Refusal};

#[tokio::test]
async fn json_in_one_chunk() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, true, "json")).await.unwrap();
    let start = receiver.recv().await.unwrap().unwrap();
    assert_eq!(start, Frame::Start { call: call(1) });
    let data = "{\"answer\":1}".into();
    let chunk = Frame::Chunk {
        call: call(1),
        sequence: 0,
        data,
    };
    assert_eq!(next_frame(&mut receiver).await, chunk);
    let Frame::Done {
        chunks,
        length,
        load,
        ..
    } = next_frame(&mut receiver).await
    else {
        panic!("no end mark");
    };
    assert_eq!((chunks, length, load.prefix_blocks), (1, 12, 2));
    assert_eq!(runner.count(), 1);
}

/// A runner sends an event twice. The caller would read its content twice; the duplicate must be
/// dropped, and the count in the end mark must still match.
#[tokio::test]
async fn stream_without_duplicates() {
    let (_runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender
        .send(offer(1, true, "stream repeated"))
        .await
        .unwrap();
    for (sequence, data) in [(0, "\"0\""), (1, "\"1\"")] {
        let data = data.into();
        let chunk = Frame::Chunk {
            call: call(1),
            sequence,
            data,
        };
        assert_eq!(next_frame(&mut receiver).await, chunk);
    }
    let end = next_frame(&mut receiver).await;
    assert!(
        matches!(
            end,
            Frame::Done {
                chunks: 2,
                length: 6,
                ..
            }
        ),
        "{end:?}"
    );
}

/// A runner mixes up two answers, disconnects in the middle of one, or ends a stream without an end
/// mark, with missing events or with a wrong count. A caller would get another caller's text or
/// only a part of its own; the agent must report to the entry that the answer is lost.
#[tokio::test]
async fn invalid_answers_reported() {
    let inputs = [
        "crossed",
        "cut",
        "stream truncated",
        "stream gap",
        "stream miscounted",
    ];
    let (_runner, _agent, (sender, mut receiver)) = start_agent().await;
    for (request, input) in (0..).zip(inputs) {
        sender.send(offer(request, true, input)).await.unwrap();
        let end = loop {
            match next_frame(&mut receiver).await {
                Frame::Chunk { .. } if input.starts_with("stream") => {}
                end => break end,
            }
        };
        assert!(matches!(end, Frame::Break { .. }), "{input}: {end:?}");
    }
}

#[tokio::test]
async fn runner_error_forwarded() {
    let (_runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, true, "error")).await.unwrap();
    let end = next_frame(&mut receiver).await;
    assert!(matches!(end, Frame::Fail { status: 422, .. }), "{end:?}");
}

/// The runner reports that it did not start the call, or no process listens at its address. Nothing
/// has run, and the agent must report to the entry that it can safely retry elsewhere.
#[tokio::test]
async fn not_run() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, true, "not run")).await.unwrap();
    let end = next_frame(&mut receiver).await;
    assert!(
        matches!(
            end,
            Frame::Refuse {
                reason: Refusal::Unreachable,
                ..
            }
        ),
        "{end:?}"
    );
    assert_eq!(runner.count(), 0);

    let closed_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let agent = common::Agent::start(common::settings(closed_address)).await;
    let (sender, mut receiver) = agent.link().await;
    sender.send(offer(2, true, "json")).await.unwrap();
    let end = next_frame(&mut receiver).await;
    assert!(
        matches!(
            end,
            Frame::Refuse {
                reason: Refusal::Unreachable,
                ..
            }
        ),
        "{end:?}"
    );
}
