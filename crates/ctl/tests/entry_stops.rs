//! Entries that stop while callers' requests have arrived in part, and signals that are not a stop.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::run;
use ctl::fleet::Signal;
use ctl::rig::record::ASSISTANT;
use ctl::rig::runner::Plan;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time in which an entry reads what has arrived.
const SETTLE: Duration = Duration::from_millis(300);

/// Stops an entry that waits for the rest of a request, which never arrives.
fn stop_under(name: &str, text: &'static str) {
    run(name, async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        bench.runner("one", Plan::new(ASSISTANT, 16)).await.unwrap();
        bench.ready().await.unwrap();
        let mut caller = TcpStream::connect(entry).await.unwrap();
        caller.write_all(text.as_bytes()).await.unwrap();
        sleep(SETTLE).await;
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        assert!(bench.wait_for_exit("entry-1").await.unwrap());
        drop(caller);
    });
}

/// Guards against an entry that never stops because a caller has sent a part of a request's head.
#[test]
fn stop_under_partial_head() {
    let text = "POST /v1/pipelines/draft/versions/@current/run HTTP/1.1\r\nHo";
    stop_under("entry-stops-head", text);
}

/// Guards against the same for a request of which a part of the body has arrived.
#[test]
fn stop_under_partial_body() {
    let text = "POST /v1/pipelines/draft/versions/@current/run HTTP/1.1\r\nHost: x\r\n\
        Linnetdrift-Workspace: w\r\nContent-Length: 20\r\n\r\n{";
    stop_under("entry-stops-body", text);
}

/// Guards against a process that ends, with its requests, by a signal to reload its settings, since it has no
/// handler for it.
#[test]
fn reload_ends_nothing() {
    run("entry-stops-reload", async |mut bench| {
        bench.entry("entry-1").await.unwrap();
        bench.runner("one", Plan::new(ASSISTANT, 16)).await.unwrap();
        bench.ready().await.unwrap();
        for id in ["entry-1", "one"] {
            bench.fleet.signal(id, Signal::Reload).unwrap();
            sleep(SETTLE).await;
            assert!(bench.is_running(id).unwrap(), "{id} has ended");
        }
    });
}
