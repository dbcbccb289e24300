//! Prefix blocks of a prompt, as kept in the caches of engines and used for routing.

use decide::route::Block;

/// Size of a block in bytes of input.
const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks; longer prompts are compared by their first blocks.
const MAX_BLOCKS: usize = 64;
/// Offset basis and prime of FNV-1a, which gives the same result in every build and process.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the hashes of the input's full blocks, each computed over all bytes up to the end of its
/// block.
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
