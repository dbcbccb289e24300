//! Kinds of stand-ins.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// The service that a stand-in simulates.
///
/// # Examples
///
/// ```
/// let kind: standin::Kind = "engine".parse().unwrap();
/// assert_eq!(kind.to_string(), "engine");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The transactional table service.
    Table,
    /// The object store.
    Object,
    /// The rate-limited weight store.
    Weight,
    /// The list of VMs, whose changes become visible with a delay.
    Vm,
    /// A model engine with continuous batching.
    Engine,
    /// An encoder, retriever or reranker.
    Pool,
    /// A plain service.
    Plain,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Table,
        Self::Object,
        Self::Weight,
        Self::Vm,
        Self::Engine,
        Self::Pool,
        Self::Plain,
    ];

    /// Lower-case name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Object => "object",
            Self::Weight => "weight",
            Self::Vm => "vm",
            Self::Engine => "engine",
            Self::Pool => "pool",
            Self::Plain => "plain",
        }
    }
}

impl Display for Kind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}

/// The text is not the name of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseKindError;

impl Display for ParseKindError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let names = Kind::ALL.map(Kind::name).join(", ");
        write!(formatter, "expected one of {names}")
    }
}

impl std::error::Error for ParseKindError {}

impl FromStr for Kind {
    type Err = ParseKindError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut kinds = Self::ALL.into_iter();
        kinds.find(|kind| kind.name() == text).ok_or(ParseKindError)
    }
}
