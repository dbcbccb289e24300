//! Exchange of the load that the processes' calls put on model runners.

use decide::route::CallLoad;
use relay::peer::CallLoadTable;
use std::time::Duration;
use tokio::time::sleep;

fn call_load(calls: u32) -> CallLoad {
    CallLoad {
        calls,
        reading: 0.1 * f64::from(calls),
    }
}

/// Guards against a process that counts its own calls twice, and so avoids the runner that has its
/// clients' prompts in the cache. Each process must receive the load of the others only.
#[tokio::test(start_paused = true)]
async fn excludes_own_calls() {
    let table = CallLoadTable::default();
    let service = "models".into();
    table.exchange(&service, "a".into(), vec![("one".into(), call_load(2))]);
    let both = vec![("one".into(), call_load(1)), ("two".into(), call_load(4))];
    let to_b = table.exchange(&service, "b".into(), both);
    assert_eq!(to_b, [("one".into(), call_load(2))]);
    let to_a = table.exchange(&service, "a".into(), Vec::new());
    assert_eq!(to_a.len(), 2);
    let to_c = table.exchange(&service, "c".into(), Vec::new());
    assert_eq!(to_c.len(), 2, "a has no calls any more");
}

/// Guards against idle runners after a process was killed with calls in progress: its last report must
/// not count for longer than its calls could last.
#[tokio::test(start_paused = true)]
async fn old_report_expires() {
    let table = CallLoadTable::default();
    let service = "models".into();
    table.exchange(&service, "a".into(), vec![("one".into(), call_load(9))]);
    sleep(Duration::from_millis(600)).await;
    assert!(table.exchange(&service, "b".into(), Vec::new()).is_empty());
}
