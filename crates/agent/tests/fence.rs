//! Engines that carry out every order are fenced by their agent.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use bytes::Bytes;
use common::{Agent, Runner, next, settings, table};
use wire::{Frame, Receiver, Sender};

async fn order(link: &mut (Sender, Receiver), fence: u64) -> u16 {
    let body = Bytes::from(format!("{{\"fence\":{fence},\"order\":\"load\"}}"));
    link.0.send(Frame::Order { fence, body }).await.unwrap();
    match next(&mut link.1).await {
        Frame::OrderDone { status, .. } => status,
        other => panic!("{other:?}"),
    }
}

/// A lease holder is frozen with an order in hand while another takes over. Its order arrives last
/// and would undo the new holder's; the agent must refuse it.
#[tokio::test]
async fn old_order_refused() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = table(Some(4)).await;
    let agent = Agent::start(settings).await;
    let mut link = agent.link().await;
    assert_eq!(order(&mut link, 4).await, 200);
    assert_eq!(order(&mut link, 5).await, 200);
    assert_eq!(order(&mut link, 4).await, 412);
    assert_eq!(runner.orders.lock().unwrap().len(), 2);
}

/// The agent restarts and has forgotten the numbers it saw. The old holder's order is the first to
/// reach it; it must be judged by the number in the table.
#[tokio::test]
async fn fence_after_restart() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = table(Some(5)).await;
    let agent = Agent::start(settings.clone()).await;
    assert_eq!(order(&mut agent.link().await, 5).await, 200);
    agent.leave().await.unwrap().unwrap();
    let agent = Agent::start(settings).await;
    let mut link = agent.link().await;
    assert_eq!(order(&mut link, 4).await, 412);
    assert_eq!(order(&mut link, 5).await, 200);
    assert_eq!(runner.orders.lock().unwrap().len(), 2);
}

/// The agent restarts while the table service is down, or has no lease. It cannot know which
/// number is in force, so it must send nothing on until it does.
#[tokio::test]
async fn table_unreadable() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    let agent = Agent::start(settings.clone()).await;
    assert_eq!(order(&mut agent.link().await, 9).await, 503);
    settings.platform.table = table(None).await;
    let agent = Agent::start(settings).await;
    assert_eq!(order(&mut agent.link().await, 9).await, 503);
    assert!(runner.orders.lock().unwrap().is_empty());
}
