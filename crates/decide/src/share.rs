//! One process's part of the few requests that a runner bears from all of them.
//!
//! A runner that asks for few requests looks idle to each of many processes. If each kept to the whole
//! of what it asks for, together they would send it many times that; if each kept to an equal part,
//! their first requests alone would be too many in a large fleet. So only a few may send, chosen by
//! names alone, and each keeps a fixed gap between two requests, without a word between them.

use crate::subset::rank;
use std::time::Duration;

/// Processes that may send to a runner that has named a limit. More would send too many at once after
/// a while in which nobody sent; with fewer, one that is gone leaves a larger part unused.
const PLACES: usize = 4;

/// One process's part of what a runner bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Processes that may send.
    pub places: usize,
    /// Time between two requests of one process, at least.
    pub gap: Duration,
}

impl Share {
    /// The part of each of so many processes where a runner asks for this mean time between the
    /// requests of all.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::share::Share;
    /// use std::time::Duration;
    ///
    /// let share = Share::spaced(Duration::from_millis(500), 27);
    /// assert_eq!((share.places, share.gap), (4, Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn spaced(spacing: Duration, processes: usize) -> Self {
        let places = processes.clamp(1, PLACES);
        Self {
            places,
            gap: spacing.saturating_mul(places as u32),
        }
    }

    /// Whether a process has a place, by its name and those of the others.
    #[must_use]
    pub fn has_place<'a>(
        &self,
        runner: &str,
        own: &str,
        others: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        let mine = (rank(runner, own), own);
        let before = |other: &&str| (rank(runner, other), *other) < mine;
        others.into_iter().filter(before).count() < self.places
    }
}
