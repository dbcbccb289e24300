//! Answers that were lost, for as long as the end of their runner may still become known.

use super::CAPACITY;
use super::suspect::{Moment, Span};
use crate::id::ContentId;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after the loss of an answer in which the end of its runner is put down to the request.
const TTL: Duration = Duration::from_secs(5);
/// Time within which the answer to a request is lost that was sent to a runner which had ended.
const IMMEDIATE_LOSS: Duration = Duration::from_millis(250);

/// An answer that was lost.
#[derive(Clone, Debug)]
pub(super) struct Loss<R> {
    pub(super) content: ContentId,
    pub(super) runner: R,
    pub(super) span: Span,
    /// Whether the runner had nothing to do but requests under which others had ended before.
    pub(super) isolated: bool,
    /// Whether the answer may still come.
    pub(super) provisional: bool,
}

/// Those of all runners.
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

    pub(super) fn note(&mut self, loss: Loss<R>) {
        self.0
            .retain(|known| known.span.lost + TTL >= loss.span.lost);
        if self.0.len() >= CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(loss);
    }

    /// Removes those of a runner that has ended, and gives those that its end explains. What was sent later
    /// met a runner that had ended already.
    pub(super) fn take_for_exit(&mut self, runner: &R, at: Moment) -> VecDeque<Loss<R>> {
        let (mut under, losses): (VecDeque<Loss<R>>, _) = std::mem::take(&mut self.0)
            .into_iter()
            .filter(|loss| loss.span.lost + TTL >= at)
            .partition(|loss| loss.runner == *runner);
        self.0 = losses;
        let exit = exit_time(&under);
        under.retain(|loss| {
            let was_there = |exit| loss.provisional || exit <= loss.span.lost;
            exit.is_some_and(|exit| loss.span.sent <= exit && was_there(exit))
        });
        under
    }

    /// The runner has answered since: it did not lose them by its end.
    pub(super) fn forget_runner(&mut self, runner: &R) {
        self.0.retain(|loss| loss.runner != *runner);
    }

    /// Something has come from the runner: what waits for an answer there may still get it.
    pub(super) fn observe(&mut self, runner: &R) {
        self.0
            .retain(|loss| !loss.provisional || loss.runner != *runner);
    }

    /// The request has been answered.
    pub(super) fn forget_content(&mut self, content: ContentId) {
        self.0.retain(|loss| loss.content != content);
    }
}

/// When a runner ended that lost these answers: the first of them, but for those lost before another request
/// was sent that it was at work on for a while.
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
