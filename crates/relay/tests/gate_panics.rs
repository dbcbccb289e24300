//! A gate whose scheduled poll panics.

mod common;

use common::credits::{Asker, WINDOW, demand};
use common::pair::advance_time;
use common::panics::LogPanic;
use common::poison::fake;
use common::{configured, with_log};
use relay::flow::{Demand, Verdict};
use std::time::Duration;
use tokio::time::timeout;

/// Time after which the request that waits has expired, which only a poll of the gate finds.
const EXPIRY: Duration = Duration::from_secs(4);

/// Guards against requests that wait at a gate which nobody polls any more, until the next request asks there.
#[tokio::test(start_paused = true)]
async fn poll_goes_on() {
    tokio::spawn(advance_time());
    let panic = LogPanic::new("gate in use");
    let relay = configured(with_log(fake(), panic.logger()));
    let mut asker = Asker::open(&relay).await;
    asker.hold(WINDOW).await;
    let waiting = Demand {
        expires: EXPIRY,
        due: EXPIRY,
        ..demand(WINDOW)
    };
    let (ticket, verdict) = asker.ask(waiting).await;
    assert!(matches!(verdict, Verdict::Wait { .. }), "{verdict:?}");
    panic.arm();
    let ended = timeout(EXPIRY * 2, asker.final_verdict(ticket)).await;
    assert!(!panic.is_armed(), "the poll has panicked");
    assert!(ended.is_ok(), "no poll has ended the wait");
}
