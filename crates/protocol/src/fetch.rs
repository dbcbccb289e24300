//! A process that fetches the newest version of something large from others that have it.
//!
//! Many announce a new version at the same moment. Fetched from each of them, the copies would fill a narrow
//! link for seconds, and whatever else the process must learn would wait behind them. So one copy is fetched at
//! a time, in parts, and each part is asked for when the one before it has arrived: what is sent beside it
//! waits for one part at most. When a source falls silent, another one goes on where it stopped.

use std::time::Duration;

/// Number of a version; a newer one has a greater number.
pub type Version = u64;

/// Asks a source for the next part of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRequest<S> {
    /// Whom to ask.
    pub source: S,
    /// The version.
    pub version: Version,
    /// Bytes that are there already. With none, whatever has come before belongs to another fetch.
    pub offset: u64,
}

/// A part of a version, without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The version.
    pub version: Version,
    /// Hash of the whole: versions of one number may be encoded differently by different sources.
    pub digest: u64,
    /// Position of the part's first byte.
    pub offset: u64,
    /// Bytes in the part.
    pub length: u64,
    /// Bytes of the whole.
    pub total: u64,
}

/// What becomes of the bytes of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAction<S> {
    /// They follow those that are there; the next question, or none if the version is complete.
    Append(Option<PartRequest<S>>),
    /// They replace those that are there, which belong to another encoding; likewise.
    Restart(Option<PartRequest<S>>),
    /// They were not asked for.
    Ignore,
    /// They belong to another encoding and are not its first: it is asked for from its beginning.
    Reset(PartRequest<S>),
}

#[derive(Clone, Copy, Debug)]
struct Current<S> {
    source: S,
    version: Version,
    digest: Option<u64>,
    received: u64,
    /// When the last part arrived or was asked for.
    progress: Duration,
}

/// The state of one process. Moments are counted from its start.
///
/// # Examples
///
/// ```
/// use protocol::fetch::{Fetch, Part, PartAction};
/// use std::time::Duration;
///
/// let now = Duration::ZERO;
/// let mut fetch = Fetch::new(Duration::from_secs(1));
/// let question = fetch.offer("a", 7, now).expect("nothing is fetched yet");
/// assert_eq!((question.source, question.offset), ("a", 0));
/// // Another source of the same version is kept in reserve.
/// assert_eq!(fetch.offer("b", 7, now), None);
/// let part = Part { version: 7, digest: 1, offset: 0, length: 10, total: 10 };
/// assert_eq!(fetch.part(&"a", part, now), PartAction::Append(None));
/// ```
#[derive(Debug)]
pub struct Fetch<S> {
    /// Silence after which another source is asked.
    patience: Duration,
    known: Option<Version>,
    offers: Vec<(S, Version)>,
    current: Option<Current<S>>,
}

impl<S: Clone + PartialEq> Fetch<S> {
    /// Nothing is known and nothing is fetched.
    #[must_use]
    pub fn new(patience: Duration) -> Self {
        Self {
            patience,
            known: None,
            offers: Vec::new(),
            current: None,
        }
    }

    /// When the fetch in progress last got on, if there is one.
    #[must_use]
    pub fn progress(&self) -> Option<Duration> {
        self.current.as_ref().map(|current| current.progress)
    }

    /// A source has a version; gives the question if this begins a fetch.
    pub fn offer(&mut self, source: S, version: Version, now: Duration) -> Option<PartRequest<S>> {
        if self.is_known(version) {
            return None;
        }
        match self.offers.iter_mut().find(|(other, _)| *other == source) {
            Some((_, offered)) => *offered = version.max(*offered),
            None => self.offers.push((source, version)),
        }
        if self.current.is_some() {
            // Versions may follow each other faster than one is fetched; the newest comes next.
            return None;
        }
        self.begin(now)
    }

    fn is_known(&self, version: Version) -> bool {
        self.known.is_some_and(|known| known >= version)
    }

    /// A version has become known, by whatever way; gives the question if a newer one is left to be fetched.
    pub fn note_known(&mut self, version: Version, now: Duration) -> Option<PartRequest<S>> {
        self.known = self.known.max(Some(version));
        self.offers.retain(|(_, offered)| *offered > version);
        match &self.current {
            Some(current) if current.version > version => None,
            _ => self.begin(now),
        }
    }

    /// A source is gone.
    pub fn lost(&mut self, source: &S, now: Duration) -> Option<PartRequest<S>> {
        self.offers.retain(|(other, _)| other != source);
        let current = self.current.as_ref()?;
        if current.source != *source {
            return None;
        }
        self.go_on(now)
    }

    /// Goes on with another source where the present one has been silent for too long.
    pub fn tick(&mut self, now: Duration) -> Option<PartRequest<S>> {
        let current = self.current.as_ref()?;
        if now < current.progress + self.patience {
            return None;
        }
        let source = current.source.clone();
        if self.offers.len() > 1 {
            self.offers.retain(|(other, _)| *other != source);
        }
        self.go_on(now)
    }

    /// A part has arrived.
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
            return PartAction::Reset(question(current));
        }
        current.received += part.length;
        let next = (current.received < part.total).then(|| question(current));
        if next.is_none() {
            self.current = None;
        }
        if same {
            PartAction::Append(next)
        } else {
            PartAction::Restart(next)
        }
    }

    /// Begins with the source that offers the newest version.
    fn begin(&mut self, now: Duration) -> Option<PartRequest<S>> {
        self.current = None;
        let newest = self.offers.iter().map(|(_, version)| *version).max()?;
        let (source, version) = self.offers.iter().find(|(_, version)| *version == newest)?;
        let current = Current {
            source: source.clone(),
            version: *version,
            digest: None,
            received: 0,
            progress: now,
        };
        let question = question(&current);
        self.current = Some(current);
        Some(question)
    }

    /// Goes on with the next source that has the version, or a newer one.
    fn go_on(&mut self, now: Duration) -> Option<PartRequest<S>> {
        let wanted = self.current.as_ref()?.version;
        let next = self.offers.iter().find(|(_, version)| *version >= wanted);
        let Some((source, _)) = next.cloned() else {
            return self.begin(now);
        };
        let current = self.current.as_mut()?;
        current.source = source;
        current.progress = now;
        Some(question(current))
    }
}

fn question<S: Clone>(current: &Current<S>) -> PartRequest<S> {
    PartRequest {
        source: current.source.clone(),
        version: current.version,
        offset: current.received,
    }
}
