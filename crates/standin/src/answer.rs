//! Responses of the runners. They depend only on the input, so that a client can verify that a
//! response is its own.

use serde::{Deserialize, Serialize};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Input of a runner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// Text to process.
    pub text: String,
    /// Number of tokens that an engine generates.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Model that an engine must have loaded.
    #[serde(default)]
    pub model: Option<String>,
}

/// FNV-1a hash, which is the same in all processes.
///
/// # Examples
///
/// ```
/// assert_eq!(standin::answer::hash(b"a"), 0xaf63dc4c8601ec8c);
/// ```
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Hash of an input, as in the execution log.
#[must_use]
pub fn input_hash(input: &[u8]) -> String {
    format!("{:016x}", hash(input))
}

/// Response text of a pool or plain service named `name`.
///
/// # Examples
///
/// ```
/// assert_eq!(standin::answer::wrap("rerank", "encode(crimp)"), "rerank(encode(crimp))");
/// ```
#[must_use]
pub fn wrap(name: &str, text: &str) -> String {
    format!("{name}({text})")
}

/// Token `k`, counted from zero, of an engine's response to `text`.
///
/// # Examples
///
/// ```
/// assert_eq!(standin::answer::token("a", 2), "8601ec8c.2");
/// ```
#[must_use]
pub fn token(text: &str, k: u32) -> String {
    format!("{:08x}.{k}", hash(text.as_bytes()) & 0xffff_ffff)
}

/// The complete response of an engine to `text`, with `count` tokens.
///
/// # Examples
///
/// ```
/// assert_eq!(standin::answer::tokens("a", 2), "8601ec8c.0 8601ec8c.1");
/// ```
#[must_use]
pub fn tokens(text: &str, count: u32) -> String {
    let tokens: Vec<_> = (0..count).map(|k| token(text, k)).collect();
    tokens.join(" ")
}
