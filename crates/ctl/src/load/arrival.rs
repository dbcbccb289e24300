//! The schedule of requests.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Nominal length of a shared prefix, in characters.
const PREFIX_LENGTH: usize = 4_096;

/// Properties that all requests of one kind share.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Name of the pipeline. Version 1 of it is called.
    pub pipeline: String,
    /// Operations of the stand-ins of its stages, in order, from which the expected answer is
    /// computed. If it is empty, the answer is not checked.
    pub operations: Vec<&'static str>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request may run at most once and carries an idempotency key.
    pub once: bool,
    /// Deadline, from the scheduled time.
    pub deadline: Duration,
    /// Number of tokens of the answer.
    pub tokens: u32,
    /// Number of long prefixes that the inputs share; 0 for short inputs without a shared prefix.
    pub prefixes: u32,
}

/// The requests of one kind from one workspace.
#[derive(Clone, Debug)]
pub struct Source {
    /// Properties of the requests.
    pub work: Arc<Work>,
    /// Workspace of the requests.
    pub workspace: Arc<str>,
    /// Time spans with the rate in each, in requests per second.
    pub phases: Vec<(Range<Duration>, f64)>,
}

impl Source {
    /// Creates a source with a constant rate, in requests per second, from the start to `span`.
    #[must_use]
    pub fn steady(work: Work, workspace: &str, rate: f64, span: Duration) -> Self {
        Self {
            work: Arc::new(work),
            workspace: workspace.into(),
            phases: vec![(Duration::ZERO..span, rate)],
        }
    }
}

/// One scheduled request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Scheduled time, from the start of the run.
    pub at: Duration,
    /// Properties of the request.
    pub work: Arc<Work>,
    /// Workspace of the request.
    pub workspace: Arc<str>,
    /// Text of the input, which is unique in the run.
    pub text: String,
}

/// Draws the requests of all sources, ordered by time. The same seed gives the same requests.
///
/// # Examples
///
/// ```
/// use ctl::load::arrival::{Source, Work, draw};
/// use std::time::Duration;
///
/// let work = Work {
///     pipeline: "review".to_owned(),
///     operations: Vec::new(),
///     stream: true,
///     once: false,
///     deadline: Duration::from_secs(1),
///     tokens: 16,
///     prefixes: 0,
/// };
/// let source = Source::steady(work, "thesis-desk", 100.0, Duration::from_secs(1));
/// let arrivals = draw(&[source.clone()], 7);
/// assert_eq!(arrivals.len(), draw(&[source], 7).len());
/// ```
#[must_use]
pub fn draw(sources: &[Source], seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (number, source) in sources.iter().enumerate() {
        for (span, rate) in &source.phases {
            let mut at = span.start + interarrival_time(*rate, &mut rng);
            while at < span.end {
                let name = format!("{seed}-{number}-{}", arrivals.len());
                arrivals.push(arrival(source, at, &name, &mut rng));
                at += interarrival_time(*rate, &mut rng);
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn arrival(source: &Source, at: Duration, name: &str, rng: &mut SmallRng) -> Arrival {
    let text = match source.work.prefixes {
        0 => name.to_owned(),
        count => format!("{} {name}", prefix(rng.random_range(0..count))),
    };
    Arrival {
        at,
        work: source.work.clone(),
        workspace: source.workspace.clone(),
        text,
    }
}

fn prefix(number: u32) -> String {
    format!("rule {number}. ").repeat(PREFIX_LENGTH / 8)
}

/// Draws the time to the next arrival of a Poisson process.
fn interarrival_time(rate: f64, rng: &mut SmallRng) -> Duration {
    let seconds = -(1.0 - rng.random::<f64>()).ln() / rate;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}
