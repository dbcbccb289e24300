//! The processes and the stand-ins of a soak of relays.

use crate::Error;
use crate::fleet::Fleet;
use crate::rig::probe::{failed, until};
use crate::rig::proxy::Proxy;
use crate::rig::runner::place;
use crate::torture::world::World;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use stub::config::{self, MODEL, PLAIN, STAGE};
use stub::runner::{Log, Runner};
use stub::store::{Entry, Store};
use stub::{Micros, now};

/// Relays of a soak.
const RELAYS: usize = 4;
/// Memory of a relay, in megabytes.
const MEMORY_MB: usize = 128;
/// Key that is in every version of the configuration.
pub const STAYS: &str = "key-stays";
/// Runners of each service.
pub const RUNNERS: Runners = [(PLAIN, 3), (MODEL, 4), (STAGE, 3)];
/// The same where one request may reach several before the first of them is known to be silent.
pub const MANY_RUNNERS: Runners = [(PLAIN, 9), (MODEL, 9), (STAGE, 3)];
/// Time after which the entry of a runner lapses that a request has ended, and that after which the
/// runner is back.
const LAPSE: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(2_000);
/// The same for a runner that a request has silenced.
const SILENT_LAPSE: Duration = Duration::from_millis(2_700);
const SILENT: Duration = Duration::from_millis(4_000);
/// Time from the request to stop until a process is taken to hang, in seconds.
pub const GRACE_S: f64 = 8.0;
/// Time within which a runner that leaves must get no new work, in milliseconds.
const DRAIN_MS: f64 = 3_000.0;

/// Services, and how many runners each has.
pub type Runners = [(&'static str, usize); 3];

/// A key, and from when until when it was in force, as far as the operator was told.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key.
    pub text: String,
    /// When it was accepted.
    pub from: Micros,
    /// When its end was accepted.
    pub until: Option<Micros>,
}

/// Keys of all versions of the configuration.
pub type Keys = Arc<Mutex<Vec<Key>>>;

/// A runner behind a connection that can be disturbed.
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
    /// What callers connect to.
    pub door: Proxy,
    /// Unix millisecond of its start.
    pub started: u64,
    /// Whether its entry has lapsed since a request ended or silenced it.
    lapsed: bool,
}

/// Where runners are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doors {
    /// Behind connections that can be disturbed, which are accepted and closed at once while a runner
    /// is down.
    Proxied,
    /// At the runners themselves, whose addresses refuse while they are down.
    Direct,
}

impl Doors {
    fn address(self, runner: &Runner, door: &Proxy) -> SocketAddr {
        match self {
            Self::Proxied => door.address(),
            Self::Direct => runner.address(),
        }
    }
}

/// Everything of one soak.
#[derive(Debug)]
pub struct Cluster {
    /// The relays.
    pub fleet: Fleet,
    /// The table service.
    pub store: Store,
    /// Settings of each relay, and its connection to the table service.
    pub relays: Vec<(setting::Relay, Proxy)>,
    /// The runners.
    pub targets: Vec<Target>,
    /// What runners ran.
    pub log: Log,
    /// Keys so far.
    pub keys: Keys,
    doors: Doors,
    version: u64,
}

impl Cluster {
    /// Starts all of it.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if something does not start.
    pub async fn start(
        logs: PathBuf,
        programs: PathBuf,
        doors: Doors,
        runners: Runners,
        world: &World,
    ) -> Result<Self, Error> {
        let mut cluster = Self {
            fleet: Fleet::with_programs(logs, programs)?,
            store: Store::start().await.map_err(|error| system(&error))?,
            relays: Vec::new(),
            targets: Vec::new(),
            log: Log::default(),
            keys: Keys::default(),
            doors,
            version: 0,
        };
        cluster.configure();
        for (service, count) in runners {
            for number in 0..count {
                cluster.target(service, number).await?;
            }
        }
        for number in 0..RELAYS {
            let door = Proxy::start(cluster.store.address())
                .await
                .map_err(|error| system(&error))?;
            let settings = settings(number, door.address());
            cluster.relays.push((settings, door));
            cluster.relay(number, world)?;
        }
        Ok(cluster)
    }

    async fn target(&mut self, service: &'static str, number: usize) -> Result<(), Error> {
        let id = format!("{service}-{number}");
        let runner = Runner::start(&id, &self.log)
            .await
            .map_err(|error| system(&error))?;
        let door = Proxy::start(runner.address())
            .await
            .map_err(|error| system(&error))?;
        runner.set_advertised_address(self.doors.address(&runner, &door));
        self.targets.push(Target {
            id,
            service,
            domain: place(number).domain,
            runner,
            door,
            started: now() / 1_000,
            lapsed: false,
        });
        self.list(self.targets.len() - 1, false);
        Ok(())
    }

    /// Starts the process of a relay, at first or again.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub fn relay(&mut self, number: usize, world: &World) -> Result<(), Error> {
        let settings = &self.relays[number].0;
        let ready = self.fleet.relay(settings)?;
        world.born(&settings.id, ready.listen);
        Ok(())
    }

    /// Writes the entry of a runner.
    pub fn list(&self, number: usize, leaving: bool) {
        let target = &self.targets[number];
        self.store.list(&Entry {
            id: &target.id,
            service: target.service,
            address: self.doors.address(&target.runner, &target.door),
            domain: &target.domain,
            started: target.started,
            leaving,
        });
    }

    /// Has one runner of the model service say that it takes so many requests a second.
    pub fn limit(&self, rate: u32) {
        let one = self.targets.iter().find(|target| target.service == MODEL);
        one.iter()
            .for_each(|target| target.runner.announce_limit(Some(rate)));
    }

    /// Lists no more the runners that a request has ended or silenced, and starts them again after a while.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if an address is taken.
    pub async fn tend(&mut self) -> Result<(), Error> {
        for number in 0..self.targets.len() {
            let target = &mut self.targets[number];
            let Some(down) = target.runner.down_for() else {
                target.lapsed = false;
                continue;
            };
            let (lapse, over) = match target.runner.is_silent() {
                true => (SILENT_LAPSE, SILENT),
                false => (LAPSE, DOWN),
            };
            if down >= over {
                self.revive(number).await?;
            } else if down >= lapse && !target.lapsed {
                target.lapsed = true;
                self.store.unlist(&target.id);
            }
        }
        Ok(())
    }

    /// Starts a crashed runner again.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if its address is taken.
    pub async fn revive(&mut self, number: usize) -> Result<(), Error> {
        let target = &mut self.targets[number];
        target
            .runner
            .revive()
            .await
            .map_err(|error| system(&error))?;
        target.started = now() / 1_000;
        self.list(number, false);
        Ok(())
    }

    /// Puts the next version of the configuration into force: one key stays, the other one is
    /// replaced.
    pub fn configure(&mut self) {
        self.version += 1;
        let text = format!("key-{}", self.version);
        let valid = [STAYS.to_owned(), text.clone()];
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        self.store
            .configure(&config::configuration(self.version, &valid));
        let accepted = now();
        let new = Key {
            text,
            from: accepted,
            until: None,
        };
        if keys.is_empty() {
            keys.push(Key {
                text: STAYS.to_owned(),
                ..new.clone()
            });
        }
        let replaced = keys.iter_mut().skip(1).filter(|key| key.until.is_none());
        replaced.for_each(|key| key.until = Some(accepted));
        keys.push(new);
    }

    /// Writes the configuration in force once more.
    pub fn configure_again(&self) {
        let keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let valid = keys.iter().filter(|key| key.until.is_none());
        let valid: Vec<String> = valid.map(|key| key.text.clone()).collect();
        self.store
            .configure(&config::configuration(self.version, &valid));
    }

    /// Waits until all relays take callers.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one does not.
    pub async fn ready(&self) -> Result<(), Error> {
        for (settings, _) in &self.relays {
            let what = format!("{} is ready", settings.id);
            let Some(asked) = self.fleet.ready(&settings.id).and_then(|ready| ready.ready) else {
                return Err(failed(format!(
                    "{} does not tell its addresses",
                    settings.id
                )));
            };
            until(&what, || stub::caller::is_ready(asked)).await?;
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

fn system(error: &std::io::Error) -> Error {
    failed(error.to_string())
}
