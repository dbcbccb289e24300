//! Settings of an entry.

use crate::check::{self, Field, Findings, Shape, Text};
use crate::shared::{self, Operator, Place, Platform, Policy, Tls};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Shortest and longest time between two readings, in milliseconds.
const POLL_MS: Shape = Shape::Count {
    min: 10,
    max: 60_000,
};

/// Bounds of the targets of one service that an entry keeps links to.
const SUBSET: Shape = Shape::Count {
    min: 2,
    max: 10_000,
};
/// Most loads that may be started in one span.
const LOADS: Shape = Shape::Count {
    min: 1,
    max: 10_000,
};
/// Bounds of spans and leases, in milliseconds.
const SPAN_MS: Shape = Shape::Count {
    min: 100,
    max: 3_600_000,
};

const PLACEMENT: Shape = Shape::Object(&[
    Field::optional("loads", LOADS),
    Field::optional("every_ms", SPAN_MS),
    Field::optional("lease_ms", SPAN_MS),
]);

const FIELDS: &[Field] = &[
    Field::required("id", Shape::Name),
    Field::required("place", shared::PLACE),
    Field::required("listen", Shape::Listen),
    Field::required("metrics", Shape::Listen),
    Field::required("platform", shared::PLATFORM),
    Field::required("key", Shape::Text),
    Field::optional("operators", Shape::List(&shared::OPERATOR)),
    Field::optional("tls", shared::TLS).nullable(),
    Field::optional("policy", shared::POLICY),
    Field::optional("vms_poll_ms", POLL_MS),
    Field::optional("head_poll_ms", POLL_MS),
    Field::optional("news", Shape::Listen).nullable(),
    Field::optional("placement", PLACEMENT),
    Field::optional("journal_beat_ms", SPAN_MS),
    Field::optional("subset", SUBSET),
];

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM in the platform's list.
    pub id: String,
    /// Where it runs.
    pub place: Place,
    /// Where callers and operators connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where metrics are served; port 0 takes a free one.
    pub metrics: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Shared key between entries and agents.
    pub key: String,
    /// Operators who may change records.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Certificate for callers and operators; plain HTTP without it.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Which decisions are taken.
    #[serde(default)]
    pub policy: Policy,
    /// How often the VM list is read, in milliseconds.
    #[serde(default = "default_vms_poll_ms")]
    pub vms_poll_ms: u64,
    /// How often the head of the change log is read, in milliseconds.
    #[serde(default = "default_head_poll_ms")]
    pub head_poll_ms: u64,
    /// Where news is published to other processes; port 0 takes a free one, none publishes none.
    #[serde(default)]
    pub news: Option<SocketAddr>,
    /// How models are placed on engines.
    #[serde(default)]
    pub placement: Placement,
    /// How often the entry renews its hold on the durable requests that it runs, in milliseconds;
    /// another entry takes them over after three times as long. The same for all entries.
    #[serde(default = "default_journal_beat_ms")]
    pub journal_beat_ms: u64,
    /// Targets of one service that the entry keeps links to at most.
    #[serde(default = "default_subset")]
    pub subset: usize,
}

/// How models are placed on engines; the same for all entries of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Placement {
    /// Loads started in each span of `every_ms` at most: the rate that the weight store bears.
    pub loads: u32,
    /// Span in milliseconds over which loads are counted.
    pub every_ms: u64,
    /// Time in milliseconds after which another entry takes over from a silent holder.
    pub lease_ms: u64,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            loads: 1,
            every_ms: 5_000,
            lease_ms: 10_000,
        }
    }
}

fn default_journal_beat_ms() -> u64 {
    5_000
}

fn default_subset() -> usize {
    64
}

fn default_vms_poll_ms() -> u64 {
    1_000
}

fn default_head_poll_ms() -> u64 {
    1_000
}

/// Reads the settings of an entry.
///
/// # Errors
///
/// Everything that is wrong with the file, each with its path and position.
///
/// # Examples
///
/// ```
/// let findings = setting::entry::parse("{\"id\": \"\"}", "entry.jsonc").unwrap_err();
/// assert!(findings.to_string().contains("entry.jsonc:1:2: id: expected a name"));
/// ```
pub fn parse(text: &str, origin: &str) -> Result<Entry, Findings> {
    let entry = check::read(text, origin, &Shape::Object(FIELDS));
    entry.and_then(|(entry, text)| check_operators(&entry, &text).map(|()| entry))
}

/// Two operators of one name could not be told apart in the change log, and two of one token
/// would both be taken for the first.
fn check_operators(entry: &Entry, text: &Text) -> Result<(), Findings> {
    let (mut names, mut tokens) = (HashSet::new(), HashSet::new());
    let mut findings = Findings::default();
    for (index, operator) in entry.operators.iter().enumerate() {
        let mut find = |field: &str| {
            let path = format!("operators[{index}].{field}");
            let message = format!("another operator has this {field}");
            findings.0.push(text.finding(&path, message));
        };
        if !names.insert(&operator.name) {
            find("name");
        }
        if !tokens.insert(&operator.token) {
            find("token");
        }
    }
    findings.into_result()
}
