//! A planned stop cuts off nothing.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{call, next, offer, small};
use wire::{Frame, Refusal};

/// The platform takes the VM away while a critique streams, another call waits, and an entry that
/// has not heard yet offers a third. The stream must end whole, the others must be handed back in
/// truth, and only then may the process go.
#[tokio::test]
async fn stop_under_stream() {
    let (runner, agent, (sender, mut receiver)) = small().await;
    sender.send(offer(1, true, "stream held")).await.unwrap();
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Chunk { sequence: 0, .. }
    ));
    sender.send(offer(2, true, "json")).await.unwrap();
    sender.send(offer(3, true, "json")).await.unwrap();
    // The third finds the queue full, which shows that the second is held.
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Refuse {
            reason: Refusal::Full,
            ..
        }
    ));
    let stopped = agent.leave();
    assert!(matches!(next(&mut receiver).await, Frame::Leave { .. }));
    let back = next(&mut receiver).await;
    assert!(
        matches!(back, Frame::Refuse { call: second, reason: Refusal::Leaving, .. } if second == call(2))
    );
    sender.send(offer(4, true, "json")).await.unwrap();
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Refuse {
            reason: Refusal::Leaving,
            ..
        }
    ));
    assert!(!stopped.is_finished());

    runner.hold.add_permits(1);
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Chunk { sequence: 1, .. }
    ));
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Done { chunks: 2, .. }
    ));
    assert_eq!(receiver.recv().await.unwrap(), None);
    drop((sender, receiver));
    stopped.await.unwrap().unwrap();
    assert_eq!(runner.count(), 1);
}

/// A payout ends while its link is lost, and the platform takes the VM away at that moment. The
/// agent must stay until the entry has come back for the answer, or the freelancer is left unsure.
#[tokio::test]
async fn stop_with_answer_to_fetch() {
    let (runner, agent, (sender, mut receiver)) = small().await;
    sender.send(offer(1, false, "stream held")).await.unwrap();
    assert_eq!(next(&mut receiver).await, Frame::Ask { call: call(1) });
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    assert!(matches!(next(&mut receiver).await, Frame::Chunk { .. }));
    drop((sender, receiver));
    agent.shows("links", 0).await;
    let (listen, stopped) = (agent.ready.listen, agent.leave());
    runner.hold.add_permits(1);

    let key = wire::Key::new(common::KEY);
    let (sender, mut receiver) = wire::connect(listen, &key).await.unwrap();
    let recall = Frame::Recall {
        call: call(1),
        from: 1,
    };
    sender.send(recall).await.unwrap();
    let mut ended = false;
    while !ended {
        ended = matches!(next(&mut receiver).await, Frame::Done { chunks: 2, .. });
    }
    assert_eq!(receiver.recv().await.unwrap(), None);
    drop((sender, receiver));
    stopped.await.unwrap().unwrap();
    assert_eq!(runner.count(), 1);
}
