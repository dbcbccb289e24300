//! Counts and histograms of a run.

use super::arrival::Arrival;
use super::caller::{RequestOutcome, RequestResult};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of the recorded times, in microseconds. Longer times count as this one.
const MAX_TIME_US: u64 = 120_000_000;

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that were scheduled.
    pub offered: u64,
    /// Answered completely by the deadline.
    pub on_time: u64,
    /// Answered completely after the deadline.
    pub late: u64,
    /// Refused before anything ran, at the last submission.
    pub not_run: u64,
    /// Answered with the problem that it may have run.
    pub unknown: u64,
    /// Executed and failed.
    pub failed: u64,
    /// Ended without an answer or problem.
    pub lost: u64,
    /// Answered with the answer to another request.
    pub crossed: u64,
    /// Submissions of all requests.
    pub submitted: u64,
    /// Fraction of the offered requests that were answered on time, from 0 to 1.
    pub attainment: f64,
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests that were due in this second.
    pub due: u64,
    /// Requests due in this second that were answered on time, in this second or later.
    pub met: u64,
    /// Requests whose answer arrived on time and in this second.
    pub goodput: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// All requests.
    #[serde(flatten)]
    pub counts: Counts,
    /// From the scheduled time to the complete answer.
    pub latency_ms: Quantiles,
    /// From the scheduled time to the first part of a stream.
    pub ttft_ms: Quantiles,
    /// Between the parts of a stream.
    pub itl_ms: Quantiles,
    /// Counts by workspace.
    pub by_workspace: BTreeMap<String, Counts>,
    /// Counts by pipeline.
    pub by_pipeline: BTreeMap<String, Counts>,
    /// Counts by second since the start.
    pub by_second: Vec<Second>,
}

/// Counts and histograms that are updated as requests finish.
#[derive(Clone, Debug)]
pub struct Tally {
    counts: Counts,
    by_workspace: BTreeMap<String, Counts>,
    by_pipeline: BTreeMap<String, Counts>,
    seconds: Vec<Second>,
    latency: Histogram<u64>,
    time_to_first: Histogram<u64>,
    intervals: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let empty = || Histogram::new_with_max(MAX_TIME_US, 3).expect("bounds are valid");
        Self {
            counts: Counts::default(),
            by_workspace: BTreeMap::new(),
            by_pipeline: BTreeMap::new(),
            seconds: Vec::new(),
            latency: empty(),
            time_to_first: empty(),
            intervals: empty(),
        }
    }
}

impl Counts {
    fn add(&mut self, outcome: &RequestOutcome, on_time: bool, submissions: u32) {
        self.offered += 1;
        self.submitted += u64::from(submissions);
        let count = match outcome {
            RequestOutcome::Complete if on_time => &mut self.on_time,
            RequestOutcome::Complete => &mut self.late,
            RequestOutcome::NotRun(_) => &mut self.not_run,
            RequestOutcome::Unknown => &mut self.unknown,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Lost => &mut self.lost,
            RequestOutcome::Wrong => &mut self.crossed,
        };
        *count += 1;
        self.attainment = self.on_time as f64 / self.offered as f64;
    }

    fn merge(&mut self, other: &Self) {
        self.offered += other.offered;
        self.on_time += other.on_time;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.lost += other.lost;
        self.crossed += other.crossed;
        self.submitted += other.submitted;
        self.attainment = self.on_time as f64 / self.offered.max(1) as f64;
    }
}

impl Tally {
    /// Counts a request that finished at this time since the start.
    pub fn add(&mut self, arrival: &Arrival, result: &RequestResult, finished: Duration) {
        let on_time = result.elapsed <= arrival.work.deadline;
        let met = on_time && result.outcome == RequestOutcome::Complete;
        let due = self.second(arrival.at);
        due.due += 1;
        due.met += u64::from(met);
        self.second(finished).goodput += u64::from(met);
        let workspace = self.by_workspace.entry(arrival.workspace.to_string());
        let pipeline = self.by_pipeline.entry(arrival.work.pipeline.clone());
        for counts in [
            &mut self.counts,
            workspace.or_default(),
            pipeline.or_default(),
        ] {
            counts.add(&result.outcome, on_time, result.submissions);
        }
        if result.outcome == RequestOutcome::Complete {
            record(&mut self.latency, result.elapsed);
        }
        result
            .time_to_first
            .iter()
            .for_each(|time| record(&mut self.time_to_first, *time));
        result
            .intervals
            .iter()
            .for_each(|interval| record(&mut self.intervals, *interval));
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let index = usize::try_from(at.as_secs()).unwrap_or_default();
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    /// Adds another run's counts and histograms.
    pub fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts);
        for (all, others) in [
            (&mut self.by_workspace, &other.by_workspace),
            (&mut self.by_pipeline, &other.by_pipeline),
        ] {
            for (name, counts) in others {
                all.entry(name.clone()).or_default().merge(counts);
            }
        }
        for (second, other) in other.seconds.iter().enumerate() {
            let own = self.second(Duration::from_secs(second as u64));
            own.due += other.due;
            own.met += other.met;
            own.goodput += other.goodput;
        }
        for (all, others) in [
            (&mut self.latency, &other.latency),
            (&mut self.time_to_first, &other.time_to_first),
            (&mut self.intervals, &other.intervals),
        ] {
            // This cannot fail, since all histograms have the same bounds.
            let _ = all.add(others);
        }
    }

    /// Returns the results of the run.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            counts: self.counts,
            latency_ms: quantiles(&self.latency),
            ttft_ms: quantiles(&self.time_to_first),
            itl_ms: quantiles(&self.intervals),
            by_workspace: self.by_workspace.clone(),
            by_pipeline: self.by_pipeline.clone(),
            by_second: self.seconds.clone(),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
    histogram.saturating_record(micros);
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}
