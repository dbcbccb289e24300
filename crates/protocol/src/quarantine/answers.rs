//! When a complete response was last received for each content.

use crate::id::ContentId;
use foldhash::fast::RandomState;
use std::collections::HashMap;
use std::time::Duration;

/// Number of contents after which a generation is complete. The last two are remembered, so that each
/// record takes constant time however many contents there are.
const GENERATION: usize = 2_048;

/// Time of the last response by content.
type Times = HashMap<ContentId, Duration, RandomState>;

/// Requests and prompt parts to which runners have responded. If a runner exits or becomes unresponsive
/// during a request, what has been answered elsewhere since it was sent is not the cause.
///
/// # Examples
///
/// ```
/// use protocol::quarantine::RecentAnswers;
/// use std::time::Duration;
///
/// let at = Duration::from_secs;
/// let mut answers = RecentAnswers::default();
/// answers.record(7, at(5));
/// assert!(answers.is_answered_since(7, at(4)));
/// assert!(!answers.is_answered_since(7, at(6)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    current: Times,
    previous: Times,
}

impl RecentAnswers {
    /// Records a complete response to a request with this content.
    pub fn record(&mut self, content: ContentId, now: Duration) {
        self.current.insert(content, now);
        if self.current.len() >= GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Whether a complete response to a request with this content has been received since.
    #[must_use]
    pub fn is_answered_since(&self, content: ContentId, since: Duration) -> bool {
        let last = self.current.get(&content);
        let last = last.or_else(|| self.previous.get(&content));
        last.is_some_and(|last| *last > since)
    }
}
