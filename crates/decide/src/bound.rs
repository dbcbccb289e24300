//! Bounds of the times, sizes and counts that other programs state.
//!
//! Moments and sums are computed without further checks, and some items are kept for each one that is
//! counted. A number beyond these bounds is no sensible one; within them, sums and products of a few numbers
//! fit into their types.

use std::time::Duration;

/// Longest time.
pub const MAX_TIME: Duration = Duration::from_secs(366 * 86_400);
/// Largest size in bytes.
pub const MAX_BYTES: u64 = 1 << 50;
/// Most pieces of a request in all its stages. The process that forms the calls keeps some forty bytes for
/// each.
pub const MAX_PIECES: u32 = 10_000;
/// Most calls that a runner takes at once.
pub const MAX_SLOTS: u32 = 1_000_000;

/// A time in seconds; `None` if it is negative or out of bounds.
///
/// # Examples
///
/// ```
/// use decide::bound;
/// use std::time::Duration;
///
/// assert_eq!(bound::seconds(1.5), Some(Duration::from_millis(1_500)));
/// assert_eq!(bound::seconds(9.3e18), None);
/// ```
#[must_use]
pub fn seconds(seconds: f64) -> Option<Duration> {
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    (time <= MAX_TIME).then_some(time)
}

/// The integral part of a size in bytes; `None` if it is negative or out of bounds.
///
/// # Examples
///
/// ```
/// use decide::bound;
///
/// assert_eq!(bound::bytes(2e6), Some(2_000_000));
/// assert_eq!(bound::bytes(-1.0), None);
/// ```
#[must_use]
pub fn bytes(bytes: f64) -> Option<u64> {
    let is_size = (0.0..=MAX_BYTES as f64).contains(&bytes);
    is_size.then_some(bytes as u64)
}
