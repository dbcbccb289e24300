//! Calls with pieces that panic.

mod common;

use common::{Behavior, Fake, StreamEnd, configuration, request, runner, unconfigured};
use relay::runner::Change;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Part of the time of a request that is enough for its pieces twice.
const STAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against pieces that nobody makes because the task that called their runner has panicked: the request waits
/// for them until its deadline, and with an order of another relay a stopping process waits too.
#[tokio::test]
async fn pieces_made_after_panic() {
    let whole = Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Whole,
    };
    let fake = Fake::with_behaviors([whole]);
    let relay = unconfigured(fake.clone());
    relay.adopt(configuration(1));
    let runners = [("p-1", "plain"), ("s-1", "stage"), ("s-2", "stage")];
    let listed = runners.map(|(id, service)| Change::Listed(runner(id, service)));
    relay.update(listed.into());
    fake.stage_panics.store(true, Ordering::SeqCst);
    let serving = relay.serve(request("a", "staged"));
    let calls_made = async {
        while fake.stage_calls().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        fake.stage_panics.store(false, Ordering::SeqCst);
    };
    let both = futures::future::join(serving, calls_made);
    let (answer, ()) = timeout(STAGE_TIMEOUT, both).await.expect("in time");
    assert_eq!(answer.status, 200);
    assert_eq!(fake.sent()[0].inputs, 3);
}
