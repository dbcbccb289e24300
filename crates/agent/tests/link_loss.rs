//! A lost link loses no answer, and a peer without the key gets no work done.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{call, next, offer, small, until};
use wire::{Error, Frame, Key, Refusal};

/// The link breaks while a payout runs. The runner finishes it, and the entry that comes back must
/// get the answer from the first chunk it lacks, or the freelancer never learns of the payout.
#[tokio::test]
async fn recall_of_running_call() {
    let (runner, agent, (sender, mut receiver)) = small().await;
    sender.send(offer(1, false, "stream held")).await.unwrap();
    assert_eq!(next(&mut receiver).await, Frame::Ask { call: call(1) });
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    assert!(matches!(
        next(&mut receiver).await,
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
    runner.hold.add_permits(1);
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Chunk { sequence: 1, .. }
    ));
    let end = next(&mut receiver).await;
    assert!(matches!(end, Frame::Done { chunks: 2, .. }), "{end:?}");
    assert_eq!(runner.count(), 1);
}

/// The link breaks after the runner has answered, with the end still under way. The kept answer is
/// sent again whole.
#[tokio::test]
async fn recall_of_ended_call() {
    let (runner, agent, (sender, mut receiver)) = small().await;
    sender.send(offer(1, true, "stream")).await.unwrap();
    while !matches!(next(&mut receiver).await, Frame::Done { .. }) {}
    drop((sender, receiver));

    let (sender, mut receiver) = agent.link().await;
    sender
        .send(Frame::Recall {
            call: call(1),
            from: 0,
        })
        .await
        .unwrap();
    for due in 0..2 {
        let chunk = next(&mut receiver).await;
        assert!(
            matches!(chunk, Frame::Chunk { sequence, .. } if sequence == due),
            "{chunk:?}"
        );
    }
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Done {
            chunks: 2,
            length: 6,
            ..
        }
    ));
    assert_eq!(runner.count(), 1);
}

/// An entry asks for a call that this agent has never seen. The agent says that it has no memory
/// of it, and must not start it when the delayed offer arrives after that.
#[tokio::test]
async fn recall_of_unknown_call() {
    let (runner, _agent, (sender, mut receiver)) = small().await;
    sender
        .send(Frame::Recall {
            call: call(1),
            from: 0,
        })
        .await
        .unwrap();
    sender.send(offer(1, true, "json")).await.unwrap();
    for _ in 0..2 {
        let refused = next(&mut receiver).await;
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

/// The link breaks while calls wait for their slot or their grant. Nobody can grant them any more:
/// they must be dropped, and a recall must hear that they did not and will not run.
#[tokio::test]
async fn held_calls_dropped() {
    let (runner, agent, (sender, mut receiver)) = small().await;
    sender.send(offer(1, false, "json")).await.unwrap();
    sender.send(offer(2, true, "json")).await.unwrap();
    assert_eq!(next(&mut receiver).await, Frame::Ask { call: call(1) });
    drop((sender, receiver));
    agent.shows("links", 0).await;

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
        if let Frame::Refuse { reason, .. } = next(&mut receiver).await {
            assert_eq!(reason, Refusal::Revoked);
            refused += 1;
        }
    }
    until(|| runner.count() > 0).await;
    let third = call(3).to_string();
    assert!(runner.ran.lock().unwrap().iter().all(|ran| *ran == third));
}

/// An entry of another deployment connects with its own key. It must learn so, and nothing may
/// reach the runner.
#[tokio::test]
async fn wrong_key() {
    let (runner, agent, _link) = small().await;
    let refused = wire::connect::<wire::Frame>(agent.ready.listen, &Key::new("other")).await;
    assert!(matches!(refused.unwrap_err(), Error::Unauthorized));
    assert_eq!(runner.count(), 0);
}
