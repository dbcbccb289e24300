//! What an engine holds is learnt from the engine itself.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use bytes::Bytes;
use common::{Agent, Runner, next, offer, settings, small, table, until};
use wire::{Frame, Models, Receiver, Sender};

async fn ask(link: &mut (Sender, Receiver), number: u64) -> Option<Models> {
    link.0.send(Frame::Query { number }).await.unwrap();
    match next(&mut link.1).await {
        Frame::Models { number: of, models } if of == number => models,
        other => panic!("{other:?}"),
    }
}

/// A new lease holder asks while the engine still loads at the order of the one before. If it were
/// told of an idle engine it would order a second load, and the weight store would bear both.
#[tokio::test]
async fn load_in_progress() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = table(Some(1)).await;
    let agent = Agent::start(settings).await;
    let (mut one, mut other) = (agent.link().await, agent.link().await);
    let body = Bytes::from_static(br#"{"fence":1,"order":"load","model":"held"}"#);
    one.0.send(Frame::Order { fence: 1, body }).await.unwrap();
    until(|| !runner.orders.lock().unwrap().is_empty()).await;
    let held = ask(&mut other, 7).await.unwrap();
    assert_eq!(held.warm, ["draft"]);
    assert_eq!(held.loading.as_deref(), Some("held"));
    runner.hold.add_permits(1);
    assert!(matches!(
        next(&mut one.1).await,
        Frame::OrderDone { status: 200, .. }
    ));
    assert_eq!(ask(&mut other, 8).await.unwrap().loading, None);
}

/// The engine is away. The agent must not tell an empty list, which would pass for an engine that
/// is free for any model.
#[tokio::test]
async fn engine_away() {
    let agent = Agent::start(settings("127.0.0.1:9".parse().unwrap())).await;
    assert_eq!(ask(&mut agent.link().await, 1).await, None);
}

#[tokio::test]
async fn model_header() {
    let (runner, _agent, mut link) = small().await;
    let Frame::Offer { call, mut work } = offer(1, true, "plain") else {
        unreachable!()
    };
    work.model = Some("draft".into());
    link.0.send(Frame::Offer { call, work }).await.unwrap();
    while !matches!(next(&mut link.1).await, Frame::Done { .. }) {}
    assert_eq!(*runner.models.lock().unwrap(), ["draft"]);
}
