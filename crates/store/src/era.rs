//! Revisions of a table service that may be restored from an older backup.
//!
//! A restore loses everything written since the backup, and the service assigns the lost numbers
//! again to other transactions. Each restore starts a new era. A revision has the era in its high
//! bits and the number in its low bits, so that a lost revision never compares as newer than an
//! existing one.

use crate::table::RowRevision;

/// Number of times that a table service was restored from an older backup.
pub type Era = u64;

/// Number of low bits of a revision that contain the number.
const NUMBER_BITS: u32 = 44;

/// Largest era that a revision can have.
pub const MAX: Era = Era::MAX >> NUMBER_BITS;

/// Combines an era and a number into a revision.
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

/// The number of a revision within its era.
#[must_use]
pub fn number(revision: RowRevision) -> u64 {
    revision & mask()
}

const fn mask() -> u64 {
    (1 << NUMBER_BITS) - 1
}
