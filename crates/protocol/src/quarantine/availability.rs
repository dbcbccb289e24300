//! How many runners of a service are left for a request under which others have ended.

/// The runners of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Availability {
    /// Runners that serve.
    pub up: usize,
    /// Runners that have ended lately and are not back.
    pub down: usize,
}

impl Availability {
    /// Whether a request may be sent to one of the runners under which so many have ended.
    ///
    /// Under one of them runners also end by chance, and it goes on to any but the last one. From the
    /// second on, more than half are kept for the others. Where none that has ended may come back there
    /// is nothing to wait for.
    ///
    /// # Examples
    ///
    /// ```
    /// use protocol::quarantine::Availability;
    ///
    /// assert!(Availability { up: 2, down: 1 }.allows_attempt(1));
    /// assert!(!Availability { up: 1, down: 1 }.allows_attempt(1));
    /// assert!(Availability { up: 1, down: 1 }.allows_attempt(0));
    /// ```
    #[must_use]
    pub fn allows_attempt(self, crashes: u32) -> bool {
        let most_up = crashes == 1 || self.down < self.up;
        crashes == 0 || self.down == 0 || self.up > 1 && most_up
    }
}
