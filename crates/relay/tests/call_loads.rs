//! What the processes tell one another of their calls at model runners.

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

/// Each process is told what all others have. Counted twice, its own calls would drive it away from
/// the runner that holds its callers' prompts.
#[tokio::test(start_paused = true)]
async fn others_only() {
    let board = CallLoadTable::default();
    let service = "models".into();
    board.exchange(&service, "a".into(), vec![("one".into(), call_load(2))]);
    let both = vec![("one".into(), call_load(1)), ("two".into(), call_load(4))];
    let to_b = board.exchange(&service, "b".into(), both);
    assert_eq!(to_b, [("one".into(), call_load(2))]);
    let to_a = board.exchange(&service, "a".into(), Vec::new());
    assert_eq!(to_a.len(), 2);
    let to_c = board.exchange(&service, "c".into(), Vec::new());
    assert_eq!(to_c.len(), 2, "a has nothing there any more");
}

/// A process is killed with calls in progress and says no more. What it said last must not count for
/// longer than its calls could, or the runners would stand idle.
#[tokio::test(start_paused = true)]
async fn old_word_lapses() {
    let board = CallLoadTable::default();
    let service = "models".into();
    board.exchange(&service, "a".into(), vec![("one".into(), call_load(9))]);
    sleep(Duration::from_millis(600)).await;
    assert!(board.exchange(&service, "b".into(), Vec::new()).is_empty());
}
