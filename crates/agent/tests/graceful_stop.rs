//! A graceful shutdown interrupts no running call.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{call, next_frame, offer, start_agent};
use wire::{Frame, Refusal};

/// The platform reclaims the VM while an answer streams, another call is queued, and an entry that
/// does not know of the shutdown yet offers a third. The stream must be completed, the other calls
/// must be refused without having run, and only then may the process exit.
#[tokio::test]
async fn shutdown_during_stream() {
    let (runner, agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, true, "stream held")).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { sequence: 0, .. }
    ));
    sender.send(offer(2, true, "json")).await.unwrap();
    sender.send(offer(3, true, "json")).await.unwrap();
    // The third call finds the queue full, which shows that the second is queued.
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Refuse {
            reason: Refusal::Full,
            ..
        }
    ));
    let stopped = agent.shut_down();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Leave { .. }
    ));
    let refused = next_frame(&mut receiver).await;
    assert!(
        matches!(refused, Frame::Refuse { call: second, reason: Refusal::Leaving, .. } if second == call(2))
    );
    sender.send(offer(4, true, "json")).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Refuse {
            reason: Refusal::Leaving,
            ..
        }
    ));
    assert!(!stopped.is_finished());

    runner.release.add_permits(1);
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { sequence: 1, .. }
    ));
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Done { chunks: 2, .. }
    ));
    assert_eq!(receiver.recv().await.unwrap(), None);
    drop((sender, receiver));
    stopped.await.unwrap().unwrap();
    assert_eq!(runner.count(), 1);
}

/// A payout ends while its link is down, and the platform reclaims the VM at that moment. The agent
/// must keep running until the entry has reconnected and fetched the answer; otherwise the outcome
/// of the payout remains unknown to the freelancer.
#[tokio::test]
async fn shutdown_waits_for_recall() {
    let (runner, agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, false, "stream held")).await.unwrap();
    assert_eq!(
        next_frame(&mut receiver).await,
        Frame::Ask { call: call(1) }
    );
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { .. }
    ));
    drop((sender, receiver));
    agent.wait_for_metric("links", 0).await;
    let (listen, stopped) = (agent.ready.listen, agent.shut_down());
    runner.release.add_permits(1);

    let key = wire::Key::new(common::KEY);
    let (sender, mut receiver) = wire::connect(listen, &key).await.unwrap();
    let recall = Frame::Recall {
        call: call(1),
        from: 1,
    };
    sender.send(recall).await.unwrap();
    let mut ended = false;
    while !ended {
        ended = matches!(
            next_frame(&mut receiver).await,
            Frame::Done { chunks: 2, .. }
        );
    }
    assert_eq!(receiver.recv().await.unwrap(), None);
    drop((sender, receiver));
    stopped.await.unwrap().unwrap();
    assert_eq!(runner.count(), 1);
}
