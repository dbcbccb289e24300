#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::Bench;
use serde_json::{Value, json};
use standin::{Kind, Options};

async fn vms(lag_ms: f64) -> Bench {
    let options = Options {
        lag_ms,
        ..Options::default()
    };
    Bench::start(Kind::Vm, options).await
}

fn vm(id: &str, leaving: bool) -> Value {
    json!({"id": id, "incarnation": 1, "leaving": leaving})
}

#[tokio::test]
async fn true_list() {
    let bench = vms(0.0).await;
    let list = json!({"vms": [vm("a", false), vm("b", false)]});
    assert_eq!(bench.post("/standin/vms", list).await, 204);
    assert_eq!(bench.post("/standin/vm", vm("b", true)).await, 204);
    let deleted = bench.send("DELETE", "/standin/vm?id=a", &[], "").await;
    assert_eq!(deleted.unwrap().status(), 204);
    let shown = bench.get("/v1/vms").await;
    assert_eq!(shown, json!({"vms": [vm("b", true)]}));
}

// A VM has begun to leave, but the list still shows it as it was. Whoever trusts the list alone
// sends new work to a VM that is about to go.
#[tokio::test]
async fn late_list() {
    let bench = vms(3_600_000.0).await;
    assert_eq!(bench.post("/standin/vm", vm("a", true)).await, 204);
    assert_eq!(bench.get("/v1/vms").await, json!({"vms": []}));
}

// The list lags by a short time only, and must show the change in the end.
#[tokio::test]
async fn caught_up_list() {
    let bench = vms(20.0).await;
    assert_eq!(bench.post("/standin/vm", vm("a", true)).await, 204);
    while bench.get("/v1/vms").await != json!({"vms": [vm("a", true)]}) {
        tokio::task::yield_now().await;
    }
}
