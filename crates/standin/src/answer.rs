//! What the runners answer: derived from the input alone, so that anyone can tell an own answer.

use serde::{Deserialize, Serialize};

/// Start of the FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What a runner reads of its input.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Input {
    /// Text to work on.
    pub text: String,
    /// Tokens that an engine generates.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Model that an engine must have loaded.
    #[serde(default)]
    pub model: Option<String>,
}

/// FNV-1a hash, the same in every process.
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

/// Hash of an input as the log of executions shows it.
#[must_use]
pub fn input_hash(input: &[u8]) -> String {
    format!("{:016x}", hash(input))
}

/// Text that a pool or plain service named `name` answers.
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

/// Token number `k`, from zero, of an engine's answer to `text`.
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

/// The whole answer of an engine to `text` in `count` tokens.
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
