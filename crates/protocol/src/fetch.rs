//! Transfer of the newest version of a large object from other processes that have it.
//!
//! Many processes announce a new version at the same moment. If a process fetched a copy from each
//! of them, the copies would fill a narrow link for seconds and delay everything else that the
//! process must receive. So one copy is fetched at a time, in parts, and each part is requested
//! when the previous one has arrived: other messages wait for one part at most. When a source stops
//! responding, another one continues at the same offset.

use std::time::Duration;

/// Version number; newer versions have greater numbers.
pub type Version = u64;

/// Request to a source for the next part of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRequest<S> {
    /// Source to ask.
    pub source: S,
    /// Requested version.
    pub version: Version,
    /// Number of bytes already received. If it is zero, earlier bytes belong to another transfer.
    pub offset: u64,
}

/// Description of a part of a version, without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Version that the part belongs to.
    pub version: Version,
    /// Hash of the whole version: sources may encode the same version differently.
    pub digest: u64,
    /// Position of the part's first byte.
    pub offset: u64,
    /// Number of bytes in the part.
    pub length: u64,
    /// Number of bytes in the whole version.
    pub total: u64,
}

/// What to do with the bytes of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAction<S> {
    /// Append them; contains the next request, or `None` if the version is complete.
    Append(Option<PartRequest<S>>),
    /// Replace what was received, which has another encoding; contains the same as `Append`.
    Restart(Option<PartRequest<S>>),
    /// Discard them, since they were not requested.
    Ignore,
    /// Discard them: they have another encoding, which is requested from its beginning.
    Reset(PartRequest<S>),
}

#[derive(Clone, Copy, Debug)]
struct InProgress<S> {
    source: S,
    version: Version,
    digest: Option<u64>,
    received: u64,
    /// When the last part arrived or was requested.
    progress: Duration,
}

/// Transfer state of one process. Times are measured from its start.
///
/// # Examples
///
/// ```
/// use protocol::fetch::{Fetch, Part, PartAction};
/// use std::time::Duration;
///
/// let now = Duration::ZERO;
/// let mut fetch = Fetch::new(Duration::from_secs(1));
/// let request = fetch.offer("a", 7, now).expect("nothing is fetched yet");
/// assert_eq!((request.source, request.offset), ("a", 0));
/// // Another source of the same version is kept in reserve.
/// assert_eq!(fetch.offer("b", 7, now), None);
/// let part = Part { version: 7, digest: 1, offset: 0, length: 10, total: 10 };
/// assert_eq!(fetch.part(&"a", part, now), PartAction::Append(None));
/// ```
#[derive(Debug)]
pub struct Fetch<S> {
    /// Time without progress after which another source is asked.
    timeout: Duration,
    known: Option<Version>,
    offers: Vec<(S, Version)>,
    current: Option<InProgress<S>>,
}

impl<S: Clone + PartialEq> Fetch<S> {
    /// Creates the state of a process that has no version and fetches nothing.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            known: None,
            offers: Vec::new(),
            current: None,
        }
    }

    /// When the current transfer last made progress, if there is one.
    #[must_use]
    pub fn progress(&self) -> Option<Duration> {
        self.current.as_ref().map(|current| current.progress)
    }

    /// Records that a source has a version; returns a request if this starts a transfer.
    pub fn offer(&mut self, source: S, version: Version, now: Duration) -> Option<PartRequest<S>> {
        if self.is_known(version) {
            return None;
        }
        match self.offers.iter_mut().find(|(other, _)| *other == source) {
            Some((_, offered)) => *offered = version.max(*offered),
            None => self.offers.push((source, version)),
        }
        if self.current.is_some() {
            // Versions may be announced faster than one is fetched; the newest is fetched next.
            return None;
        }
        self.begin(now)
    }

    fn is_known(&self, version: Version) -> bool {
        self.known.is_some_and(|known| known >= version)
    }

    /// Records that a version is known, from whatever source; returns a request if a newer one
    /// remains to be fetched.
    pub fn note_known(&mut self, version: Version, now: Duration) -> Option<PartRequest<S>> {
        self.known = self.known.max(Some(version));
        self.offers.retain(|(_, offered)| *offered > version);
        match &self.current {
            Some(current) if current.version > version => None,
            _ => self.begin(now),
        }
    }

    /// Records that a source is gone; returns a request if another one continues.
    pub fn lost(&mut self, source: &S, now: Duration) -> Option<PartRequest<S>> {
        self.offers.retain(|(other, _)| other != source);
        let current = self.current.as_ref()?;
        if current.source != *source {
            return None;
        }
        self.switch_source(now)
    }

    /// Switches to another source if the current one has not responded within the timeout.
    pub fn tick(&mut self, now: Duration) -> Option<PartRequest<S>> {
        let current = self.current.as_ref()?;
        if now < current.progress + self.timeout {
            return None;
        }
        let source = current.source.clone();
        if self.offers.len() > 1 {
            self.offers.retain(|(other, _)| *other != source);
        }
        self.switch_source(now)
    }

    /// Processes a part that has arrived.
    pub fn part(&mut self, source: &S, part: Part, now: Duration) -> PartAction<S> {
        if self.is_known(part.version) {
            return PartAction::Ignore;
        }
        let Some(current) = self.current.as_mut() else {
            return PartAction::Ignore;
        };
        if current.source != *source {
            return PartAction::Ignore;
        }
        let same = current.version == part.version
            && current.digest.is_none_or(|digest| digest == part.digest);
        if same && part.offset != current.received {
            return PartAction::Ignore;
        }
        if !same {
            current.received = 0;
        }
        current.version = part.version;
        current.digest = Some(part.digest);
        current.progress = now;
        if part.offset != current.received {
            return PartAction::Reset(request(current));
        }
        current.received += part.length;
        let next = (current.received < part.total).then(|| request(current));
        if next.is_none() {
            self.current = None;
        }
        if same {
            PartAction::Append(next)
        } else {
            PartAction::Restart(next)
        }
    }

    /// Starts with the source that offers the newest version.
    fn begin(&mut self, now: Duration) -> Option<PartRequest<S>> {
        self.current = None;
        let newest = self.offers.iter().map(|(_, version)| *version).max()?;
        let (source, version) = self.offers.iter().find(|(_, version)| *version == newest)?;
        let current = InProgress {
            source: source.clone(),
            version: *version,
            digest: None,
            received: 0,
            progress: now,
        };
        let request = request(&current);
        self.current = Some(current);
        Some(request)
    }

    /// Continues with the next source that has the current version or a newer one.
    fn switch_source(&mut self, now: Duration) -> Option<PartRequest<S>> {
        let wanted = self.current.as_ref()?.version;
        let next = self.offers.iter().find(|(_, version)| *version >= wanted);
        let Some((source, _)) = next.cloned() else {
            return self.begin(now);
        };
        let current = self.current.as_mut()?;
        current.source = source;
        current.progress = now;
        Some(request(current))
    }
}

fn request<S: Clone>(current: &InProgress<S>) -> PartRequest<S> {
    PartRequest {
        source: current.source.clone(),
        version: current.version,
        offset: current.received,
    }
}
