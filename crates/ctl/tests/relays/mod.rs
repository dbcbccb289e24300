//! Relays as processes, with a table service and runners in this process.

#![allow(dead_code)]

use ctl::fleet::{Fleet, Ready};
use ctl::rig::probe::wait_until;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;
use stub::caller::is_ready;
use stub::config;
use stub::runner::{Log, Runner};
use stub::store::{Entry, Store};
use tokio::time::{Instant, sleep, timeout};

/// Longer than any step takes, even on a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);
/// Failure domain of all processes.
const DOMAIN: &str = "a";
/// Key of all clients.
pub(crate) const KEY: &str = "key";

/// Relays with a table service and runners.
pub(crate) struct Bench {
    pub(crate) fleet: Fleet,
    pub(crate) store: Store,
    pub(crate) log: Log,
    pub(crate) runners: Vec<Runner>,
}

impl Bench {
    pub(crate) async fn start(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
        let store = Store::start().await.unwrap();
        store.configure(&config::configuration(1, &[KEY.to_owned()]));
        Self {
            fleet: Fleet::with_programs(directory, programs.unwrap()).unwrap(),
            store,
            log: Log::default(),
            runners: Vec::new(),
        }
    }

    pub(crate) async fn runner(&mut self, service: &str) {
        let id = format!("{service}-0");
        let runner = Runner::start(&id, &self.log).await.unwrap();
        self.list(&id, service, runner.address());
        self.runners.push(runner);
    }

    pub(crate) fn list(&self, id: &str, service: &str, address: SocketAddr) {
        self.store.list(&Entry {
            id,
            service,
            address,
            domain: DOMAIN,
            started: stub::now() / 1_000,
            leaving: false,
        });
    }

    /// Starts a relay and waits until it is ready.
    pub(crate) async fn relay(&mut self, id: &str, weight: f64, grace_s: f64) -> SocketAddr {
        let ready = self.start_relay(id, weight, grace_s);
        let probe = ready.ready.unwrap();
        let is_ready = wait_until("the relay is ready", || is_ready(probe));
        is_ready.await.unwrap();
        ready.listen
    }

    pub(crate) fn start_relay(&mut self, id: &str, weight: f64, grace_s: f64) -> Ready {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let place = setting::Place {
            region: "r".to_owned(),
            domain: DOMAIN.to_owned(),
        };
        let settings = setting::Relay {
            id: id.to_owned(),
            place,
            places: Vec::new(),
            listen: any,
            ready: any,
            metrics: any,
            peers: any,
            key: "k".to_owned(),
            weight,
            memory_mb: 128,
            first_start: true,
            store: self.store.address(),
            repeats: setting::relay::RetryBound::default(),
            warmup: setting::relay::Warmup::default(),
            grace_s,
            drain_ms: 3_000.0,
            policy: setting::relay::Policies::default(),
        };
        self.fleet.relay(&settings).unwrap()
    }

    /// Waits until a process has exited.
    pub(crate) async fn exit(&mut self, id: &str) -> ExitStatus {
        let end = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.fleet.try_wait(id).unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "{id} does not exit");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { timeout(TIMEOUT * 2, test).await.unwrap() });
}
