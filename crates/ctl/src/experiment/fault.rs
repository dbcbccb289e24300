//! Carries out what goes wrong.

use super::ground::Ground;
use super::system::System;
use crate::Error;
use std::time::Duration;
use tokio::time::Instant;

/// Something that happens to a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A runner works slower by this factor; 1 makes it well.
    Slow {
        /// Service of the runner.
        service: &'static str,
        /// Its place among the service's runners.
        place: usize,
        /// The factor.
        factor: f64,
    },
    /// A runner dies.
    Kill {
        /// Service of the runner.
        service: &'static str,
        /// Its place among the service's runners.
        place: usize,
    },
    /// All runners and agents of a failure domain die.
    KillDomain {
        /// The failure domain.
        domain: &'static str,
    },
    /// The table service is away from now on.
    StoreDown,
}

/// Something that happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When, from the start of the run.
    pub at: Duration,
    /// What happens.
    pub change: Change,
}

/// Carries out events at their times; logs of runners that die are taken before.
///
/// # Errors
///
/// [`Error`] if a stand-in cannot be reached or a process cannot be ended.
pub async fn run(
    system: &mut System,
    ground: &mut Ground,
    events: &[Event],
    start: Instant,
) -> Result<(), Error> {
    for event in events {
        tokio::time::sleep_until(start + event.at).await;
        match event.change {
            Change::Slow {
                service,
                place,
                factor,
            } => {
                let faults = standin::Faults {
                    factor,
                    ..standin::Faults::default()
                };
                system
                    .set_faults(system.runner(service, place), &faults)
                    .await?;
            }
            Change::Kill { service, place } => {
                let number = system.runner(service, place);
                kill(system, ground, number).await?;
            }
            Change::KillDomain { domain } => {
                for number in system.in_domain(domain) {
                    kill(system, ground, number).await?;
                    system.kill_agent(number)?;
                }
            }
            Change::StoreDown => system.store_down().await?,
        }
    }
    Ok(())
}

/// The log of what a runner ran dies with it, and its cost would be missing from the sum.
async fn kill(system: &mut System, ground: &mut Ground, number: usize) -> Result<(), Error> {
    if system.is_dead(number) {
        return Ok(());
    }
    ground.collect(system, number).await?;
    system.kill_runner(number)
}
