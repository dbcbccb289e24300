//! Sends all requests at their scheduled times.

use super::arrival::Arrival;
use super::caller::Caller;
use super::tally::Tally;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Sends each request at its scheduled time, in a separate task, and waits until all have finished.
/// Requests that are due before `warm_up` are sent but not counted.
pub async fn run(caller: &Caller, arrivals: Vec<Arrival>, warm_up: Duration) -> Tally {
    let start = Instant::now();
    let mut tally = Tally::default();
    let mut tasks = JoinSet::new();
    for arrival in arrivals {
        let due = start + arrival.at;
        tokio::time::sleep_until(due).await;
        let caller = caller.clone();
        tasks.spawn(async move {
            let result = caller.call(&arrival, due).await;
            (arrival, result)
        });
        while let Some(finished) = tasks.try_join_next() {
            count(&mut tally, finished, warm_up, start);
        }
    }
    while let Some(finished) = tasks.join_next().await {
        count(&mut tally, finished, warm_up, start);
    }
    tally
}

fn count(
    tally: &mut Tally,
    finished: Result<(Arrival, super::caller::RequestResult), tokio::task::JoinError>,
    warm_up: Duration,
    start: Instant,
) {
    // A join error means that the task panicked, which a call never does.
    if let Ok((arrival, result)) = finished
        && arrival.at >= warm_up
    {
        tally.add(&arrival, &result, result.finished_at - start);
    }
}
