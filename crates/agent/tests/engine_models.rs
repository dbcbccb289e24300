//! What an engine holds is learnt from the engine itself.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use bytes::Bytes;
use common::{Agent, Runner, next, offer, settings, small, table, until};
use wire::{Frame, Models, Receiver, Sender};

async fn ask(link: &mut (Sender, Receiver), number: u64, fence: Option<u64>) -> Option<Models> {
    ask_for(link, number, fence, &[]).await
}

/// Asks as an entry whose callers lack some models.
async fn ask_for(
    link: &mut (Sender, Receiver),
    number: u64,
    fence: Option<u64>,
    wanted: &[&str],
) -> Option<Models> {
    let wanted = wanted.iter().map(|model| (*model).to_owned()).collect();
    let query = Frame::Query {
        number,
        fence,
        wanted,
    };
    link.0.send(query).await.unwrap();
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
    let held = ask(&mut other, 7, Some(2)).await.unwrap();
    assert_eq!(held.warm, ["draft"]);
    assert_eq!(held.loading.as_deref(), Some("held"));
    runner.hold.add_permits(1);
    assert!(matches!(
        next(&mut one.1).await,
        Frame::OrderDone { status: 200, .. }
    ));
    assert_eq!(ask(&mut other, 8, None).await.unwrap().loading, None);
}

/// Guards against a lease holder that never learns what only another entry's callers ask for.
#[tokio::test]
async fn wanted_passed_on() {
    let runner = Runner::start().await;
    let agent = Agent::start(settings(runner.address)).await;
    let (mut one, mut other) = (agent.link().await, agent.link().await);
    assert!(ask_for(&mut one, 1, None, &["new"]).await.is_some());
    assert_eq!(ask(&mut other, 1, None).await.unwrap().wanted, ["new"]);
}

/// The engine is away. The agent must not tell an empty list, which would pass for an engine that
/// is free for any model.
#[tokio::test]
async fn engine_away() {
    let agent = Agent::start(settings("127.0.0.1:9".parse().unwrap())).await;
    assert_eq!(ask(&mut agent.link().await, 1, None).await, None);
}

/// A holder asks what the engine holds, and plans with the answer. An order that an earlier holder
/// sent before it was frozen arrives right after; if it passed, the plan would rest on a model that
/// is gone.
#[tokio::test]
async fn question_raises_fence() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = table(Some(1)).await;
    let agent = Agent::start(settings).await;
    let mut link = agent.link().await;
    assert!(ask(&mut link, 1, Some(2)).await.is_some());
    let body = Bytes::from_static(br#"{"fence":1,"order":"unload","model":"draft"}"#);
    link.0.send(Frame::Order { fence: 1, body }).await.unwrap();
    assert!(matches!(
        next(&mut link.1).await,
        Frame::OrderDone { status: 412, .. }
    ));
    assert!(runner.orders.lock().unwrap().is_empty());
    assert_eq!(ask(&mut link, 2, Some(1)).await, None);
}

/// An earlier holder's order to give up a model is with the engine when a new holder asks. The
/// engine may still list the model, but it must not be told as held.
#[tokio::test]
async fn unload_in_progress() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = table(Some(1)).await;
    let agent = Agent::start(settings).await;
    let (one, mut other) = (agent.link().await, agent.link().await);
    let body = r#"{"fence":1,"order":"unload","model":"draft","role":"held"}"#.into();
    one.0.send(Frame::Order { fence: 1, body }).await.unwrap();
    until(|| !runner.orders.lock().unwrap().is_empty()).await;
    assert!(ask(&mut other, 1, Some(2)).await.unwrap().warm.is_empty());
    runner.hold.add_permits(1);
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
