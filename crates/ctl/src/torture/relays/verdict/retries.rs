//! Check that all relays together keep to the bound on retries.

use super::{Runs, Verdict};
use stub::Micros;
use stub::caller::RequestRecord;
use stub::config::{MODEL, PLAIN};

impl Verdict {
    /// Checks that no service runs more requests again, in any window, than the bound of all relays allows.
    pub(super) fn check_retry_bound(&mut self, records: &[RequestRecord], runs: &Runs<'_>) {
        for (service, streams) in [(PLAIN, false), (MODEL, true)] {
            let requests = || {
                let kind = move |record: &&RequestRecord| record.request.kind.streams() == streams;
                records.iter().filter(kind)
            };
            let retries = requests()
                .filter_map(|record| runs.get(record.request.id.as_str()))
                .flat_map(|runs| later_starts(runs.iter().map(|run| run.started)));
            let service_load = ServiceLoad {
                requests: sorted(requests().map(|record| record.sent)),
                retries: sorted(retries),
            };
            for found in service_load.exceeded_windows().take(1) {
                self.record_violation("bound on retries exceeded", &(service, found));
            }
        }
    }
}

/// Times at which a service was sent requests and retries.
struct ServiceLoad {
    requests: Vec<Micros>,
    retries: Vec<Micros>,
}

impl ServiceLoad {
    /// Windows with more retries than allowed: their start, retries, requests and allowed retries.
    fn exceeded_windows(&self) -> impl Iterator<Item = (Micros, usize, usize, f64)> {
        let bound = setting::relay::RetryBound::default();
        let window = (bound.window_s * 1e6) as Micros;
        self.retries.iter().filter_map(move |&from| {
            let retries = within(&self.retries, from, window);
            let requests = [0, window / 2, window]
                .map(|earlier| within(&self.requests, from.saturating_sub(earlier), window))
                .into_iter()
                .max()?;
            let allowed = bound.ratio * requests as f64 + bound.slack;
            (retries as f64 > allowed).then_some((from, retries, requests, allowed))
        })
    }
}

/// All but the first of these times.
fn later_starts(starts: impl Iterator<Item = Micros>) -> Vec<Micros> {
    sorted(starts).split_off(1)
}

fn sorted(times: impl Iterator<Item = Micros>) -> Vec<Micros> {
    let mut times: Vec<Micros> = times.collect();
    times.sort_unstable();
    times
}

/// Number of the sorted times within a window.
fn within(times: &[Micros], from: Micros, window: Micros) -> usize {
    let begin = times.partition_point(|at| *at < from);
    times[begin..].partition_point(|at| *at < from + window)
}
