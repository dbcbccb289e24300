//! Orders of a lease holder that was frozen while another entry took over, as separate processes.
#![allow(clippy::unwrap_used, missing_docs)]

mod bench;

use bench::{Bench, call, service, until};
use bytes::Bytes;
use ctl::fleet::Signal;
use hyper::Method;
use serde_json::json;
use wire::{Frame, Key};

/// Sends an order to an engine's agent as a holder does that was frozen after its last look at the
/// clock, and gives the answer's status. That moment lies within a few microseconds of an entry's
/// life, so that no signal can be made to hit it; the frame is sent from here instead.
async fn late_order(bench: &Bench, engine: usize, fence: u64) -> u16 {
    let key = Key::new(bench.deployment.key.as_bytes());
    let agent = bench.deployment.agents[engine].listen;
    let (sender, mut receiver) = wire::connect(agent, &key).await.unwrap();
    let body = order(fence);
    sender.send(Frame::Order { fence, body }).await.unwrap();
    loop {
        if let Frame::OrderDone { status, .. } = receiver.recv().await.unwrap().unwrap() {
            return status;
        }
    }
}

fn order(fence: u64) -> Bytes {
    let order = json!({"fence": fence, "order": "unload", "model": "draft"});
    order.to_string().into()
}

/// Freezes the holder after its first order, has the other entry give the next one, and lets the
/// first go on. Gives the first one's fencing number.
async fn take_over(bench: &Bench, fencing: bool) -> u64 {
    bench
        .apply(0, &json!([service(fencing, &[("draft", 1)])]))
        .await;
    until("the first order", async || {
        bench.carried_out(0).await.len() == 1
    })
    .await;
    let first = bench.holder().await;
    let second = 1 - first;
    bench.signal(first, Signal::Stop);
    until("the lease is taken over", async || {
        bench.holds(second).await
    })
    .await;
    let documents = json!([service(fencing, &[("draft", 2)])]);
    bench.apply(second, &documents).await;
    until("the second order", async || {
        bench.carried_out(1).await.len() == 1
    })
    .await;
    bench.signal(first, Signal::Continue);
    until("the first sees its loss", async || {
        !bench.holds(first).await
    })
    .await;
    let old = bench.carried_out(0).await[0];
    assert!(old < bench.carried_out(1).await[0]);
    old
}

async fn check(fencing: bool) {
    let bench = Bench::start("frozen", fencing, &[&[], &[]]).await;
    let old = take_over(&bench, fencing).await;
    for engine in [0, 1] {
        assert_eq!(late_order(&bench, engine, old).await, 412);
        assert_eq!(bench.models(engine).await, json!(["draft"]));
        assert_eq!(bench.carried_out(engine).await.len(), 1);
    }
    // What the agent is there for: past it, only an engine that checks refuses.
    let engine = bench.deployment.runners[1];
    let answer = call(engine, Method::POST, "/v1/orders", order(old)).await;
    assert_eq!(answer.status, if fencing { 412 } else { 200 });
    bench.stop();
}

/// The holder is frozen, its lease lapses, and another entry places a model. The first wakes with
/// an order in hand that takes the model away. Carried out, callers would find no engine for a
/// model that an operator has accepted. The engines check numbers, and so do their agents.
#[tokio::test]
async fn engines_check() {
    check(true).await;
}

/// The same before engines that carry out whatever they are told. Their agents are the only fence,
/// also the one whose engine the new holder has not given any order.
#[tokio::test]
async fn engines_carry_out_all() {
    check(false).await;
}

/// An agent dies after the takeover and comes back with nothing kept. The frozen holder's order is
/// the first to reach it, and must be judged by the number in the table.
#[tokio::test]
async fn agent_restarted() {
    let mut bench = Bench::start("restarted", false, &[&[], &[]]).await;
    let old = take_over(&bench, false).await;
    bench.restart_agent(0).await;
    assert_eq!(late_order(&bench, 0, old).await, 412);
    assert_eq!(bench.carried_out(0).await, [old]);
    bench.stop();
}
