//! Lost responses, remembered for as long as the exit of their runner may still become known.

use super::CAPACITY;
use super::suspect::{Moment, Span};
use crate::id::ContentId;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after the loss of a response within which an exit of the runner is attributed to the
/// request.
const TTL: Duration = Duration::from_secs(5);
/// Time within which the response is lost if the runner had exited before the request was sent.
const IMMEDIATE_LOSS: Duration = Duration::from_millis(250);

/// A lost response.
#[derive(Clone, Debug)]
pub(super) struct Loss<R> {
    pub(super) content: ContentId,
    pub(super) runner: R,
    pub(super) span: Span,
    /// Whether the runner had no other work than requests under which runners had crashed before.
    pub(super) isolated: bool,
    /// Whether the request was sent as a trial.
    pub(super) is_trial: bool,
    /// Whether the response may still arrive.
    pub(super) provisional: bool,
}

/// Lost responses of all runners.
#[derive(Clone, Debug)]
pub(super) struct Losses<R>(VecDeque<Loss<R>>);

impl<R> Default for Losses<R> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<R: Eq> Losses<R> {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn record(&mut self, loss: Loss<R>) {
        self.0
            .retain(|known| known.span.lost + TTL >= loss.span.lost);
        if self.0.len() >= CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(loss);
    }

    /// Removes the lost responses of a runner that has exited, and returns those that its exit
    /// explains. Requests that were sent later reached a runner that had already exited.
    pub(super) fn take_for_exit(&mut self, runner: &R, at: Moment) -> VecDeque<Loss<R>> {
        let (mut runner_losses, losses): (VecDeque<Loss<R>>, _) = std::mem::take(&mut self.0)
            .into_iter()
            .filter(|loss| loss.span.lost + TTL >= at)
            .partition(|loss| loss.runner == *runner);
        self.0 = losses;
        let exit = exit_time(&runner_losses);
        runner_losses.retain(|loss| {
            let was_there = |exit| loss.provisional || exit <= loss.span.lost;
            loss.is_trial || exit.is_some_and(|exit| loss.span.sent <= exit && was_there(exit))
        });
        runner_losses
    }

    /// Forgets a runner's lost responses: it has answered since, so it did not lose them by
    /// exiting.
    pub(super) fn forget_runner(&mut self, runner: &R) {
        self.0.retain(|loss| loss.runner != *runner);
    }

    /// Forgets a runner's provisional losses: it has given a sign of life and may still respond.
    pub(super) fn observe(&mut self, runner: &R) {
        self.0
            .retain(|loss| !loss.provisional || loss.runner != *runner);
    }

    /// Forgets the lost responses of a request that has been answered.
    pub(super) fn forget_content(&mut self, content: ContentId) {
        self.0.retain(|loss| loss.content != content);
    }
}

/// When the runner that lost these responses exited: at the first loss, except for losses before
/// the start of another request that the runner worked on for a while.
fn exit_time<R>(losses: &VecDeque<Loss<R>>) -> Option<Moment> {
    let worked = |loss: &&Loss<R>| loss.span.sent + IMMEDIATE_LOSS < loss.span.lost;
    let alive_since = losses
        .iter()
        .filter(worked)
        .map(|loss| loss.span.sent)
        .max();
    let is_final = |loss: &&Loss<R>| !loss.provisional;
    let has_final = losses.iter().any(|loss| is_final(&loss));
    let lost = losses.iter().filter(|loss| !has_final || is_final(loss));
    let lost = lost.map(|loss| loss.span.lost);
    lost.filter(|lost| alive_since.is_none_or(|alive_since| *lost > alive_since))
        .min()
}
