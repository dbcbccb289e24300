//! Limits the number of label values.

use foldhash::fast::RandomState;
use std::collections::HashSet;
use std::sync::RwLock;

/// Label of all values beyond the limit.
pub const OTHER: &str = "other";

/// Passes the first `limit` distinct values through and maps all later ones to [`OTHER`].
///
/// A histogram with a label for each workspace would grow with every name that a caller sends; at
/// 5,000 workspaces and several classes, one scrape would exceed the budget of a node. The first
/// names seen are very likely the busiest ones, and the rest are counted together.
///
/// # Examples
///
/// ```
/// let limiter = metric::LabelLimiter::new(1);
/// assert_eq!(limiter.label("coop"), "coop");
/// assert_eq!(limiter.label("agency"), "other");
/// assert_eq!(limiter.label("coop"), "coop");
/// ```
#[derive(Debug)]
pub struct LabelLimiter {
    limit: usize,
    seen: RwLock<HashSet<String, RandomState>>,
}

impl LabelLimiter {
    /// Creates a limiter for a number of distinct values.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            seen: RwLock::default(),
        }
    }

    /// Returns the label to use for a value.
    pub fn label<'a>(&self, value: &'a str) -> &'a str {
        if self.contains(value) || self.insert(value) {
            return value;
        }
        OTHER
    }

    fn contains(&self, value: &str) -> bool {
        self.seen.read().is_ok_and(|seen| seen.contains(value))
    }

    /// Returns whether the value is in the set afterwards.
    fn insert(&self, value: &str) -> bool {
        let Ok(mut seen) = self.seen.write() else {
            return false;
        };
        if seen.len() >= self.limit {
            return seen.contains(value);
        }
        seen.insert(value.to_owned());
        true
    }
}
