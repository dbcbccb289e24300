//! Processes and stand-ins of a soak of relays.

use crate::Error;
use crate::fleet::Fleet;
use crate::rig::probe::{failed, wait_until};
use crate::rig::proxy::Proxy;
use crate::rig::runner::place;
use crate::torture::state::SoakState;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use stub::config::{self, CHAIN_SERVICES, MODEL, PLAIN, STAGE};
use stub::runner::{Log, Runner};
use stub::store::{Entry, Store};
use stub::{Micros, now};

/// Relays of a soak.
const RELAYS: usize = 4;
/// Memory of a relay, in megabytes.
const MEMORY_MB: usize = 128;
/// Key that is part of every version of the configuration.
pub const PERMANENT_KEY: &str = "key-stays";
/// Runners of each service.
pub const RUNNERS: Runners = &[(PLAIN, 3), (MODEL, 4), (STAGE, 3)];
/// Runners of each service in soaks where one request may reach several runners before the first of
/// them is known to be unresponsive.
pub const MANY_RUNNERS: Runners = &[(PLAIN, 9), (MODEL, 9), (STAGE, 3)];
/// Time after which the entry of a runner that a request has crashed is removed, and time after which
/// the runner is restarted.
const CRASHED_UNLIST_AFTER: Duration = Duration::from_millis(1_000);
const CRASHED_RESTART_AFTER: Duration = Duration::from_millis(2_000);
/// The same times for a runner that a request has made unresponsive.
const UNRESPONSIVE_UNLIST_AFTER: Duration = Duration::from_millis(2_700);
const UNRESPONSIVE_RESTART_AFTER: Duration = Duration::from_millis(4_000);
/// Time after the request to stop at which a process counts as hanging, in seconds.
pub const GRACE_S: f64 = 8.0;
/// Time within which a leaving runner must stop getting new work, in milliseconds.
const DRAIN_MS: f64 = 3_000.0;

/// Services and their numbers of runners.
pub type Runners = &'static [(&'static str, usize)];

/// What a cluster consists of.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// How relays reach the runners.
    pub access: RunnerAccess,
    /// Runners of each service.
    pub runners: Runners,
    /// Configuration with a version and keys.
    pub configuration: fn(u64, &[String]) -> Value,
    /// Whether the table service reports its clock. Only then a relay that starts again knows how long its row
    /// has existed.
    pub has_clock: bool,
}

impl Layout {
    /// A layout with the routes that most soaks use.
    #[must_use]
    pub const fn new(access: RunnerAccess, runners: Runners) -> Self {
        Self {
            access,
            runners,
            configuration: config::configuration,
            has_clock: false,
        }
    }
}

/// A key and the interval in which it was in force, as reported to the operator.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key.
    pub text: String,
    /// When its addition was accepted.
    pub from: Micros,
    /// When its removal was accepted; none while it is in force.
    pub until: Option<Micros>,
}

/// Keys of all versions of the configuration.
pub type Keys = Arc<Mutex<Vec<Key>>>;

/// A runner behind a proxy that injects connection faults.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Its failure domain.
    pub domain: String,
    /// The runner.
    pub runner: Runner,
    /// The proxy in front of it.
    pub proxy: Proxy,
    /// Time of its start, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Whether its entry was removed since a request crashed it or made it unresponsive.
    unlisted: bool,
}

/// How relays reach the runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerAccess {
    /// Through proxies that inject connection faults. While a runner is down, its proxy accepts
    /// connections and closes them at once.
    Proxied,
    /// Directly. While a runner is down, its address refuses connections.
    Direct,
}

impl RunnerAccess {
    fn address(self, runner: &Runner, proxy: &Proxy) -> SocketAddr {
        match self {
            Self::Proxied => proxy.address(),
            Self::Direct => runner.address(),
        }
    }
}

/// All processes and stand-ins of one soak.
#[derive(Debug)]
pub struct Cluster {
    /// The relays.
    pub fleet: Fleet,
    /// The table service.
    pub store: Store,
    /// Settings of each relay, and the proxy through which it reaches the table service.
    pub relays: Vec<(setting::Relay, Proxy)>,
    /// The runners.
    pub targets: Vec<Target>,
    /// Log of the runs.
    pub log: Log,
    /// All keys so far.
    pub keys: Keys,
    layout: Layout,
    version: u64,
}

impl Cluster {
    /// Starts the processes and the stand-ins.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if something does not start.
    pub async fn start(
        logs: PathBuf,
        programs: PathBuf,
        layout: Layout,
        state: &SoakState,
    ) -> Result<Self, Error> {
        let mut cluster = Self {
            fleet: Fleet::with_programs(logs, programs)?,
            store: Store::start().await.map_err(|error| io_error(&error))?,
            relays: Vec::new(),
            targets: Vec::new(),
            log: Log::default(),
            keys: Keys::default(),
            layout,
            version: 0,
        };
        if layout.has_clock {
            cluster.store.report_clock();
        }
        cluster.publish_configuration();
        for &(service, count) in layout.runners {
            for number in 0..count {
                cluster.add_target(service, number).await?;
            }
        }
        for number in 0..RELAYS {
            let proxy = Proxy::start(cluster.store.address())
                .await
                .map_err(|error| io_error(&error))?;
            let settings = settings(number, proxy.address());
            cluster.relays.push((settings, proxy));
            cluster.start_relay(number, state)?;
        }
        Ok(cluster)
    }

    async fn add_target(&mut self, service: &'static str, number: usize) -> Result<(), Error> {
        let id = format!("{service}-{number}");
        let chain = CHAIN_SERVICES.iter().find(|one| one.name == service);
        let runner = match chain {
            Some(stage) => Runner::start_stage(&id, stage, &self.log).await,
            None => Runner::start(&id, &self.log).await,
        };
        let runner = runner.map_err(|error| io_error(&error))?;
        let proxy = Proxy::start(runner.address())
            .await
            .map_err(|error| io_error(&error))?;
        runner.set_advertised_address(self.layout.access.address(&runner, &proxy));
        self.targets.push(Target {
            id,
            service,
            domain: place(number).domain,
            runner,
            proxy,
            started: now() / 1_000,
            unlisted: false,
        });
        self.write_entry(self.targets.len() - 1, false);
        Ok(())
    }

    /// Starts or restarts the process of a relay.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub fn start_relay(&mut self, number: usize, state: &SoakState) -> Result<(), Error> {
        let settings = &self.relays[number].0;
        let ready = self.fleet.relay(settings)?;
        state.add_process(&settings.id, ready.listen);
        Ok(())
    }

    /// Writes the entry of a runner to the table service.
    pub fn write_entry(&self, number: usize, leaving: bool) {
        let target = &self.targets[number];
        self.store.list(&Entry {
            id: &target.id,
            service: target.service,
            address: self.layout.access.address(&target.runner, &target.proxy),
            domain: &target.domain,
            started: target.started,
            leaving,
        });
    }

    /// Has one runner of the model service announce a limit of requests per second.
    pub fn announce_limit(&self, rate: u32) {
        let one = self.targets.iter().find(|target| target.service == MODEL);
        one.iter()
            .for_each(|target| target.runner.announce_limit(Some(rate)));
    }

    /// Has one runner of the model service say in its responses that it is shutting down, and another one turn
    /// calls away and ask for rest. Their entries say nothing.
    pub fn announce_notices(&self, rest: Duration) {
        let mut models = self.targets.iter().filter(|target| target.service == MODEL);
        models
            .next()
            .iter()
            .for_each(|leaving| leaving.runner.announce_leaving());
        models
            .next()
            .iter()
            .for_each(|resting| resting.runner.ask_for_rest(rest));
    }

    /// Restarts the runners that announce notices, which ends these.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if an address is taken.
    pub async fn end_notices(&mut self) -> Result<(), Error> {
        let targets = self.targets.iter().enumerate();
        let models = targets.filter(|(_, target)| target.service == MODEL);
        let announcing: Vec<usize> = models.map(|(number, _)| number).take(2).collect();
        for number in announcing {
            self.restart_runner(number).await?;
        }
        Ok(())
    }

    /// Removes the entries of runners that a request has crashed or made unresponsive, and restarts these
    /// runners after a while. A runner that was leaving no longer is after its restart.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if an address is taken.
    pub async fn maintain_runners(&mut self, state: &SoakState) -> Result<(), Error> {
        for number in 0..self.targets.len() {
            let target = &mut self.targets[number];
            let Some(down) = target.runner.down_for() else {
                target.unlisted = false;
                continue;
            };
            let (unlist_after, restart_after) = match target.runner.is_silent() {
                true => (UNRESPONSIVE_UNLIST_AFTER, UNRESPONSIVE_RESTART_AFTER),
                false => (CRASHED_UNLIST_AFTER, CRASHED_RESTART_AFTER),
            };
            if down >= restart_after {
                self.restart_runner(number).await?;
                state.end_leaving(&self.targets[number].id);
            } else if down >= unlist_after && !target.unlisted {
                target.unlisted = true;
                self.store.unlist(&target.id);
            }
        }
        Ok(())
    }

    /// Restarts a crashed runner.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if its address is taken.
    pub async fn restart_runner(&mut self, number: usize) -> Result<(), Error> {
        let target = &mut self.targets[number];
        target
            .runner
            .revive()
            .await
            .map_err(|error| io_error(&error))?;
        target.started = now() / 1_000;
        self.write_entry(number, false);
        Ok(())
    }

    /// Publishes the next version of the configuration, in which one key stays and the other one is
    /// replaced.
    pub fn publish_configuration(&mut self) {
        self.version += 1;
        let text = format!("key-{}", self.version);
        let valid = [PERMANENT_KEY.to_owned(), text.clone()];
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        self.store
            .configure(&(self.layout.configuration)(self.version, &valid));
        let accepted = now();
        let new = Key {
            text,
            from: accepted,
            until: None,
        };
        if keys.is_empty() {
            keys.push(Key {
                text: PERMANENT_KEY.to_owned(),
                ..new.clone()
            });
        }
        let replaced = keys.iter_mut().skip(1).filter(|key| key.until.is_none());
        replaced.for_each(|key| key.until = Some(accepted));
        keys.push(new);
    }

    /// Publishes the configuration in force once more.
    pub fn republish_configuration(&self) {
        let keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let valid = keys.iter().filter(|key| key.until.is_none());
        let valid: Vec<String> = valid.map(|key| key.text.clone()).collect();
        self.store
            .configure(&(self.layout.configuration)(self.version, &valid));
    }

    /// Waits until all relays are ready for clients.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one does not.
    pub async fn wait_until_ready(&self) -> Result<(), Error> {
        for (settings, _) in &self.relays {
            let what = format!("{} is ready", settings.id);
            let Some(address) = self.fleet.ready(&settings.id).and_then(|ready| ready.ready) else {
                return Err(failed(format!(
                    "{} has not reported its addresses",
                    settings.id
                )));
            };
            wait_until(&what, || stub::caller::is_ready(address)).await?;
        }
        Ok(())
    }
}

fn settings(number: usize, store: SocketAddr) -> setting::Relay {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    setting::Relay {
        id: format!("relay-{number}"),
        place: place(number),
        listen: any,
        ready: any,
        metrics: any,
        peers: any,
        key: "soak".to_owned(),
        weight: 1.0,
        memory_mb: MEMORY_MB,
        first_start: false,
        store,
        repeats: setting::relay::RetryBound::default(),
        grace_s: GRACE_S,
        drain_ms: DRAIN_MS,
        warmup: setting::relay::Warmup::default(),
        places: Vec::new(),
        policy: setting::relay::Policies::default(),
    }
}

fn io_error(error: &std::io::Error) -> Error {
    failed(error.to_string())
}
