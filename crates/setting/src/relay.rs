//! Settings of a relay.

use crate::check::{self, Field, Findings, Shape};
use crate::shared::{self, Place, Policy};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Allowed number of processes.
const PROCESSES: Shape = Shape::Integer {
    min: 1,
    max: 10_000,
};

/// Allowed memory of a process, in megabytes.
const MEMORY_MB: Shape = Shape::Integer {
    min: 16,
    max: 65_536,
};

const REPEATS: Shape = Shape::Object(&[
    Field::required("ratio", Shape::Ratio),
    Field::required("slack", Shape::NonNegative),
    Field::required("window_s", Shape::NonNegative),
    Field::optional("processes", PROCESSES),
]);

const WARMUP: Shape = Shape::Object(&[
    Field::required("excess", Shape::NonNegative),
    Field::required("slack", Shape::NonNegative),
]);

const POLICY: Shape = Shape::Object(&[
    Field::optional("batches", shared::POLICY),
    Field::optional("admission", shared::POLICY),
    Field::optional("near", shared::POLICY),
    Field::optional("whole", shared::POLICY),
    Field::optional("small_first", shared::POLICY),
    Field::optional("fetched", shared::POLICY),
    Field::optional("board", shared::POLICY),
    Field::optional("warmup", shared::POLICY),
    Field::optional("absent", shared::POLICY),
    Field::optional("suspects", shared::POLICY),
    Field::optional("flow", shared::POLICY),
    Field::optional("prefill", shared::POLICY),
]);

const FIELDS: &[Field] = &[
    Field::required("id", Shape::Name),
    Field::required("place", shared::PLACE),
    Field::optional("places", Shape::List(&shared::PLACE)),
    Field::required("listen", Shape::Listen),
    Field::required("ready", Shape::Listen),
    Field::required("metrics", Shape::Listen),
    Field::required("peers", Shape::Listen),
    Field::required("key", Shape::Text),
    Field::optional("weight", Shape::NonNegative),
    Field::optional("memory_mb", MEMORY_MB),
    Field::optional("first_start", Shape::Bool),
    Field::required("store", Shape::Address),
    Field::optional("repeats", REPEATS),
    Field::optional("warmup", WARMUP),
    Field::optional("grace_s", Shape::NonNegative),
    Field::optional("drain_ms", Shape::NonNegative),
    Field::optional("policy", POLICY),
];

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// Name of the VM.
    pub id: String,
    /// Region and failure domain of the VM.
    pub place: Place,
    /// All failure domains of the deployment, with their regions.
    #[serde(default)]
    pub places: Vec<Place>,
    /// Address that clients connect to; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Address at which the platform checks whether the relay is ready for clients.
    pub ready: SocketAddr,
    /// Address of the metrics endpoint; port 0 picks a free one.
    pub metrics: SocketAddr,
    /// Address that the other relays connect to; port 0 picks a free one.
    pub peers: SocketAddr,
    /// Shared key of the relays.
    pub key: String,
    /// Weight of the relay when work is divided among the relays: the fraction of a core that it
    /// has.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Memory that the process may use, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Whether the whole system starts for the first time, so that no clients are waiting.
    #[serde(default)]
    pub first_start: bool,
    /// Address of the platform's table service.
    pub store: SocketAddr,
    /// Bound on the retries of the whole fleet.
    #[serde(default)]
    pub repeats: RetryBound,
    /// Bound on the request rate to runners that have just started.
    #[serde(default)]
    pub warmup: Warmup,
    /// Time from the shutdown request until the process is killed, in seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// Time within which new work must stop reaching a runner that has announced its shutdown, in
    /// milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: f64,
    /// Choice between the shipped and the baseline algorithms.
    #[serde(default)]
    pub policy: Policies,
}

/// Algorithms of a relay, each shipped or baseline, for comparisons. The documentation of a field
/// names the shipped algorithm first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policies {
    /// Batching of stage calls: several requests per call by slack, or one request per call in
    /// order of arrival.
    #[serde(default)]
    pub batches: Policy,
    /// Which requests are refused: those that cannot be served in time, or none before the
    /// deadline.
    #[serde(default)]
    pub admission: Policy,
    /// Where stages run: near their inputs as far as time allows, or on any free runner.
    #[serde(default)]
    pub near: Policy,
    /// How the pieces of a request are grouped: in one call as far as they fit, or as they fill
    /// calls.
    #[serde(default)]
    pub whole: Policy,
    /// Which pieces go first among those that are equally urgent: those of requests with few
    /// pieces, or any.
    #[serde(default)]
    pub small_first: Policy,
    /// How long the inputs of a stage occupy space: until its call has fetched them, or until the
    /// call has ended.
    #[serde(default)]
    pub fetched: Policy,
    /// How a relay estimates the other relays' calls to model runners: from their reports, or as
    /// its own calls times the number of relays.
    #[serde(default)]
    pub board: Policy,
    /// Which processes send to runners that have just started: a few, at a bounded rate, where no
    /// other runner is available, or all.
    #[serde(default)]
    pub warmup: Policy,
    /// When listed runners with no listener at their address get work: only once something listens
    /// there, or like any other runner.
    #[serde(default)]
    pub absent: Policy,
    /// When a request during which a runner has exited is sent to another runner: once enough of
    /// the service's runners are up, or at once.
    #[serde(default)]
    pub suspects: Policy,
    /// When requests whose stages depend on one another start: once the stages together can complete
    /// them in time, or as they arrive.
    #[serde(default)]
    pub flow: Policy,
    /// Speed at which model runners are assumed to read prompts: learnt from their responses, or a
    /// constant.
    #[serde(default)]
    pub prefill: Policy,
}

/// Bound on the retries to one service in any window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBound {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Additional retries, over the whole fleet.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Number of processes that share the bound at the first start of the whole system, until they know
    /// one another. If it is not set, only the ratio holds until then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub processes: Option<usize>,
}

impl Default for RetryBound {
    /// A common retry budget: a tenth of the requests, plus a few for a service with little traffic.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
            window_s: 10.0,
            processes: None,
        }
    }
}

/// Bound on requests to a runner that has just started, over all processes, in any one second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Multiple of the rate that the service reports.
    pub excess: f64,
    /// Requests in addition to that rate.
    pub slack: f64,
}

impl Default for Warmup {
    /// No more than the service reports.
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

/// Default of common process managers, for a service that reports none.
fn default_drain_ms() -> f64 {
    3_000.0
}

fn default_grace_s() -> f64 {
    8.0
}

fn default_weight() -> f64 {
    1.0
}

/// Memory of a small VM.
fn default_memory_mb() -> usize {
    128
}

/// Parses and validates the settings of a relay.
///
/// # Errors
///
/// All findings in the file, each with its path and position.
///
/// # Examples
///
/// ```
/// let findings = setting::relay::parse("{\"store\": 9}", "relay.jsonc").unwrap_err();
/// assert!(findings.to_string().contains("relay.jsonc:1:2: store: expected an address"));
/// ```
pub fn parse(text: &str, origin: &str) -> Result<Relay, Findings> {
    check::read(text, origin, &Shape::Object(FIELDS)).map(|(relay, _)| relay)
}
