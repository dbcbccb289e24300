//! Runners that report how long work takes on their VM.

mod common;

use common::stage::{cell, order};
use common::{Fake, ready, runner};
use relay::Relay;
use relay::batch::{Order, ReleaseKind};
use relay::downstream::{Handle, Load};
use relay::runner::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time after which a runner's last call no longer tells its slowness.
const MEASURED: Duration = Duration::from_millis(2_010);

struct Runners {
    fake: Fake,
    relay: Arc<Relay<Fake>>,
}

impl Runners {
    fn new() -> Self {
        let fake = Fake::default();
        let relay = ready(fake.clone());
        Self { fake, relay }
    }

    async fn submit(&self, pieces: u32) {
        let order = Order {
            result_bytes: 10,
            ..order("a", pieces)
        };
        let outcome = self.relay.batcher(&cell()).submit(&self.relay, order).await;
        assert!(outcome.expect("an outcome").is_ok());
    }

    /// Has the first runner make twelve calls, the last four of them eight times slower than usual.
    async fn slow_calls(&self) {
        self.relay.update(vec![Change::Gone("s-2".into())]);
        for (slowness, count) in [(3.0, 4), (5.0, 4), (8.0, 4)] {
            let slow = &self.fake.slowness;
            slow.lock()
                .expect("free")
                .insert("s-1".to_owned(), slowness);
            for _ in 0..count {
                self.submit(1).await;
            }
        }
        self.relay
            .update(vec![Change::Listed(runner("s-2", "stage"))]);
    }

    /// Sets the slowness that the first runner reports from now on.
    fn set_report(&self, slowness: f64) {
        let load = Load {
            running: 0,
            waiting: 0,
            slots: 1,
            slowness: Some(slowness),
        };
        let mut loads = self.fake.loads.lock().expect("free");
        loads.insert("s-1".to_owned(), load);
    }

    /// Has the first runner respond to the release of a result.
    async fn release(&self) {
        let address = self.relay.runner("s-1").expect("listed").address;
        let result: Handle = format!("{address}/old").into();
        let batcher = self.relay.batcher(&cell());
        batcher.release(&self.relay, &[result], ReleaseKind::Over);
        sleep(Duration::from_millis(30)).await;
    }

    /// Number of calls to the first runner out of two that are needed at the same time.
    async fn share(&self) -> usize {
        let before = self.fake.stage_calls().len();
        tokio::join!(self.submit(4), self.submit(4));
        let calls = self.fake.stage_calls().split_off(before);
        assert_eq!(calls.len(), 2);
        calls.iter().filter(|call| call.runner == "s-1").count()
    }
}

/// Guards against a runner that has become slow and is the first choice until a call to it has ended, and
/// against a report that is used although it is old.
#[tokio::test(start_paused = true)]
async fn slow_by_report() {
    let runners = Runners::new();
    runners.set_report(4.0);
    runners.release().await;
    assert_eq!(runners.share().await, 0);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(runners.share().await, 1);
}

/// Guards against a runner that has recovered and stays idle because its last calls were slow.
#[tokio::test(start_paused = true)]
async fn recovered_by_report() {
    for (report, share) in [(None, 0), (Some(1.0), 1)] {
        let runners = Runners::new();
        runners.slow_calls().await;
        runners.fake.slowness.lock().expect("free").clear();
        if let Some(report) = report {
            runners.set_report(report);
        }
        sleep(MEASURED).await;
        runners.release().await;
        assert_eq!(runners.share().await, share, "{report:?}");
    }
}

/// Guards against a runner that gets more than its share because it reports that it is fast: the other one
/// would be left idle, or the slow one would get calls.
#[tokio::test(start_paused = true)]
async fn reported_too_fast() {
    let runners = Runners::new();
    runners.set_report(0.1);
    runners.release().await;
    assert_eq!(runners.share().await, 1);
    runners.slow_calls().await;
    assert_eq!(runners.share().await, 0);
}

/// Guards against a runner that gets nothing because it reports that it is slow although its calls are not.
#[tokio::test(start_paused = true)]
async fn reported_too_slow() {
    let runners = Runners::new();
    assert_eq!(runners.share().await, 1);
    runners.set_report(4.0);
    runners.release().await;
    for _ in 0..8 {
        assert_eq!(runners.share().await, 1);
    }
}
