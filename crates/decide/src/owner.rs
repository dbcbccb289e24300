//! Selection of the process that does work which only one should do at a time.

use crate::subset::rendezvous_hash;

/// A process that may own the work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the process.
    pub id: &'a str,
    /// Capacity relative to the other candidates.
    pub weight: f64,
}

/// Largest hash value.
const MAX_HASH: f64 = u64::MAX as f64;

/// Chooses the owner of a unit of work by weighted rendezvous hashing.
///
/// All processes that know the same candidates choose the same one without communicating. When a
/// candidate joins or leaves, only its own work moves. Processes that know different candidates
/// may choose different owners for a moment, so the work must tolerate two owners.
///
/// # Examples
///
/// ```
/// use decide::owner::{Candidate, choose};
///
/// let all = ["a", "b", "c"].map(|id| Candidate { id, weight: 1.0 });
/// let owner = choose("letters", &all).unwrap();
/// let others: Vec<_> = all.into_iter().filter(|one| one.id != owner).collect();
/// assert!(choose("letters", &others).is_some());
/// assert_eq!(choose("letters", &all), Some(owner));
/// ```
#[must_use]
pub fn choose<'a>(work: &str, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let score = |candidate: &Candidate<'_>| {
        let hash = (rendezvous_hash(work, candidate.id) as f64 + 1.0) / (MAX_HASH + 2.0);
        -candidate.weight / hash.ln()
    };
    candidates
        .iter()
        .max_by(|one, other| {
            score(one)
                .total_cmp(&score(other))
                .then(one.id.cmp(other.id))
        })
        .map(|candidate| candidate.id)
}
