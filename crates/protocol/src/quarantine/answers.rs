//! When a complete response was last received for each prompt part.

use crate::id::ContentId;
use foldhash::fast::RandomState;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of remembered parts.
const CAPACITY: usize = 4_096;
/// Time after which a part is forgotten if there is no room: no request lasts much longer.
const TTL: Duration = Duration::from_secs(30);

/// Prompt parts to which runners have responded. If a runner exits during a request, a part that
/// other requests have had answered since it was sent is not what made it exit.
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
pub struct RecentAnswers(HashMap<ContentId, Duration, RandomState>);

impl RecentAnswers {
    /// Records a complete response to a request with this part.
    pub fn record(&mut self, part: ContentId, now: Duration) {
        if self.0.len() >= CAPACITY && !self.0.contains_key(&part) {
            self.0.retain(|_, last| *last + TTL > now);
        }
        if self.0.len() < CAPACITY || self.0.contains_key(&part) {
            self.0.insert(part, now);
        }
    }

    /// Whether a complete response to a request with this part has been received since.
    #[must_use]
    pub fn is_answered_since(&self, part: ContentId, since: Duration) -> bool {
        self.0.get(&part).is_some_and(|last| *last > since)
    }
}
