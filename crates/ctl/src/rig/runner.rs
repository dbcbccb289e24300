//! A runner of a bench and the agent beside it.

use crate::Error;
use crate::rig::probe::{failed, get};
use crate::rig::proxy::Proxy;
use crate::rig::record;
use setting::Place;
use standin::log::{Execution, Page};
use standin::{Kind, Options, Server};
use std::net::{Ipv4Addr, SocketAddr};
use store::Vm;

/// Region of the bench.
const REGION: &str = "test";
/// Its failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// A runner with the agent beside it.
#[derive(Debug)]
pub struct Runner {
    /// The agent's VM as the platform lists it.
    pub vm: Vm,
    /// Where the runner serves.
    pub address: SocketAddr,
    /// Between the entries and the agent, if they do not speak directly.
    pub proxy: Option<Proxy>,
    pub(crate) kind: Kind,
    pub(crate) options: Options,
    pub(crate) settings: setting::Agent,
    pub(crate) server: Option<Server>,
    /// Executions of earlier lives of the runner.
    pub(crate) past: Vec<Execution>,
}

/// What a runner and its agent are like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kind of the runner.
    pub kind: Kind,
    /// Timings of the runner; its name is that of the service.
    pub options: Options,
    /// Calls given to the runner at once.
    pub concurrency: u32,
    /// Whether a relay stands between the entries and the agent.
    pub proxy: bool,
}

impl Plan {
    /// A runner of a service of [`record`] that takes so many calls at once.
    #[must_use]
    pub fn new(service: &str, concurrency: u32) -> Self {
        let kind = match service {
            record::LABEL | record::REPORT => Kind::Plain,
            record::ASSISTANT => Kind::Engine,
            _ => Kind::Pool,
        };
        let options = Options {
            name: service.to_owned(),
            ..Options::default()
        };
        Self {
            kind,
            options,
            concurrency,
            proxy: false,
        }
    }

    /// The same with this median time for a call, or for a token of an engine, in milliseconds.
    #[must_use]
    pub fn time(mut self, millis: f64) -> Self {
        self.options.service_ms = millis;
        self.options.step_ms = millis;
        self
    }

    /// The same behind a relay.
    #[must_use]
    pub fn behind_proxy(mut self) -> Self {
        self.proxy = true;
        self
    }
}

impl Runner {
    /// Executions in all its lives.
    pub async fn log(&self) -> Vec<Execution> {
        let mut all = self.past.clone();
        if self.server.is_some()
            && let Ok(page) = get::<Page>(self.address, "/standin/log").await
        {
            all.extend(page.executions);
        }
        all
    }

    /// Puts a new relay before the agent.
    pub(crate) async fn interpose(&mut self, agent: SocketAddr) -> Result<(), Error> {
        let relay = Proxy::start(agent).await;
        let relay = relay.map_err(|error| failed(error.to_string()))?;
        self.vm.address = relay.address();
        self.proxy = Some(relay);
        Ok(())
    }
}

pub(crate) async fn serve(
    kind: Kind,
    listen: SocketAddr,
    options: Options,
) -> Result<Server, Error> {
    let server = standin::start(kind, listen, options).await;
    server.map_err(|error| failed(error.to_string()))
}

pub(crate) fn place(index: usize) -> Place {
    Place {
        region: REGION.to_owned(),
        domain: DOMAINS[index % DOMAINS.len()].to_owned(),
    }
}

pub(crate) fn free() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
