//! Settings of a relay.

use crate::check::{self, Field, Findings, Shape};
use crate::shared::{self, Place, Policy};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bounds of the number of processes.
const PROCESSES: Shape = Shape::Count {
    min: 1,
    max: 10_000,
};

/// Bounds of a process's memory in megabytes.
const MEMORY: Shape = Shape::Count {
    min: 16,
    max: 65_536,
};

const REPEATS: Shape = Shape::Object(&[
    Field::required("ratio", Shape::Ratio),
    Field::required("slack", Shape::Amount),
    Field::required("window_s", Shape::Amount),
    Field::optional("processes", PROCESSES),
]);

const WARMUP: Shape = Shape::Object(&[
    Field::required("excess", Shape::Amount),
    Field::required("slack", Shape::Amount),
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
    Field::optional("weight", Shape::Amount),
    Field::optional("memory_mb", MEMORY),
    Field::optional("first_start", Shape::Flag),
    Field::required("store", Shape::Address),
    Field::optional("repeats", REPEATS),
    Field::optional("warmup", WARMUP),
    Field::optional("grace_s", Shape::Amount),
    Field::optional("drain_ms", Shape::Amount),
    Field::optional("policy", POLICY),
];

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// Name of the VM.
    pub id: String,
    /// Where it runs.
    pub place: Place,
    /// All failure domains of the deployment, with their regions.
    #[serde(default)]
    pub places: Vec<Place>,
    /// Where callers connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where the platform asks whether callers may come.
    pub ready: SocketAddr,
    /// Where metrics are served; port 0 takes a free one.
    pub metrics: SocketAddr,
    /// Where the other relays connect; port 0 takes a free one.
    pub peers: SocketAddr,
    /// Shared key of the relays.
    pub key: String,
    /// How much work for the others it takes on compared to them: its part of a core.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Memory that the process may take up, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Whether the whole system starts for the first time, and no callers wait.
    #[serde(default)]
    pub first_start: bool,
    /// The platform's table service.
    pub store: SocketAddr,
    /// Bound on second attempts of the whole fleet.
    #[serde(default)]
    pub repeats: RetryBound,
    /// What runners bear in any one second that have just started.
    #[serde(default)]
    pub warmup: Warmup,
    /// Time from the request to stop until the process is killed, in seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// Time within which a runner that has said that it leaves must get no new work, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: f64,
    /// Which decisions it takes.
    #[serde(default)]
    pub policy: Policies,
}

/// Which decisions a relay takes, for comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policies {
    /// What goes into the calls of stages: shared by slack, or one request a call in order of
    /// arrival.
    #[serde(default)]
    pub batches: Policy,
    /// Who is refused: whoever cannot be served in time, or nobody before the deadline.
    #[serde(default)]
    pub admission: Policy,
    /// Where stages run: near their inputs as far as there is time, or wherever a runner is free.
    #[serde(default)]
    pub near: Policy,
    /// Whether the pieces of a request share a call: as far as they fit, or as they fill calls.
    #[serde(default)]
    pub whole: Policy,
    /// Which pieces go first among those that are due as soon: the requests with few, or any.
    #[serde(default)]
    pub small_first: Policy,
    /// Until when inputs of a stage take up room: until its call has fetched them, or has ended.
    #[serde(default)]
    pub fetched: Policy,
    /// What a relay goes by of the others' calls at model runners: what they tell, or its own calls
    /// times their number.
    #[serde(default)]
    pub board: Policy,
    /// Who sends to runners that have just started: a few processes, at a bounded rate, where no other
    /// runner is there, or all.
    #[serde(default)]
    pub warmup: Policy,
    /// Whether runners get work at whose addresses nothing listens, though they are listed: not until
    /// something does, or as any other.
    #[serde(default)]
    pub absent: Policy,
    /// When a request goes to a further runner under which one has ended: once enough of the service's
    /// runners are there, or at once.
    #[serde(default)]
    pub suspects: Policy,
}

/// Bound on second attempts to one service in any window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBound {
    /// Repeats for each first attempt.
    pub ratio: f64,
    /// Repeats besides, over the whole fleet.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Processes that share the bound, as far as they do not know of one another.
    #[serde(default = "default_processes")]
    pub processes: usize,
}

impl Default for RetryBound {
    /// A usual retry budget: a tenth of the requests, and a few for a quiet service.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
            window_s: 10.0,
            processes: default_processes(),
        }
    }
}

/// Requests to a runner that has just started, over all processes, in any one second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// As a multiple of the rate that its service tells.
    pub excess: f64,
    /// Besides.
    pub slack: f64,
}

impl Default for Warmup {
    /// No more than the service tells.
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

/// That of common process managers, where nobody tells.
fn default_drain_ms() -> f64 {
    3_000.0
}

fn default_grace_s() -> f64 {
    8.0
}

/// More than the usual number of entry VMs: a process that knows of no other takes a small part.
fn default_processes() -> usize {
    8
}

fn default_weight() -> f64 {
    1.0
}

/// That of a small VM.
fn default_memory_mb() -> usize {
    128
}

/// Reads the settings of a relay.
///
/// # Errors
///
/// Everything that is wrong with the file, each with its path and position.
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
