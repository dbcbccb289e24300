//! Counts and histograms of a run.

use super::arrival::Arrival;
use super::caller::{RequestOutcome, RequestResult};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time told apart from longer ones, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that were to be sent.
    pub offered: u64,
    /// Answered whole by the deadline.
    pub on_time: u64,
    /// Answered whole after it.
    pub late: u64,
    /// Refused, at the last submission, before anything ran.
    pub not_run: u64,
    /// Told that it may have run.
    pub unknown: u64,
    /// Ran and failed.
    pub failed: u64,
    /// Neither answer nor problem.
    pub lost: u64,
    /// Answered with something else.
    pub crossed: u64,
    /// Times that requests were submitted.
    pub submitted: u64,
    /// Share of the offered that was on time, from 0 to 1.
    pub attainment: f64,
}

/// Quantiles of a time in milliseconds.
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
    /// Requests that were due in it.
    pub due: u64,
    /// Those of them that were answered on time, whenever that was.
    pub met: u64,
    /// Requests whose answer came in it, on time.
    pub goodput: u64,
}

/// What a run has come to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// All requests.
    #[serde(flatten)]
    pub counts: Counts,
    /// From the intended time to the whole answer.
    pub latency_ms: Quantiles,
    /// From the intended time to the first part of a stream.
    pub ttft_ms: Quantiles,
    /// Between the parts of a stream.
    pub itl_ms: Quantiles,
    /// By workspace.
    pub by_workspace: BTreeMap<String, Counts>,
    /// By pipeline.
    pub by_pipeline: BTreeMap<String, Counts>,
    /// By second since the start.
    pub by_second: Vec<Second>,
}

/// Counts as the requests end.
#[derive(Clone, Debug)]
pub struct Tally {
    counts: Counts,
    by_workspace: BTreeMap<String, Counts>,
    by_pipeline: BTreeMap<String, Counts>,
    seconds: Vec<Second>,
    latency: Histogram<u64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let empty = || Histogram::new_with_max(LONGEST_US, 3).expect("bounds are valid");
        Self {
            counts: Counts::default(),
            by_workspace: BTreeMap::new(),
            by_pipeline: BTreeMap::new(),
            seconds: Vec::new(),
            latency: empty(),
            first: empty(),
            between: empty(),
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
    /// Counts a request that ended at this time since the start.
    pub fn add(&mut self, arrival: &Arrival, result: &RequestResult, ended: Duration) {
        let on_time = result.elapsed <= arrival.work.deadline;
        let met = on_time && result.outcome == RequestOutcome::Complete;
        let due = self.second(arrival.at);
        due.due += 1;
        due.met += u64::from(met);
        self.second(ended).goodput += u64::from(met);
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
            .for_each(|first| record(&mut self.first, *first));
        result
            .intervals
            .iter()
            .for_each(|between| record(&mut self.between, *between));
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let place = usize::try_from(at.as_secs()).unwrap_or_default();
        if self.seconds.len() <= place {
            self.seconds.resize(place + 1, Second::default());
        }
        &mut self.seconds[place]
    }

    /// Takes in another run's counts.
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
            (&mut self.first, &other.first),
            (&mut self.between, &other.between),
        ] {
            // The bounds of all histograms are the same.
            let _ = all.add(others);
        }
    }

    /// What the run has come to.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            counts: self.counts,
            latency_ms: quantiles(&self.latency),
            ttft_ms: quantiles(&self.first),
            itl_ms: quantiles(&self.between),
            by_workspace: self.by_workspace.clone(),
            by_pipeline: self.by_pipeline.clone(),
            by_second: self.seconds.clone(),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
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
