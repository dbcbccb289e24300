//! The platform is away for the whole of something that an operator or caller wants done.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{PATIENCE, run, spawn, until_runs};
use ctl::fleet::Signal;
use ctl::rig::caller::Ask;
use ctl::rig::probe::{fault, until};
use ctl::rig::record::{LABEL, PRINT};
use ctl::rig::runner::Plan;
use serde_json::json;

/// The table service goes down while a label prints, and the entry is asked to stop. The fitter gets
/// the answer, and the entry ends although it can never note that the label is printed; it used to
/// wait for the table service without end, and whoever replaces VMs would have had to kill it.
#[test]
fn stop_without_table() {
    run("stop-without-table", async |mut bench| {
        let first = bench.entry("entry-1").await.unwrap();
        bench
            .runner("printer", Plan::new(LABEL, 1).time(300.0))
            .await
            .unwrap();
        bench.ready().await.unwrap();
        let callers = spawn([Ask::new(PRINT, "w-1").key("w-1")], &[first]);
        until_runs(&bench, LABEL, 1).await;
        for address in [bench.table.address(), bench.objects.address()] {
            fault(address, &json!({"down": true})).await.unwrap();
        }
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        for caller in callers {
            let (_, word) = tokio::time::timeout(PATIENCE, caller)
                .await
                .unwrap()
                .unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
        }
        let mut status = None;
        while status.is_none() {
            status = bench.fleet.try_wait("entry-1").unwrap();
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert!(status.unwrap().success());
        until("the label is printed once", || async {
            bench.executions(LABEL).await.len() == 1
        })
        .await
        .unwrap();
    });
}
