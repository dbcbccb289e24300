//! Shared code of the failure tests: a bench with a time limit, and checks against the executions.

#![allow(dead_code)]

use ctl::error::Outcome;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, RequestRecord, ResponseOutcome};
use ctl::rig::probe::wait_until;
use standin::log::ExecutionStatus;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);
/// Time after which a caller stops retrying.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(45);

/// Runs a test on a new bench.
pub(crate) fn run(name: &str, test: impl AsyncFnOnce(Bench)) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let result = runtime.block_on(async {
        let bench = Bench::new(directory, programs.unwrap().to_owned())
            .await
            .unwrap();
        tokio::time::timeout(TEST_TIMEOUT, test(bench)).await
    });
    assert!(result.is_ok(), "{name} did not end in {TEST_TIMEOUT:?}");
}

/// Waits until a service has started a number of executions.
pub(crate) async fn wait_for_runs(bench: &Bench, service: &str, count: usize) {
    wait_until("the service has run the calls", || async {
        bench.executions(service).await.len() >= count
    })
    .await
    .unwrap();
}

/// Waits until no execution of a service is in progress.
pub(crate) async fn wait_until_idle(bench: &Bench, service: &str) {
    wait_until("the service is idle", || async {
        let executions = bench.executions(service).await;
        executions
            .iter()
            .all(|one| one.ended != ExecutionStatus::Running)
    })
    .await
    .unwrap();
}

/// Checks the outcome reported to a caller against the number of executions.
pub(crate) async fn check_outcome(
    bench: &Bench,
    service: &str,
    request: &ClientRequest,
    record: &RequestRecord,
) {
    let runs = bench.runs(service, &request.input()).await;
    let is_consistent = match record.last() {
        Some(ResponseOutcome::Whole { .. }) => runs == 1,
        Some(response) if response.outcome() == Some(Outcome::NotRun) => runs == 0,
        Some(response) if response.outcome() == Some(Outcome::Unknown) => runs <= 1,
        _ => false,
    };
    assert!(
        is_consistent,
        "{}: ran {runs} times, told {record:?}",
        request.text
    );
}

/// Starts callers that retry until they get a final outcome.
pub(crate) fn spawn(
    requests: impl IntoIterator<Item = ClientRequest>,
    entries: &[std::net::SocketAddr],
) -> Vec<tokio::task::JoinHandle<(ClientRequest, RequestRecord)>> {
    let caller = |request: ClientRequest| {
        let entries = entries.to_vec();
        tokio::spawn(async move {
            let record = request.send_until_final(&entries, CALLER_TIMEOUT).await;
            (request, record)
        })
    };
    requests.into_iter().map(caller).collect()
}
