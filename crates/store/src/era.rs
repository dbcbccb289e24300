//! Revisions of a table service that may come back from an older copy.
//!
//! What was written since the copy is then gone, and its numbers are given out again for other
//! transactions. Each return begins a new era. A revision holds the era before the number, so that
//! comparing two of them never takes what is lost for newer than what there is.

use crate::table::RowRevision;

/// Counts the returns of a table service from older copies.
pub type Era = u64;

/// Bits of a revision that hold the number.
const NUMBER_BITS: u32 = 44;

/// The revision of a number in an era.
///
/// # Examples
///
/// ```
/// use store::era;
///
/// let lost = era::revision(1, 40);
/// let later = era::revision(2, 38);
/// assert!(later > lost);
/// assert_eq!((era::of(later), era::number(later)), (2, 38));
/// ```
#[must_use]
pub fn revision(era: Era, number: u64) -> RowRevision {
    (era << NUMBER_BITS) | (number & mask())
}

/// The era of a revision.
#[must_use]
pub fn of(revision: RowRevision) -> Era {
    revision >> NUMBER_BITS
}

/// The number of a revision in its era.
#[must_use]
pub fn number(revision: RowRevision) -> u64 {
    revision & mask()
}

const fn mask() -> u64 {
    (1 << NUMBER_BITS) - 1
}
