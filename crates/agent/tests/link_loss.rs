//! No answer is lost with a link, and a peer without the key cannot run calls.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{call, next_frame, offer, start_agent, wait_until};
use wire::{Error, Frame, Key, Refusal};

/// The link fails while a payout runs. The runner finishes the payout, and the entry that
/// reconnects must get the answer from the first chunk that it has not received; otherwise the
/// freelancer never learns of the payout.
#[tokio::test]
async fn recall_of_running_call() {
    let (runner, agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, false, "stream held")).await.unwrap();
    assert_eq!(
        next_frame(&mut receiver).await,
        Frame::Ask { call: call(1) }
    );
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { sequence: 0, .. }
    ));
    drop((sender, receiver));

    let (sender, mut receiver) = agent.link().await;
    sender
        .send(Frame::Recall {
            call: call(1),
            from: 1,
        })
        .await
        .unwrap();
    runner.release.add_permits(1);
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { sequence: 1, .. }
    ));
    let end = next_frame(&mut receiver).await;
    assert!(matches!(end, Frame::Done { chunks: 2, .. }), "{end:?}");
    assert_eq!(runner.count(), 1);
}

/// The link fails after the runner has answered, while the end is still in transit. The agent must
/// resend the complete answer.
#[tokio::test]
async fn recall_of_ended_call() {
    let (runner, agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, true, "stream")).await.unwrap();
    while !matches!(next_frame(&mut receiver).await, Frame::Done { .. }) {}
    drop((sender, receiver));

    let (sender, mut receiver) = agent.link().await;
    sender
        .send(Frame::Recall {
            call: call(1),
            from: 0,
        })
        .await
        .unwrap();
    for expected in 0..2 {
        let chunk = next_frame(&mut receiver).await;
        assert!(
            matches!(chunk, Frame::Chunk { sequence, .. } if sequence == expected),
            "{chunk:?}"
        );
    }
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Done {
            chunks: 2,
            length: 6,
            ..
        }
    ));
    assert_eq!(runner.count(), 1);
}

/// An entry recalls a call that this agent has never seen. The agent must report it as unknown, and
/// must not start it when the delayed offer arrives later.
#[tokio::test]
async fn recall_of_unknown_call() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender
        .send(Frame::Recall {
            call: call(1),
            from: 0,
        })
        .await
        .unwrap();
    sender.send(offer(1, true, "json")).await.unwrap();
    for _ in 0..2 {
        let refused = next_frame(&mut receiver).await;
        assert!(matches!(
            refused,
            Frame::Refuse {
                reason: Refusal::Forgotten,
                ..
            }
        ));
    }
    assert_eq!(runner.count(), 0);
}

/// The link fails while calls wait for a slot or a grant. They can no longer be granted, so they
/// must be dropped, and a recall must report that they have not run and never will.
#[tokio::test]
async fn queued_calls_dropped() {
    let (runner, agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, false, "json")).await.unwrap();
    sender.send(offer(2, true, "json")).await.unwrap();
    assert_eq!(
        next_frame(&mut receiver).await,
        Frame::Ask { call: call(1) }
    );
    drop((sender, receiver));
    agent.wait_for_metric("links", 0).await;

    let (sender, mut receiver) = agent.link().await;
    for request in [2, 1] {
        let recall = Frame::Recall {
            call: call(request),
            from: 0,
        };
        sender.send(recall).await.unwrap();
    }
    sender.send(offer(3, true, "json")).await.unwrap();
    let mut refused = 0;
    while refused < 2 {
        if let Frame::Refuse { reason, .. } = next_frame(&mut receiver).await {
            assert_eq!(reason, Refusal::Revoked);
            refused += 1;
        }
    }
    wait_until(|| runner.count() > 0).await;
    let third = call(3).to_string();
    assert!(
        runner
            .executed
            .lock()
            .unwrap()
            .iter()
            .all(|id| *id == third)
    );
}

/// An entry of another deployment connects with its own key. It must be rejected as unauthorized,
/// and nothing may reach the runner.
#[tokio::test]
async fn wrong_key() {
    let (runner, agent, _link) = start_agent().await;
    let refused = wire::connect::<wire::Frame>(agent.ready.listen, &Key::new("other")).await;
    assert!(matches!(refused.unwrap_err(), Error::Unauthorized));
    assert_eq!(runner.count(), 0);
}
