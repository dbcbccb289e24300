//! Settings of an entry.

use crate::check::{self, Field, Findings, Shape, Text};
use crate::shared::{self, Operator, Place, Platform, Policy, Tls};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Allowed polling intervals, in milliseconds.
const POLL_MS: Shape = Shape::Integer {
    min: 10,
    max: 60_000,
};

/// Allowed number of targets of one service that an entry keeps links to.
const SUBSET: Shape = Shape::Integer {
    min: 2,
    max: 10_000,
};
/// Allowed number of model loads started per interval.
const LOADS: Shape = Shape::Integer {
    min: 1,
    max: 10_000,
};
/// Allowed intervals and lease durations, in milliseconds.
const INTERVAL_MS: Shape = Shape::Integer {
    min: 100,
    max: 3_600_000,
};

const PLACEMENT: Shape = Shape::Object(&[
    Field::optional("loads", LOADS),
    Field::optional("every_ms", INTERVAL_MS),
    Field::optional("lease_ms", INTERVAL_MS),
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
    Field::optional("journal_beat_ms", INTERVAL_MS),
    Field::optional("subset", SUBSET),
];

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM in the platform's list.
    pub id: String,
    /// Region and failure domain of the VM.
    pub place: Place,
    /// Address that clients and operators connect to; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Address of the metrics endpoint; port 0 picks a free one.
    pub metrics: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Shared key between entries and agents.
    pub key: String,
    /// Operators who may change records.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Certificate for clients and operators; `None` serves plain HTTP.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Choice between the shipped and the baseline algorithms.
    #[serde(default)]
    pub policy: Policy,
    /// Polling interval of the VM list, in milliseconds.
    #[serde(default = "default_vms_poll_ms")]
    pub vms_poll_ms: u64,
    /// Polling interval of the head of the change log, in milliseconds.
    #[serde(default = "default_head_poll_ms")]
    pub head_poll_ms: u64,
    /// Address on which notifications are published to other processes; port 0 picks a free one,
    /// `None` disables publishing.
    #[serde(default)]
    pub news: Option<SocketAddr>,
    /// How models are placed on engines.
    #[serde(default)]
    pub placement: Placement,
    /// Interval in milliseconds at which the entry renews its claims on the durable requests that
    /// it runs; another entry takes them over after three intervals. All entries use the same
    /// value.
    #[serde(default = "default_journal_beat_ms")]
    pub journal_beat_ms: u64,
    /// Maximum number of targets of one service that the entry keeps links to.
    #[serde(default = "default_subset")]
    pub subset: usize,
}

/// How models are placed on engines; the same for all entries of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Placement {
    /// Maximum number of loads started per `every_ms`: the rate that the weight store sustains.
    pub loads: u32,
    /// Interval in milliseconds over which loads are counted.
    pub every_ms: u64,
    /// Time in milliseconds after which another entry takes over from a lease holder that does
    /// not respond.
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

/// Parses and validates the settings of an entry.
///
/// # Errors
///
/// All findings in the file, each with its path and position.
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

/// Two operators with the same name would be indistinguishable in the change log, and two with
/// the same token would both be authenticated as the first.
fn check_operators(entry: &Entry, text: &Text) -> Result<(), Findings> {
    let (mut names, mut tokens) = (HashSet::new(), HashSet::new());
    let mut findings = Findings::default();
    for (index, operator) in entry.operators.iter().enumerate() {
        let mut report = |field: &str| {
            let path = format!("operators[{index}].{field}");
            let message = format!("another operator has this {field}");
            findings.0.push(text.finding(&path, message));
        };
        if !names.insert(&operator.name) {
            report("name");
        }
        if !tokens.insert(&operator.token) {
            report("token");
        }
    }
    findings.into_result()
}
