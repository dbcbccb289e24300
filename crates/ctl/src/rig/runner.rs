//! A runner of a test bench and its agent.

use crate::Error;
use crate::rig::probe::{failed, get};
use crate::rig::proxy::Proxy;
use crate::rig::record;
use setting::Place;
use standin::log::{Execution, Page};
use standin::{Kind, Options, Server};
use std::net::{Ipv4Addr, SocketAddr};
use store::Vm;

/// Region of the test bench.
const REGION: &str = "test";
/// Failure domains of the test bench.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// A runner and its agent.
#[derive(Debug)]
pub struct Runner {
    /// The agent's VM as it stands in the platform's list.
    pub vm: Vm,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Proxy between the entries and the agent, if they do not connect directly.
    pub proxy: Option<Proxy>,
    pub(crate) kind: Kind,
    pub(crate) options: Options,
    pub(crate) settings: setting::Agent,
    pub(crate) server: Option<Server>,
    /// Executions of earlier incarnations of the runner.
    pub(crate) earlier_executions: Vec<Execution>,
}

/// Configuration of a runner and its agent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kind of the runner.
    pub kind: Kind,
    /// Options of the stand-in; their `name` is that of the service.
    pub options: Options,
    /// Number of concurrent calls to the runner.
    pub concurrency: u32,
    /// Whether there is a proxy between the entries and the agent.
    pub proxy: bool,
}

impl Plan {
    /// Creates a plan for a runner of a service of [`record`] with this concurrency.
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

    /// Sets the median time of a call, or of a token of an engine, in milliseconds.
    #[must_use]
    pub fn time(mut self, millis: f64) -> Self {
        self.options.service_ms = millis;
        self.options.step_ms = millis;
        self
    }

    /// Puts a proxy between the entries and the agent.
    #[must_use]
    pub fn behind_proxy(mut self) -> Self {
        self.proxy = true;
        self
    }
}

impl Runner {
    /// Returns the executions of all incarnations of the runner.
    pub async fn log(&self) -> Vec<Execution> {
        let mut all = self.earlier_executions.clone();
        if self.server.is_some()
            && let Ok(page) = get::<Page>(self.address, "/standin/log").await
        {
            all.extend(page.executions);
        }
        all
    }

    /// Starts a new proxy to the agent.
    pub(crate) async fn insert_proxy(&mut self, agent: SocketAddr) -> Result<(), Error> {
        let proxy = Proxy::start(agent).await;
        let proxy = proxy.map_err(|error| failed(error.to_string()))?;
        self.vm.address = proxy.address();
        self.proxy = Some(proxy);
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

pub(crate) fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
