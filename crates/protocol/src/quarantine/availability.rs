//! Whether enough runners of a service are left for a request under which others have crashed.

/// Number of runners of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Availability {
    /// Runners that are serving.
    pub up: usize,
    /// Runners that have exited recently and are not back.
    pub down: usize,
}

impl Availability {
    /// Whether a request under which `crashes` runners have crashed may be sent to another one.
    ///
    /// A single crash may be a coincidence, so after it the request may go to any runner but the
    /// last one that is up. After a second crash, more than half of the runners are reserved for
    /// other requests. If no runner is down, none can come back, so there is nothing to wait for.
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
