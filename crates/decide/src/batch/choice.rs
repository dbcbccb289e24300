//! The former that an operator has chosen, to compare what ships with naive twins.

use super::{Arrival, Former, Group, Need, Portion, Shape, Slack, Ticket};
use std::time::Duration;

/// One of the formers.
///
/// # Examples
///
/// ```
/// use decide::batch::{Choice, Former, Shape};
/// use std::time::Duration;
///
/// let shape = Shape { size: 4, call: Duration::from_millis(200), piece: Duration::ZERO };
/// assert_eq!(Choice::shipped(shape).waiting(), 0);
/// ```
#[derive(Clone, Debug)]
pub enum Choice {
    /// Calls shared by slack; late groups given up while runners are busy.
    Slack(Slack),
    /// The same calls, and all groups kept as long as they can be made at all: without admission.
    Patient(Slack),
    /// One group a call, without admission.
    Arrival(Arrival),
}

impl Choice {
    /// What ships.
    #[must_use]
    pub fn shipped(shape: Shape) -> Self {
        Self::Slack(Slack::new(shape))
    }

    /// Calls as shipped, without admission.
    #[must_use]
    pub fn patient(shape: Shape) -> Self {
        Self::Patient(Slack::new(shape))
    }

    /// The baseline.
    #[must_use]
    pub fn naive(shape: Shape) -> Self {
        Self::Arrival(Arrival::new(shape))
    }

    /// Takes over the shape that the configuration now gives.
    pub fn reshape(&mut self, shape: Shape) {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.reshape(shape),
            Self::Arrival(former) => former.reshape(shape),
        }
    }
}

impl Former for Choice {
    fn push(&mut self, group: Group) {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.push(group),
            Self::Arrival(former) => former.push(group),
        }
    }

    fn withdraw(&mut self, ticket: Ticket) {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.withdraw(ticket),
            Self::Arrival(former) => former.withdraw(ticket),
        }
    }

    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<Ticket> {
        match self {
            Self::Slack(former) => former.expire(now, piece),
            Self::Patient(former) => former.drop_past(now),
            Self::Arrival(former) => former.expire(now, piece),
        }
    }

    fn take(&mut self, now: Duration, room: u64, domain: &str, need: Need) -> Vec<Portion> {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.take(now, room, domain, need),
            Self::Arrival(former) => former.take(now, room, domain, need),
        }
    }

    fn next(&self, now: Duration) -> Option<Duration> {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.next(now),
            Self::Arrival(former) => former.next(now),
        }
    }

    fn waiting(&self) -> u32 {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.waiting(),
            Self::Arrival(former) => former.waiting(),
        }
    }

    fn ahead(&self, now: Duration, rank: u8) -> u32 {
        match self {
            Self::Slack(former) | Self::Patient(former) => former.ahead(now, rank),
            Self::Arrival(former) => former.ahead(now, rank),
        }
    }
}
