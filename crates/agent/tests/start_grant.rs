//! An unrepeatable call starts only with a grant, and a refused call never runs.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{call, next_frame, offer, start_agent, wait_until};
use wire::{Frame, Refusal};

fn refusal(frame: &Frame) -> Refusal {
    match frame {
        Frame::Refuse { reason, .. } => *reason,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn starts_only_with_grant() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, false, "json")).await.unwrap();
    assert_eq!(
        next_frame(&mut receiver).await,
        Frame::Ask { call: call(1) }
    );
    assert_eq!(runner.count(), 0);
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    // A grant that is duplicated in transit must not run the call a second time.
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { .. }
    ));
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Done { .. }
    ));
    assert_eq!(runner.count(), 1);
}

/// The entry has given up and reported *not run* to its caller, while the offer is still queued at
/// the agent. When a slot is free, the agent must request a grant, accept the denial, and never
/// start the call; otherwise a label is printed that the caller prints again.
#[tokio::test]
async fn denied_never_starts() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, false, "json")).await.unwrap();
    assert_eq!(
        next_frame(&mut receiver).await,
        Frame::Ask { call: call(1) }
    );
    sender.send(Frame::Deny { call: call(1) }).await.unwrap();
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    sender.send(offer(1, false, "json")).await.unwrap();
    assert_eq!(refusal(&next_frame(&mut receiver).await), Refusal::Denied);
    sender.send(offer(2, true, "json")).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { .. }
    ));
    assert_eq!(runner.count(), 1);
}

/// The entry revokes a call while the agent waits for the grant, and the grant is already in
/// transit. *Not run* is reported to the caller, so the late grant must have no effect.
#[tokio::test]
async fn revoked_before_grant() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, false, "json")).await.unwrap();
    assert_eq!(
        next_frame(&mut receiver).await,
        Frame::Ask { call: call(1) }
    );
    sender.send(Frame::Revoke { call: call(1) }).await.unwrap();
    sender.send(Frame::Grant { call: call(1) }).await.unwrap();
    assert_eq!(refusal(&next_frame(&mut receiver).await), Refusal::Revoked);
    sender.send(offer(2, true, "json")).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { .. }
    ));
    assert_eq!(runner.count(), 1);
}

/// The queue is full, or the call is for another service. The entry tells its caller *not run* and
/// when to retry; the refused call must never start, even when it is offered again.
#[tokio::test]
async fn refused_never_starts() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    for request in 1..=3 {
        sender.send(offer(request, true, "held")).await.unwrap();
    }
    let refused = next_frame(&mut receiver).await;
    assert_eq!(refusal(&refused), Refusal::Full);
    let Frame::Refuse {
        call: third,
        retry_after,
        load,
        ..
    } = refused
    else {
        panic!();
    };
    assert_eq!(third, call(3));
    assert!(!retry_after.is_zero());
    assert_eq!((load.queued, load.running, load.limit), (1, 1, 1));
    let Frame::Offer {
        call: fourth,
        mut work,
    } = offer(4, true, "json")
    else {
        panic!();
    };
    work.service = "label".into();
    sender
        .send(Frame::Offer { call: fourth, work })
        .await
        .unwrap();
    assert_eq!(
        refusal(&next_frame(&mut receiver).await),
        Refusal::Misdirected
    );
    runner.release.add_permits(3);
    for _ in 0..4 {
        next_frame(&mut receiver).await;
    }
    sender.send(offer(3, true, "held")).await.unwrap();
    assert_eq!(refusal(&next_frame(&mut receiver).await), Refusal::Full);
    assert_eq!(runner.count(), 2);
}

/// Three calls wait while the runner is busy. The call of higher priority must start first, then
/// the one with the least time left; otherwise an urgent call waits behind a batch job.
#[tokio::test]
async fn least_slack_first() {
    let runner = common::Runner::start().await;
    let mut settings = common::settings(runner.address);
    settings.queue = 8;
    let agent = common::Agent::start(settings).await;
    let (sender, mut receiver) = agent.link().await;
    for (request, priority, seconds) in [(1, 1, 9), (2, 1, 600), (3, 1, 60), (4, 2, 900)] {
        let Frame::Offer { call, mut work } = offer(request, true, "held") else {
            panic!();
        };
        work.priority = priority;
        work.remaining = std::time::Duration::from_secs(seconds);
        sender.send(Frame::Offer { call, work }).await.unwrap();
        wait_until(|| request > 1 || runner.count() == 1).await;
    }
    // The refusal of a fifth offer shows that the four have been queued.
    sender.send(Frame::Cancel { call: call(9) }).await.unwrap();
    sender.send(offer(5, true, "held")).await.unwrap();
    sender.send(Frame::Revoke { call: call(5) }).await.unwrap();
    assert_eq!(refusal(&next_frame(&mut receiver).await), Refusal::Revoked);
    runner.release.add_permits(4);
    let mut ends = Vec::new();
    while ends.len() < 4 {
        if let Frame::Done { call, .. } = next_frame(&mut receiver).await {
            ends.push(call.request);
        }
    }
    assert_eq!(ends, [1, 4, 3, 2]);
}

/// The caller has disconnected and the entry cancels its calls. The runner must be asked to stop
/// the running call, and the call that has not started must be refused.
#[tokio::test]
async fn cancel_reaches_runner() {
    let (runner, _agent, (sender, mut receiver)) = start_agent().await;
    sender.send(offer(1, true, "stream held")).await.unwrap();
    sender.send(offer(2, true, "json")).await.unwrap();
    assert!(matches!(
        next_frame(&mut receiver).await,
        Frame::Chunk { .. }
    ));
    sender.send(Frame::Cancel { call: call(2) }).await.unwrap();
    assert_eq!(refusal(&next_frame(&mut receiver).await), Refusal::Revoked);
    sender.send(Frame::Cancel { call: call(1) }).await.unwrap();
    wait_until(|| !runner.cancelled.lock().unwrap().is_empty()).await;
    assert_eq!(runner.cancelled.lock().unwrap()[0], call(1).to_string());
    let end = next_frame(&mut receiver).await;
    assert!(matches!(end, Frame::Break { .. }), "{end:?}");
}
