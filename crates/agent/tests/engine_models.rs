//! Entries learn from the engine itself which models it has.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use bytes::Bytes;
use common::{Agent, Runner, lease_table, next_frame, offer, settings, start_agent, wait_until};
use wire::{Frame, Models, Receiver, Sender};

async fn query(link: &mut (Sender, Receiver), number: u64, fence: Option<u64>) -> Option<Models> {
    query_wanting(link, number, fence, &[]).await
}

/// Queries as an entry whose callers need models that are not loaded.
async fn query_wanting(
    link: &mut (Sender, Receiver),
    number: u64,
    fence: Option<u64>,
    wanted: &[&str],
) -> Option<Models> {
    let wanted = wanted.iter().map(|model| (*model).to_owned()).collect();
    let frame = Frame::Query {
        number,
        fence,
        wanted,
    };
    link.0.send(frame).await.unwrap();
    match next_frame(&mut link.1).await {
        Frame::Models { number: of, models } if of == number => models,
        other => panic!("{other:?}"),
    }
}

/// A new lease holder queries the engine while it still executes a load of the previous holder. If
/// the engine were reported as idle, the holder would order a second load, and the weight store
/// would have to serve both.
#[tokio::test]
async fn load_in_progress() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = lease_table(Some(1)).await;
    let agent = Agent::start(settings).await;
    let (mut one, mut other) = (agent.link().await, agent.link().await);
    let body = Bytes::from_static(br#"{"fence":1,"order":"load","model":"held"}"#);
    one.0.send(Frame::Order { fence: 1, body }).await.unwrap();
    wait_until(|| !runner.orders.lock().unwrap().is_empty()).await;
    let models = query(&mut other, 7, Some(2)).await.unwrap();
    assert_eq!(models.warm, ["draft"]);
    assert_eq!(models.loading.as_deref(), Some("held"));
    runner.release.add_permits(1);
    assert!(matches!(
        next_frame(&mut one.1).await,
        Frame::OrderDone { status: 200, .. }
    ));
    assert_eq!(query(&mut other, 8, None).await.unwrap().loading, None);
}

/// Guards against a lease holder that never learns of a model that only the callers of another
/// entry request.
#[tokio::test]
async fn wanted_models_shared() {
    let runner = Runner::start().await;
    let agent = Agent::start(settings(runner.address)).await;
    let (mut one, mut other) = (agent.link().await, agent.link().await);
    assert!(query_wanting(&mut one, 1, None, &["new"]).await.is_some());
    assert_eq!(query(&mut other, 1, None).await.unwrap().wanted, ["new"]);
}

/// The engine is unreachable. The agent must not report an empty list, which would mean that the
/// engine is free to load any model.
#[tokio::test]
async fn engine_unavailable() {
    let agent = Agent::start(settings("127.0.0.1:9".parse().unwrap())).await;
    assert_eq!(query(&mut agent.link().await, 1, None).await, None);
}

/// A lease holder queries the engine and plans with the answer. Right after that, an unload that an
/// earlier holder sent before it was paused arrives. If it were executed, the plan would rely on a
/// model that is no longer loaded.
#[tokio::test]
async fn query_raises_token() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = lease_table(Some(1)).await;
    let agent = Agent::start(settings).await;
    let mut link = agent.link().await;
    assert!(query(&mut link, 1, Some(2)).await.is_some());
    let body = Bytes::from_static(br#"{"fence":1,"order":"unload","model":"draft"}"#);
    link.0.send(Frame::Order { fence: 1, body }).await.unwrap();
    assert!(matches!(
        next_frame(&mut link.1).await,
        Frame::OrderDone { status: 412, .. }
    ));
    assert!(runner.orders.lock().unwrap().is_empty());
    assert_eq!(query(&mut link, 2, Some(1)).await, None);
}

/// The engine still executes an earlier holder's unload when a new holder sends its query. The
/// engine may still list the model, but the agent must not report it as loaded.
#[tokio::test]
async fn unload_in_progress() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = lease_table(Some(1)).await;
    let agent = Agent::start(settings).await;
    let (one, mut other) = (agent.link().await, agent.link().await);
    let body = r#"{"fence":1,"order":"unload","model":"draft","role":"held"}"#.into();
    one.0.send(Frame::Order { fence: 1, body }).await.unwrap();
    wait_until(|| !runner.orders.lock().unwrap().is_empty()).await;
    assert!(query(&mut other, 1, Some(2)).await.unwrap().warm.is_empty());
    runner.release.add_permits(1);
}

#[tokio::test]
async fn model_header() {
    let (runner, _agent, mut link) = start_agent().await;
    let Frame::Offer { call, mut work } = offer(1, true, "plain") else {
        unreachable!()
    };
    work.model = Some("draft".into());
    link.0.send(Frame::Offer { call, work }).await.unwrap();
    while !matches!(next_frame(&mut link.1).await, Frame::Done { .. }) {}
    assert_eq!(*runner.models.lock().unwrap(), ["draft"]);
}
