//! The platform is unavailable for the whole duration of an operation.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{CALLER_TIMEOUT, run, spawn, wait_for_runs};
use ctl::fleet::Signal;
use ctl::rig::caller::ClientRequest;
use ctl::rig::probe::{set_faults, wait_until};
use ctl::rig::record::{LABEL, PRINT};
use ctl::rig::runner::Plan;
use serde_json::json;

/// Guards against an entry that waits forever for the table service at shutdown and has to be
/// killed when its VM is replaced: the service goes down during a call, and the entry is stopped.
/// The caller gets the answer, and the entry exits although it cannot record that the call ran.
#[test]
fn stop_without_table() {
    run("stop-without-table", async |mut bench| {
        let first = bench.entry("entry-1").await.unwrap();
        bench
            .runner("printer", Plan::new(LABEL, 1).time(300.0))
            .await
            .unwrap();
        bench.ready().await.unwrap();
        let callers = spawn([ClientRequest::new(PRINT, "w-1").key("w-1")], &[first]);
        wait_for_runs(&bench, LABEL, 1).await;
        for address in [bench.table.address(), bench.objects.address()] {
            set_faults(address, &json!({"down": true})).await.unwrap();
        }
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        for caller in callers {
            let (_, record) = tokio::time::timeout(CALLER_TIMEOUT, caller)
                .await
                .unwrap()
                .unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
        }
        let mut status = None;
        while status.is_none() {
            status = bench.fleet.try_wait("entry-1").unwrap();
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert!(status.unwrap().success());
        wait_until("the label is printed once", || async {
            bench.executions(LABEL).await.len() == 1
        })
        .await
        .unwrap();
    });
}
