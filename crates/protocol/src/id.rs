//! Identities that every message between processes bears.

use serde::{Deserialize, Serialize};

/// Identity of one caller's request, drawn at random by the entry that accepted it.
pub type RequestId = u128;
/// Hash of what a request asks for and of who asks; the same for each attempt of its caller.
pub type ContentId = u64;
/// Position of a stage in its pipeline, from zero.
pub type StageIndex = u16;
/// Number of an attempt (first try, retry or hedge) within one stage, from zero.
pub type Attempt = u16;
/// Position of a chunk in a stage's answer, from zero.
pub type Sequence = u32;
/// Number of an accepted configuration change; grows by one with each.
pub type Revision = u64;
/// Number of the table service's transaction that last wrote a row.
pub type RowRevision = u64;
/// Unique mark of one writer's row, drawn at random.
pub type Token = u128;
/// Fencing number of a lease; grows with each new holder.
pub type FencingToken = u64;
/// Number of a process's life on its VM; grows with each restart.
pub type Incarnation = u64;

/// One attempt of one stage of one request.
///
/// # Examples
///
/// ```
/// let call = protocol::CallId { request: 7, stage: 1, attempt: 0 };
/// assert_eq!(call.next().attempt, 1);
/// assert_eq!(call.to_string().parse::<protocol::CallId>().unwrap(), call);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Request the attempt belongs to.
    pub request: RequestId,
    /// Stage within the pipeline.
    pub stage: StageIndex,
    /// Attempt within the stage.
    pub attempt: Attempt,
}

impl CallId {
    /// The attempt that follows this one in the same stage.
    #[must_use]
    pub fn next(self) -> Self {
        Self {
            attempt: self.attempt + 1,
            ..self
        }
    }
}

impl std::fmt::Display for CallId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:032x}-{}-{}",
            self.request, self.stage, self.attempt
        )
    }
}

/// Text that is not a call identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseCallIdError;

impl std::fmt::Display for ParseCallIdError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("expected REQUEST-STAGE-ATTEMPT")
    }
}

impl std::error::Error for ParseCallIdError {}

impl std::str::FromStr for CallId {
    type Err = ParseCallIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('-');
        let mut part = || parts.next().ok_or(ParseCallIdError);
        let request = RequestId::from_str_radix(part()?, 16).map_err(|_| ParseCallIdError)?;
        let stage = part()?.parse().map_err(|_| ParseCallIdError)?;
        let attempt = part()?.parse().map_err(|_| ParseCallIdError)?;
        match parts.next() {
            None => Ok(Self {
                request,
                stage,
                attempt,
            }),
            Some(_) => Err(ParseCallIdError),
        }
    }
}

/// Serializes a 128-bit number as hex text: JSON numbers of that size are refused or rounded by
/// most libraries, and a rounded token would pass for another writer's.
pub mod hex {
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes the number as 32 hex digits.
    ///
    /// # Errors
    ///
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(number: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{number:032x}"))
    }

    /// Reads hex digits.
    ///
    /// # Errors
    ///
    /// Those of the deserializer, or that the text is not a hex number of 128 bits.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    }
}
