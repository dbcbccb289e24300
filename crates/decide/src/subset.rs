//! Which targets of a large pool one process keeps links to.
//!
//! A link costs keepalives whether or not it carries work, so that links from every process to
//! every target do not fit a node's budget beyond some hundred targets. Each process takes a subset
//! that depends on its name and the targets' names only: it needs no agreement, is the same after a
//! restart, and changes by one target when one comes or goes.

/// A target that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of its VM.
    pub id: &'a str,
    /// Failure domain that it runs in.
    pub domain: &'a str,
}

/// Start value and factor of FNV-1a, which every build and process computes alike.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Chooses up to `size` candidates for the process `own`, spread over the failure domains: the loss
/// of one domain must not take a process's whole subset.
///
/// Within a domain the candidates are ranked by a hash of both names (rendezvous hashing), so that
/// different processes choose different ones and each target is chosen about equally often.
///
/// # Examples
///
/// ```
/// use decide::subset::{Candidate, choose};
///
/// let pool = ["a1", "a2", "b1", "b2"].map(|id| Candidate { id, domain: &id[..1] });
/// let chosen = choose("entry-1", 2, &pool);
/// assert_ne!(chosen[0].domain, chosen[1].domain);
/// assert_eq!(chosen, choose("entry-1", 2, &pool));
/// ```
#[must_use]
pub fn choose<'a>(own: &str, size: usize, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<(u64, Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (rendezvous_hash(own, candidate.id), *candidate))
        .collect();
    ranked.sort_unstable_by_key(|(rank, candidate)| (*rank, candidate.id));
    let mut turns = crate::Map::default();
    let mut by_turn: Vec<(usize, u64, Candidate<'a>)> = ranked
        .into_iter()
        .map(|(rank, candidate)| {
            let turn: &mut usize = turns.entry(candidate.domain).or_default();
            *turn += 1;
            (*turn, rank, candidate)
        })
        .collect();
    by_turn.sort_unstable_by_key(|(turn, rank, _)| (*turn, *rank));
    by_turn
        .into_iter()
        .take(size)
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Hash of both names. FNV alone hardly changes its high bits with the last byte, which names that
/// are numbered differ by; the final mix spreads them.
#[must_use]
pub fn rendezvous_hash(own: &str, id: &str) -> u64 {
    let bytes = own.bytes().chain([0]).chain(id.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
