//! Prefix blocks of a prompt: what engines keep in their caches and routing looks for.

use decide::route::Block;

/// Bytes of input that one block covers.
const BLOCK_BYTES: usize = 256;
/// Blocks looked at; longer prompts share what they share in the first ones.
const MAX_BLOCKS: usize = 64;
/// Start value and factor of FNV-1a, which every build and process computes alike.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes of the input's whole blocks, each over all bytes up to its end.
///
/// # Examples
///
/// ```
/// let short = entry::prefix::blocks(&[7; 512]);
/// let long = entry::prefix::blocks(&[7; 1000]);
/// assert_eq!(short.len(), 2);
/// assert_eq!(long[..2], short[..]);
/// ```
#[must_use]
pub fn blocks(input: &[u8]) -> Vec<Block> {
    input
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .scan(FNV_OFFSET, |hash, block| {
            *hash = block.iter().fold(*hash, |hash, byte| {
                (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
            });
            Some(*hash)
        })
        .collect()
}
