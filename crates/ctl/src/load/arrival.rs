//! When which request is to be sent.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Characters of a shared prefix.
const PREFIX_LENGTH: usize = 4_096;

/// What all requests of one kind have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Name of the pipeline; its version 1 is called.
    pub pipeline: String,
    /// Operations of the stand-ins of its stages, in order, by which the answer is checked; none
    /// if it is not to be checked.
    pub operations: Vec<&'static str>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request may run at most once and bears an idempotency key.
    pub once: bool,
    /// Deadline from the intended time.
    pub deadline: Duration,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Long prefixes that the inputs share; 0 for short inputs that share none.
    pub prefixes: u32,
}

/// Requests of one kind from one workspace.
#[derive(Clone, Debug)]
pub struct Source {
    /// What is asked for.
    pub work: Arc<Work>,
    /// Workspace of the callers.
    pub workspace: Arc<str>,
    /// Spans of time and the requests a second in each.
    pub phases: Vec<(Range<Duration>, f64)>,
}

impl Source {
    /// A source with one rate, in requests a second, from the start to `span`.
    #[must_use]
    pub fn steady(work: Work, workspace: &str, rate: f64, span: Duration) -> Self {
        Self {
            work: Arc::new(work),
            workspace: workspace.into(),
            phases: vec![(Duration::ZERO..span, rate)],
        }
    }
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is to be sent, from the start of the run.
    pub at: Duration,
    /// What is asked for.
    pub work: Arc<Work>,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Text of the input; differs from request to request.
    pub text: String,
}

/// Draws all requests of the sources, in order of time; the same seed gives the same requests.
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
            let mut at = span.start + pause(*rate, &mut rng);
            while at < span.end {
                let name = format!("{seed}-{number}-{}", arrivals.len());
                arrivals.push(arrival(source, at, &name, &mut rng));
                at += pause(*rate, &mut rng);
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

/// Time to the next arrival of a Poisson process.
fn pause(rate: f64, rng: &mut SmallRng) -> Duration {
    let seconds = -(1.0 - rng.random::<f64>()).ln() / rate;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}
