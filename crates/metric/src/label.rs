//! Keeps the number of label values bounded.

use foldhash::fast::RandomState;
use std::collections::HashSet;
use std::sync::RwLock;

/// Label that stands for all values beyond the limit.
pub const OTHER: &str = "other";

/// Lets the first `limit` distinct values through and folds all later ones into [`OTHER`].
///
/// A histogram with a label for each workspace would grow with every name a caller sends; at
/// 5,000 workspaces and several classes one scrape would no longer fit the budget of a node. The
/// first names seen are the busiest ones with high probability, and the rest stay visible
/// together.
///
/// # Examples
///
/// ```
/// let bound = metric::Bound::new(1);
/// assert_eq!(bound.label("coop"), "coop");
/// assert_eq!(bound.label("agency"), "other");
/// assert_eq!(bound.label("coop"), "coop");
/// ```
#[derive(Debug)]
pub struct Bound {
    limit: usize,
    seen: RwLock<HashSet<String, RandomState>>,
}

impl Bound {
    /// A bound on the number of distinct values.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            seen: RwLock::default(),
        }
    }

    /// The label to use for a value.
    pub fn label<'a>(&self, value: &'a str) -> &'a str {
        if self.knows(value) || self.admit(value) {
            return value;
        }
        OTHER
    }

    fn knows(&self, value: &str) -> bool {
        self.seen.read().is_ok_and(|seen| seen.contains(value))
    }

    fn admit(&self, value: &str) -> bool {
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
