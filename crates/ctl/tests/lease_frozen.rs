//! Orders of a lease holder that was suspended while another entry took over, with separate
//! processes.
#![allow(clippy::unwrap_used, missing_docs)]

mod bench;

use bench::{Bench, call, service, wait_until};
use bytes::Bytes;
use ctl::fleet::Signal;
use hyper::Method;
use serde_json::json;
use wire::{Frame, Key};

/// Sends an order to an engine's agent like a lease holder that was suspended after its last check
/// of the lease, and returns the status of the response. The window between check and sending lasts
/// a few microseconds, so no signal can hit it reliably; the test sends the frame itself instead.
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

/// Suspends the lease holder after its first order, lets the other entry send the next order, and
/// resumes the first entry. Returns the fencing token of the first order.
async fn take_over(bench: &Bench, fencing: bool) -> u64 {
    bench
        .apply(0, &json!([service(fencing, &[("draft", 1)])]))
        .await;
    wait_until("the first order", async || {
        bench.carried_out(0).await.len() == 1
    })
    .await;
    let first = bench.lease_holder().await;
    let second = 1 - first;
    bench.signal(first, Signal::Stop);
    wait_until("the lease is taken over", async || {
        bench.holds_lease(second).await
    })
    .await;
    let documents = json!([service(fencing, &[("draft", 2)])]);
    bench.apply(second, &documents).await;
    wait_until("the second order", async || {
        bench.carried_out(1).await.len() == 1
    })
    .await;
    bench.signal(first, Signal::Continue);
    wait_until(
        "the first entry detects the loss of its lease",
        async || !bench.holds_lease(first).await,
    )
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
    // Without the agent in between, only an engine that checks fencing tokens refuses the order.
    let engine = bench.deployment.runners[1];
    let answer = call(engine, Method::POST, "/v1/orders", order(old)).await;
    assert_eq!(answer.status, if fencing { 412 } else { 200 });
    bench.stop();
}

/// Guards against stale orders: the lease holder is suspended, its lease expires, and another entry
/// places a model. The first one resumes with a pending order to unload the model, after which no
/// engine would serve a model that an operator has accepted. Engines and agents check fencing
/// tokens.
#[tokio::test]
async fn engines_check() {
    check(true).await;
}

/// The same with engines that execute every order. Only their agents check fencing tokens,
/// including the agent whose engine has not received any order from the new holder.
#[tokio::test]
async fn engines_carry_out_all() {
    check(false).await;
}

/// An agent crashes after the takeover and restarts without state. The stale order is the first one
/// that it receives, and must be checked against the fencing token in the table.
#[tokio::test]
async fn agent_restarted() {
    let mut bench = Bench::start("restarted", false, &[&[], &[]]).await;
    let old = take_over(&bench, false).await;
    bench.restart_agent(0).await;
    assert_eq!(late_order(&bench, 0, old).await, 412);
    assert_eq!(bench.carried_out(0).await, [old]);
    bench.stop();
}
