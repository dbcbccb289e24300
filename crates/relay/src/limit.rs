//! Runners in need, which ask for fewer requests in their answers.

use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Failure, NotRun, Reply};
use crate::runner::{Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use slog::info;
use std::time::Duration;
use tokio::time::Instant;

/// What is known of runners that ask for fewer requests.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Map<RunnerId, Limit>,
}

/// What one runner asks for.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Mean time between the requests of all processes together.
    spacing: Duration,
    /// When it said so last.
    heard: Instant,
}

impl Limits {
    /// Takes in what an answer to a request says that was sent at a moment. Tells whether that is
    /// something else than was known.
    fn hear(&mut self, id: &RunnerId, spacing: Option<Duration>, sent: Instant) -> bool {
        let before = self.known.get(id).copied();
        match spacing {
            Some(spacing) => {
                let heard = Instant::now();
                self.known.insert(id.clone(), Limit { spacing, heard });
                before.is_none_or(|before| before.spacing != spacing)
            }
            // An answer that was on its way before the runner asked says nothing of it.
            None => {
                let over = before.is_some_and(|before| sent > before.heard);
                over && self.known.remove(id).is_some()
            }
        }
    }
}

impl<D: Downstream> Relay<D> {
    /// Takes in what a runner asks for in its answer to a request that was sent at a moment.
    pub(crate) fn note_limit<B>(
        &self,
        runner: &Runner,
        sent: Instant,
        result: &Result<Reply<B>, Failure>,
    ) {
        let spacing = match result {
            Ok(reply) if reply.proven || reply.spacing.is_some() => reply.spacing,
            Err(Failure::NotRun {
                reason:
                    NotRun::Full {
                        spacing: asked @ Some(_),
                    },
            }) => *asked,
            _ => return,
        };
        if lock(&self.limits).hear(&runner.id, spacing, sent) {
            info!(self.log, "runner limits its requests"; "runner" => &*runner.id,
                "service" => &*runner.service, "one_in_ms" => spacing.map(millis),
                "from" => "its answer");
        }
    }
}
