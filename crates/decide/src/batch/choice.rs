//! The former that an operator has chosen, to compare what ships with naive twins.

use super::{Arrival, Former, Group, Offer, Portion, Rules, Shape, Slack, Ticket};
use std::time::Duration;

/// One of the formers.
///
/// # Examples
///
/// ```
/// use decide::batch::{Choice, Former, Rules, Shape};
/// use std::time::Duration;
///
/// let shape = Shape { size: 4, call: Duration::from_millis(200), piece: Duration::ZERO };
/// assert_eq!(Choice::with(shape, Rules::default()).waiting(), 0);
/// ```
#[derive(Clone, Debug)]
pub enum Choice {
    /// Calls shared by slack.
    Slack(Slack),
    /// One group a call, without admission.
    Arrival(Arrival),
}

impl Choice {
    /// What ships, or the same with some rules left out.
    #[must_use]
    pub fn with(shape: Shape, rules: Rules) -> Self {
        Self::Slack(Slack::with(shape, rules))
    }

    /// The baseline.
    #[must_use]
    pub fn naive(shape: Shape) -> Self {
        Self::Arrival(Arrival::new(shape))
    }

    /// Shortest time in which a call ends.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        match self {
            Self::Slack(former) => former.shape.shortest(),
            Self::Arrival(former) => former.shape.shortest(),
        }
    }

    /// Takes over the shape that the configuration now gives.
    pub fn reshape(&mut self, shape: Shape) {
        match self {
            Self::Slack(former) => former.reshape(shape),
            Self::Arrival(former) => former.reshape(shape),
        }
    }
}

impl Former for Choice {
    fn push(&mut self, group: Group) {
        match self {
            Self::Slack(former) => former.push(group),
            Self::Arrival(former) => former.push(group),
        }
    }

    fn withdraw(&mut self, ticket: Ticket) {
        match self {
            Self::Slack(former) => former.withdraw(ticket),
            Self::Arrival(former) => former.withdraw(ticket),
        }
    }

    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<Ticket> {
        match self {
            Self::Slack(former) => former.expire(now, piece),
            Self::Arrival(former) => former.expire(now, piece),
        }
    }

    fn take(&mut self, now: Duration, offer: &Offer<'_>) -> Vec<Portion> {
        match self {
            Self::Slack(former) => former.take(now, offer),
            Self::Arrival(former) => former.take(now, offer),
        }
    }

    fn next(&self, now: Duration) -> Option<Duration> {
        match self {
            Self::Slack(former) => former.next(now),
            Self::Arrival(former) => former.next(now),
        }
    }

    fn waiting(&self) -> u32 {
        match self {
            Self::Slack(former) => former.waiting(),
            Self::Arrival(former) => former.waiting(),
        }
    }

    fn ahead(&self, now: Duration, rank: u8) -> u32 {
        match self {
            Self::Slack(former) => former.ahead(now, rank),
            Self::Arrival(former) => former.ahead(now, rank),
        }
    }
}
