#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::Harness;
use serde_json::{Value, json};
use standin::{Kind, Options};

async fn vms(lag_ms: f64) -> Harness {
    let options = Options {
        lag_ms,
        ..Options::default()
    };
    Harness::start(Kind::Vm, options).await
}

fn vm(id: &str, leaving: bool) -> Value {
    json!({"id": id, "incarnation": 1, "leaving": leaving})
}

#[tokio::test]
async fn current_list() {
    let harness = vms(0.0).await;
    let list = json!({"vms": [vm("a", false), vm("b", false)]});
    assert_eq!(harness.post("/standin/vms", list).await, 204);
    assert_eq!(harness.post("/standin/vm", vm("b", true)).await, 204);
    let deleted = harness.send("DELETE", "/standin/vm?id=a", &[], "").await;
    assert_eq!(deleted.unwrap().status(), 204);
    let shown = harness.get("/v1/vms").await;
    assert_eq!(shown, json!({"vms": [vm("b", true)]}));
}

// A VM has begun to leave, but the list does not show it yet. A process that relies on the list
// alone sends new work to a VM that is about to stop.
#[tokio::test]
async fn delayed_list() {
    let harness = vms(3_600_000.0).await;
    assert_eq!(harness.post("/standin/vm", vm("a", true)).await, 204);
    assert_eq!(harness.get("/v1/vms").await, json!({"vms": []}));
}

// The list is delayed by a short time only and must eventually show the change.
#[tokio::test]
async fn list_after_delay() {
    let harness = vms(20.0).await;
    assert_eq!(harness.post("/standin/vm", vm("a", true)).await, 204);
    while harness.get("/v1/vms").await != json!({"vms": [vm("a", true)]}) {
        tokio::task::yield_now().await;
    }
}
