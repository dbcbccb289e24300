//! Identities that messages between processes carry.

use serde::{Deserialize, Serialize};

/// Identity of one client request; the entry that accepts the request draws it at random.
pub type RequestId = u128;
/// Hash of a request's content and of its client; equal for all attempts of the same client.
pub type ContentId = u64;
/// Position of a stage in its pipeline, from zero.
pub type StageIndex = u16;
/// Number of an attempt (first try, retry or hedge) within one stage, from zero.
pub type Attempt = u16;
/// Position of a chunk in a stage's response, from zero.
pub type Sequence = u32;
/// Number of an accepted configuration change; increases by one with each change.
pub type Revision = u64;
/// Number of the table service's transaction that last wrote a row.
pub type RowRevision = u64;
/// Unique identity of one writer's row, drawn at random.
pub type Token = u128;
/// Fencing token of a lease; increases with each new holder.
pub type FencingToken = u64;
/// Number of a process start on its VM; increases with each restart.
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
    /// Identity of the next attempt at the same stage.
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

/// Error for text that is not a call identity.
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

/// Serializes a 128-bit number as hex text. Most libraries reject or round JSON numbers of that
/// size, and a rounded token could equal another writer's.
pub mod hex {
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes the number as 32 hex digits.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(number: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{number:032x}"))
    }

    /// Parses hex digits.
    ///
    /// # Errors
    ///
    /// Returns the deserializer's error, or an error if the text is not a hex number of 128 bits.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    }
}
