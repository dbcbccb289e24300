//! The agent checks fencing tokens for engines that execute every order.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use bytes::Bytes;
use common::{Agent, Runner, lease_table, next_frame, settings};
use wire::{Frame, Receiver, Sender};

async fn send_order(link: &mut (Sender, Receiver), fence: u64) -> u16 {
    let body = Bytes::from(format!("{{\"fence\":{fence},\"order\":\"load\"}}"));
    link.0.send(Frame::Order { fence, body }).await.unwrap();
    match next_frame(&mut link.1).await {
        Frame::OrderDone { status, .. } => status,
        other => panic!("{other:?}"),
    }
}

/// A lease holder is paused before it sends an order, and another takes over. The old order arrives
/// last and would undo the new holder's work; the agent must refuse it.
#[tokio::test]
async fn stale_order_refused() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = lease_table(Some(4)).await;
    let agent = Agent::start(settings).await;
    let mut link = agent.link().await;
    assert_eq!(send_order(&mut link, 4).await, 200);
    assert_eq!(send_order(&mut link, 5).await, 200);
    assert_eq!(send_order(&mut link, 4).await, 412);
    assert_eq!(runner.orders.lock().unwrap().len(), 2);
}

/// The agent restarts and has lost the tokens it saw. The old holder's order is the first to reach
/// it; the agent must check it against the token in the table.
#[tokio::test]
async fn token_read_after_restart() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    settings.platform.table = lease_table(Some(5)).await;
    let agent = Agent::start(settings.clone()).await;
    assert_eq!(send_order(&mut agent.link().await, 5).await, 200);
    agent.shut_down().await.unwrap().unwrap();
    let agent = Agent::start(settings).await;
    let mut link = agent.link().await;
    assert_eq!(send_order(&mut link, 4).await, 412);
    assert_eq!(send_order(&mut link, 5).await, 200);
    assert_eq!(runner.orders.lock().unwrap().len(), 2);
}

/// The agent restarts while the table service is down or has no lease. It cannot know the current
/// token, so it must not forward any order until it does.
#[tokio::test]
async fn table_unreadable() {
    let runner = Runner::start().await;
    let mut settings = settings(runner.address);
    let agent = Agent::start(settings.clone()).await;
    assert_eq!(send_order(&mut agent.link().await, 9).await, 503);
    settings.platform.table = lease_table(None).await;
    let agent = Agent::start(settings).await;
    assert_eq!(send_order(&mut agent.link().await, 9).await, 503);
    assert!(runner.orders.lock().unwrap().is_empty());
}
