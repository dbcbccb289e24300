//! Injects faults into a deployment.

use super::execution::ExecutionStats;
use super::system::System;
use crate::Error;
use std::time::Duration;
use tokio::time::Instant;

/// A fault of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Slows a runner down by a factor; 1 restores its speed.
    Slow {
        /// Service of the runner.
        service: &'static str,
        /// Index of the runner among those of the service.
        index: usize,
        /// Factor by which it is slower.
        factor: f64,
    },
    /// Kills a runner.
    Kill {
        /// Service of the runner.
        service: &'static str,
        /// Index of the runner among those of the service.
        index: usize,
    },
    /// Kills all runners and agents of a failure domain.
    KillDomain {
        /// The failure domain.
        domain: &'static str,
    },
    /// Makes the table service unavailable for the rest of the run.
    StoreDown,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEvent {
    /// Time of the fault, from the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Injects faults at their times and collects the log of each runner before it is killed.
///
/// # Errors
///
/// [`Error`] if a stand-in cannot be reached or a process cannot be killed.
pub async fn run(
    system: &mut System,
    executions: &mut ExecutionStats,
    events: &[FaultEvent],
    start: Instant,
) -> Result<(), Error> {
    for event in events {
        tokio::time::sleep_until(start + event.at).await;
        match event.fault {
            Fault::Slow {
                service,
                index,
                factor,
            } => {
                let faults = standin::Faults {
                    factor,
                    ..standin::Faults::default()
                };
                system
                    .set_faults(system.runner(service, index), &faults)
                    .await?;
            }
            Fault::Kill { service, index } => {
                let number = system.runner(service, index);
                kill(system, executions, number).await?;
            }
            Fault::KillDomain { domain } => {
                for number in system.runners_in_domain(domain) {
                    kill(system, executions, number).await?;
                    system.kill_agent(number)?;
                }
            }
            Fault::StoreDown => system.fail_table_service().await?,
        }
    }
    Ok(())
}

/// Collects the log of a runner and kills it. The log is lost with the runner, and its cost would be
/// missing from the total.
async fn kill(
    system: &mut System,
    executions: &mut ExecutionStats,
    number: usize,
) -> Result<(), Error> {
    if system.is_killed(number) {
        return Ok(());
    }
    executions.collect(system, number).await?;
    system.kill_runner(number)
}
