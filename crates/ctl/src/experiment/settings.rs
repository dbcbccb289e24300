//! Settings of a deployment's processes.

use super::deployment::{Deployment, Service};
use crate::Error;
use crate::fleet::Fleet;
use crate::listing::{any_port, random_key};
use setting::{Operator, Place, Platform, Policy};
use standin::{Kind, Options};
use std::net::SocketAddr;

/// Interval at which entries read the list of VMs and the change log, in milliseconds.
const POLL_MS: u64 = 500;
/// Maximum calls that wait for a runner.
const QUEUE: u32 = 32;

/// Settings that all processes of a deployment share.
#[derive(Debug)]
pub(super) struct Shared {
    region: &'static str,
    pub(super) platform: Platform,
    key: String,
    pub(super) token: String,
    policy: Policy,
}

impl Shared {
    fn place(&self, domain: &str) -> Place {
        Place {
            region: self.region.to_owned(),
            domain: domain.to_owned(),
        }
    }

    /// Returns the settings of an entry.
    pub(super) fn entry(&self, id: &str, domain: &str) -> setting::Entry {
        setting::Entry {
            id: id.to_owned(),
            place: self.place(domain),
            listen: any_port(),
            metrics: any_port(),
            platform: self.platform.clone(),
            key: self.key.clone(),
            operators: vec![Operator {
                name: "experiment".to_owned(),
                token: self.token.clone(),
            }],
            tls: None,
            policy: self.policy,
            vms_poll_ms: POLL_MS,
            head_poll_ms: POLL_MS,
            journal_beat_ms: 5_000,
            subset: 64,
            news: None,
            placement: setting::Placement::default(),
        }
    }

    /// Returns the settings of an agent.
    pub(super) fn agent(
        &self,
        id: &str,
        domain: &str,
        service: &Service,
        runner: SocketAddr,
    ) -> setting::Agent {
        setting::Agent {
            id: id.to_owned(),
            place: self.place(domain),
            listen: any_port(),
            metrics: any_port(),
            platform: self.platform.clone(),
            key: self.key.clone(),
            service: service.name.to_owned(),
            runner,
            concurrency: service.concurrency,
            queue: QUEUE,
            policy: self.policy,
            news: None,
        }
    }
}

/// Starts the platform's stand-ins and generates the secrets.
pub(super) fn start(
    fleet: &mut Fleet,
    deployment: &Deployment,
    policy: Policy,
) -> Result<Shared, Error> {
    let options = Options::default();
    Ok(Shared {
        region: deployment.region,
        platform: Platform {
            table: fleet.standin("table", Kind::Table, &options)?,
            objects: fleet.standin("object", Kind::Object, &options)?,
            vms: fleet.standin("vm", Kind::Vm, &options)?,
            weights: None,
        },
        key: random_key(),
        token: random_key(),
        policy,
    })
}
