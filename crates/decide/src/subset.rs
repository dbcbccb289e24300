//! Selection of the targets of a large pool that one process keeps links to.
//!
//! A link costs keepalives whether or not it carries work, so links from every process to every
//! target exceed a node's budget beyond some hundred targets. Each process takes a subset that
//! depends only on its own name and those of the targets: it needs no coordination, is the same
//! after a restart, and changes by one target when a target joins or leaves.

/// A target that may be in the subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of its VM.
    pub id: &'a str,
    /// Failure domain that it runs in.
    pub domain: &'a str,
}

/// Offset basis and prime of FNV-1a. Its result is the same in every build and process.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Chooses up to `size` candidates for the process `own`, spread over the failure domains so that
/// the loss of one domain does not remove the whole subset.
///
/// Within a domain the candidates are ordered by a hash of both names (rendezvous hashing), so that
/// different processes choose different targets and each target is chosen about equally often.
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
    let mut hashed: Vec<(u64, Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (rendezvous_hash(own, candidate.id), *candidate))
        .collect();
    hashed.sort_unstable_by_key(|(hash, candidate)| (*hash, candidate.id));
    let mut counts = crate::Map::default();
    let mut by_position: Vec<(usize, u64, Candidate<'a>)> = hashed
        .into_iter()
        .map(|(hash, candidate)| {
            let position: &mut usize = counts.entry(candidate.domain).or_default();
            *position += 1;
            (*position, hash, candidate)
        })
        .collect();
    by_position.sort_unstable_by_key(|(position, hash, _)| (*position, *hash));
    by_position
        .into_iter()
        .take(size)
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Hash of both names. The last byte, in which numbered names differ, hardly changes the high bits
/// of FNV alone; the final mixing step spreads it over all bits.
#[must_use]
pub fn rendezvous_hash(own: &str, id: &str) -> u64 {
    RendezvousKey::new(own).hash(id)
}

/// A name of which [`rendezvous_hash`] is computed with many others.
#[derive(Clone, Copy, Debug)]
pub struct RendezvousKey(u64);

impl RendezvousKey {
    /// Hashes the part that is the same for all other names.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self(fnv(FNV_OFFSET, own.bytes().chain([0])))
    }

    /// The [`rendezvous_hash`] of both names.
    #[must_use]
    pub fn hash(self, id: &str) -> u64 {
        mix(fnv(self.0, id.bytes()))
    }
}

fn fnv(hash: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

fn mix(hash: u64) -> u64 {
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
