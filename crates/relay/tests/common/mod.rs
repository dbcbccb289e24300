//! Fakes of the relay's interfaces, and relays that use them.
#![allow(dead_code)]

mod configurations;
pub(crate) mod credits;
pub(crate) mod faults;
pub(crate) mod feed;
pub(crate) mod link;
pub(crate) mod pair;
pub(crate) mod panics;
mod parts;
pub(crate) mod poison;
pub(crate) mod service;
pub(crate) mod slow_link;
pub(crate) mod stage;

use bytes::Bytes;
pub(crate) use configurations::{configuration, configuration_with_routes};
use decide::retry::window::RetryBound;
use faults::{FaultSite, RunnerFaults};
use panics::{Panics, Site};
use parts::{Parts, parts, paused};
use relay::downstream::{
    BatchReply, Call, CallObserver, Failure, Handle, Item, Load, NotRun, Notice, PieceOutcome,
    Reply, Source as Origin,
};
use relay::member::Member;
use relay::request::Message;
use relay::telemetry::Telemetry;
use relay::{Downstream, Options, Relay, Request, Runner};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A runner's entry in the platform's list.
pub(crate) fn entry(service: &str) -> Option<Value> {
    Some(json!({ "service": service }))
}

/// A runner whose port is the sum of the bytes of its name.
pub(crate) fn runner(id: &str, service: &str) -> Runner {
    let port = id.bytes().map(u16::from).sum::<u16>();
    Runner {
        id: id.into(),
        started: None,
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "a".into(),
        slots: 4,
        leaving: false,
        cold: Duration::ZERO,
    }
}

/// Time that a call to the stage service takes without pieces.
pub(crate) const CALL: Duration = Duration::from_millis(200);
/// Time that each piece adds to a call.
pub(crate) const PIECE: Duration = Duration::from_millis(20);
/// Memory limit of a relay in bytes.
pub(crate) const MEMORY: usize = 64 << 20;
/// Time until a runner begins to respond to a request.
pub(crate) const ANSWER: Duration = Duration::from_millis(5);
/// Time of a call in which the runner has no space for the result of any piece.
pub(crate) const REFUSAL: Duration = Duration::from_millis(5);

/// A request to a route of [`configuration`].
pub(crate) fn request(id: &str, route: &str) -> Request {
    Request {
        id: id.into(),
        host: "host".to_owned(),
        key: Some("key".to_owned()),
        arrived: Instant::now(),
        timeout: Some(Duration::from_secs(4)),
        pieces: vec![3, 2],
        piece_key: "piece".to_owned(),
        prompt: None,
        resume_after: None,
        message: Arc::new(Message {
            method: http::Method::POST,
            target: format!("/{route}/x").parse().expect("a valid path"),
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
        }),
    }
}

/// How the fake handles one call.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Responds with this status and body; `proven` is that of the [`Reply`].
    Answer {
        status: u16,
        proven: bool,
        body: &'static str,
    },
    /// Streams these parts, one every 10 ms, followed by `end`.
    Stream {
        parts: Vec<&'static str>,
        end: StreamEnd,
    },
    /// Streams these parts, pauses, and streams the rest.
    Paused {
        before: Vec<&'static str>,
        pause: Duration,
        after: Vec<&'static str>,
    },
    /// As [`Behavior::Paused`], but the stream breaks off at its end.
    PausedBroken {
        before: Vec<&'static str>,
        pause: Duration,
        after: Vec<&'static str>,
    },
    /// Refuses the call.
    Refuse(NotRun),
    /// Accepts the call and loses the response.
    Lose,
    /// Accepts the call and never responds; the runner answers no probe any more.
    Silent,
    /// The runner exits in the middle of a stream; nothing listens at its address any more.
    Crash,
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Whole,
    Broken,
    Silent,
    /// Reading on panics.
    Panic,
}

/// A call that was sent to a runner.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Instant,
    pub(crate) runner: String,
    pub(crate) id: String,
    pub(crate) resume_after: Option<u64>,
    pub(crate) inputs: usize,
    pub(crate) remaining: Duration,
    pub(crate) reuse: bool,
    pub(crate) workspace: Option<String>,
}

/// A call that contained pieces of a stage.
#[derive(Clone, Debug)]
pub(crate) struct StageCall {
    pub(crate) at: Instant,
    pub(crate) runner: String,
    pub(crate) items: Vec<Item>,
}

/// How the fake handles one call that contains pieces.
pub(crate) type StageBehavior = Result<Vec<PieceOutcome>, Failure>;

/// Fake of all runners. Calls are handled by the queued behaviors in order, whichever runner is called.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake {
    pub(crate) behaviors: Arc<Mutex<VecDeque<Behavior>>>,
    pub(crate) stage_behaviors: Arc<Mutex<VecDeque<StageBehavior>>>,
    pub(crate) sent: Arc<Mutex<Vec<Sent>>>,
    pub(crate) stage_calls: Arc<Mutex<Vec<StageCall>>>,
    pub(crate) released: Arc<Mutex<Vec<Handle>>>,
    /// Time that a runner takes to release results.
    pub(crate) release_time: Arc<Mutex<Duration>>,
    /// Time that it takes to connect to a runner.
    pub(crate) connect_time: Arc<Mutex<Duration>>,
    /// Time between requests that runners ask for in their responses.
    pub(crate) spacing: Arc<Mutex<Option<Duration>>>,
    /// Body of the requests that crash any runner that they are sent to.
    pub(crate) crash_body: Arc<Mutex<Option<Bytes>>>,
    /// Request whose pieces crash any runner that makes them.
    pub(crate) crash_piece: Arc<Mutex<Option<String>>>,
    /// Runners that are unresponsive.
    pub(crate) silent: Arc<Mutex<Vec<String>>>,
    /// Runners at whose addresses nothing listens.
    pub(crate) exited: Arc<Mutex<Vec<String>>>,
    /// Whether calls without a queued behavior are answered by streams.
    pub(crate) streams: Arc<Mutex<bool>>,
    /// Loads that runners report with the responses to calls that contain pieces or release results.
    pub(crate) loads: Arc<Mutex<HashMap<String, Load>>>,
    /// Factor on the time that runners take for calls that contain pieces.
    pub(crate) slowness: Arc<Mutex<HashMap<String, f64>>>,
    /// Injected faults.
    pub(crate) faults: RunnerFaults,
    /// Injected panics.
    pub(crate) panics: Panics,
}

impl Fake {
    pub(crate) fn with_behaviors(behaviors: impl IntoIterator<Item = Behavior>) -> Self {
        let fake = Self::default();
        fake.behaviors
            .lock()
            .expect("no holder panics")
            .extend(behaviors);
        fake
    }

    pub(crate) fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no holder panics").clone()
    }

    pub(crate) fn stage_calls(&self) -> Vec<StageCall> {
        self.stage_calls.lock().expect("no holder panics").clone()
    }

    /// A stream with the first event after `resume_after`, if calls are answered by streams.
    fn stream(&self, resume_after: Option<u64>) -> Option<Behavior> {
        let event = match resume_after {
            None => "id: 1\ndata: x\n\n",
            Some(_) => "id: 2\ndata: y\n\n",
        };
        let streams = *self.streams.lock().expect("no holder panics");
        streams.then(|| Behavior::Stream {
            parts: vec![event],
            end: StreamEnd::Whole,
        })
    }

    /// Reports the load of a runner, if it has one.
    fn report_load(&self, id: &str, observer: &impl CallObserver) {
        if let Some(load) = self.loads.lock().expect("no holder panics").get(id) {
            let load = Some(*load);
            observer.observe(Notice {
                load,
                ..Notice::default()
            });
        }
    }

    fn is_exited(&self, id: &str) -> bool {
        let exited = self.exited.lock().expect("no holder panics");
        exited.iter().any(|exited| exited == id) || self.faults.has_exited(id)
    }

    async fn connect(&self, observer: &impl CallObserver) -> Result<(), Failure> {
        let time = *self.connect_time.lock().expect("no holder panics");
        if !time.is_zero() {
            sleep(time).await;
        }
        let reason = NotRun::Withdrawn;
        observer
            .is_open()
            .then_some(())
            .ok_or(Failure::NotRun { reason })
    }
}

impl Downstream for Fake {
    type Body = Parts;

    async fn call(
        &self,
        runner: &Runner,
        call: Call,
        observer: &impl CallObserver,
    ) -> Result<Reply<Parts>, Failure> {
        self.connect(observer).await?;
        self.sent.lock().expect("no holder panics").push(Sent {
            at: Instant::now(),
            runner: runner.id.to_string(),
            id: call.id.to_string(),
            resume_after: call.resume_after,
            inputs: call.inputs.len(),
            remaining: call.remaining,
            reuse: call.reuse,
            workspace: call.workspace.as_deref().map(str::to_owned),
        });
        if self.is_exited(&runner.id) {
            let reason = "refused".to_owned();
            let reason = NotRun::Unreachable { reason };
            return Err(Failure::NotRun { reason });
        }
        let crash_body = self.crash_body.lock().expect("no holder panics").clone();
        let behavior = match crash_body.is_some_and(|crash_body| crash_body == call.message.body) {
            true => Some(Behavior::Crash),
            false => self.behaviors.lock().expect("no holder panics").pop_front(),
        };
        let behavior = behavior.or_else(|| self.stream(call.resume_after));
        let fault = |site| self.faults.triggered([(&*call.id, site, 0)]);
        let cause = fault(FaultSite::Model);
        let is_answered = cause.is_none();
        tokio::select! {
            biased;
            effect = self.faults.wait_for_failure(&runner.id, cause) => {
                let failure = self.faults.outcome(&runner.id, effect, Duration::MAX);
                return Err(failure.await);
            }
            () = sleep(ANSWER), if is_answered => {}
        }
        let reply = |status, proven, body| Reply {
            status,
            proven,
            headers: http::HeaderMap::new(),
            spacing: *self.spacing.lock().expect("no holder panics"),
            body,
        };
        match behavior.unwrap_or(Behavior::Answer {
            status: 200,
            proven: true,
            body: "done",
        }) {
            Behavior::Answer {
                status,
                proven,
                body,
            } => Ok(reply(status, proven, parts(vec![body], StreamEnd::Whole))),
            Behavior::Stream { parts: events, end } => {
                let parts =
                    self.faults
                        .guard(&runner.id, parts(events, end), fault(FaultSite::Answer));
                Ok(reply(200, true, parts))
            }
            Behavior::Paused {
                before,
                pause,
                after,
            } => Ok(reply(
                200,
                true,
                paused(before, pause, after, StreamEnd::Whole),
            )),
            Behavior::PausedBroken {
                before,
                pause,
                after,
            } => Ok(reply(
                200,
                true,
                paused(before, pause, after, StreamEnd::Broken),
            )),
            Behavior::Refuse(reason) => Err(Failure::NotRun { reason }),
            Behavior::Lose => Err(Failure::Lost {
                reason: "reset".to_owned(),
            }),
            Behavior::Silent => {
                let id = runner.id.to_string();
                self.silent.lock().expect("no holder panics").push(id);
                std::future::pending().await
            }
            Behavior::Crash => {
                let mut exited = self.exited.lock().expect("no holder panics");
                exited.push(runner.id.to_string());
                Ok(reply(
                    200,
                    true,
                    parts(vec!["id: 1\ndata: x\n\n"], StreamEnd::Broken),
                ))
            }
        }
    }

    async fn run_batch(
        &self,
        runner: &Runner,
        items: Vec<Item>,
        patience: Duration,
        observer: &impl CallObserver,
    ) -> Result<BatchReply, Failure> {
        self.connect(observer).await?;
        self.panics.reach(Site::Batch);
        let count = u32::try_from(items.len()).expect("few items");
        let call = StageCall {
            at: Instant::now(),
            runner: runner.id.to_string(),
            items: items.clone(),
        };
        self.stage_calls
            .lock()
            .expect("no holder panics")
            .push(call);
        self.faults.connect(&runner.id)?;
        let crash_piece = self.crash_piece.lock().expect("no holder panics").clone();
        if crash_piece.is_some_and(|id| items.iter().any(|item| *item.id == *id)) {
            let mut exited = self.exited.lock().expect("no holder panics");
            exited.push(runner.id.to_string());
            let reason = "reset".to_owned();
            return Err(Failure::Lost { reason });
        }
        let behavior = self
            .stage_behaviors
            .lock()
            .expect("no holder panics")
            .pop_front();
        let is_refused = |outcomes: &Vec<PieceOutcome>| {
            outcomes
                .iter()
                .all(|outcome| *outcome == PieceOutcome::NoRoom)
        };
        let time = match &behavior {
            // Pieces for whose results there is no space are not worked on.
            Some(Ok(outcomes)) if is_refused(outcomes) => REFUSAL,
            _ => {
                let slowness = self.slowness.lock().expect("no holder panics");
                let slowness = slowness.get(&*runner.id).copied().unwrap_or(1.0);
                (CALL + PIECE * count).mul_f64(slowness)
            }
        };
        let work = items
            .iter()
            .map(|item| (&*item.id, FaultSite::Stage(item.stage), item.piece));
        let cause = self.faults.triggered(work);
        tokio::select! {
            biased;
            effect = self.faults.wait_for_failure(&runner.id, cause) => {
                let failure = self.faults.outcome(&runner.id, effect, patience);
                return Err(failure.await);
            }
            () = sleep(time.min(patience)) => {}
        }
        self.report_load(&runner.id, observer);
        let made = |item: &Item| {
            let name = format!(
                "{}/{}-{}-{}",
                runner.address, item.id, item.stage, item.piece
            );
            PieceOutcome::Done(name.into())
        };
        let outcomes = behavior.unwrap_or_else(|| Ok(items.iter().map(made).collect()))?;
        let spacing = *self.spacing.lock().expect("no holder panics");
        Ok(BatchReply { outcomes, spacing })
    }

    async fn release(
        &self,
        runner: &Runner,
        handles: Vec<Handle>,
        observer: &impl CallObserver,
    ) -> Result<(), Failure> {
        self.panics.reach(Site::Release);
        self.report_load(&runner.id, observer);
        let time = *self.release_time.lock().expect("no holder panics");
        sleep(time).await;
        self.released
            .lock()
            .expect("no holder panics")
            .extend(handles);
        Ok(())
    }

    async fn has_exited(&self, runner: &Runner) -> bool {
        self.panics.reach(Site::HasExited);
        self.is_exited(&runner.id)
    }

    async fn responds(&self, runner: &Runner) -> bool {
        let silent = self.silent.lock().expect("no holder panics");
        self.faults.is_healthy(&runner.id) && silent.iter().all(|id| **id != *runner.id)
    }

    fn holder(&self, handle: &Handle) -> Option<SocketAddr> {
        self.panics.reach(Site::Holder);
        handle.split_once('/')?.0.parse().ok()
    }
}

thread_local! {
    /// Reading of the clock that counts suspensions. Each test runs on its own thread.
    pub(crate) static TIME_SINCE_BOOT: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn time_since_boot() -> Duration {
    TIME_SINCE_BOOT.get()
}

/// A relay without a configuration or a list of runners.
pub(crate) fn unconfigured(fake: Fake) -> Arc<Relay<Fake>> {
    unconfigured_member(fake, member())
}

fn member() -> Member {
    member_at("relay-1", SocketAddr::from(([127, 0, 0, 1], 1)))
}

/// The membership entry of a relay in its first incarnation.
pub(crate) fn member_at(id: &str, address: SocketAddr) -> Member {
    Member {
        id: id.into(),
        incarnation: 1,
        address,
        weight: 1.0,
        domain: "a".into(),
        since: None,
    }
}

/// A relay without a configuration or a list of runners, as the given member.
pub(crate) fn unconfigured_member(fake: Fake, member: Member) -> Arc<Relay<Fake>> {
    relay_with(fake, options(member))
}

/// A relay without a configuration or a list of runners that starts while others are running.
pub(crate) fn restarted(fake: Fake) -> Arc<Relay<Fake>> {
    let options = Options {
        first_start: false,
        ..options(member())
    };
    relay_with(fake, options)
}

fn options(member: Member) -> Options {
    Options {
        domain: "a".into(),
        retry_bound: RetryBound {
            ratio: 0.2,
            slack: 40.0,
            window: Duration::from_secs(10),
        },
        processes: Some(4),
        member,
        key: wire::Key::new("key"),
        policy: setting::relay::Policies::default(),
        warmup: setting::relay::Warmup::default(),
        regions: decide::Map::default(),
        clock: time_since_boot,
        memory: MEMORY,
        first_start: true,
        drain: Duration::from_secs(3),
    }
}

fn relay_with(fake: Fake, options: Options) -> Arc<Relay<Fake>> {
    logging_relay(fake, options, metric::log::discard())
}

fn logging_relay(fake: Fake, options: Options, log: slog::Logger) -> Arc<Relay<Fake>> {
    let mut registry = metric::Registry::default();
    Relay::new(options, fake, log, Telemetry::new(&mut registry))
}

/// A relay without a configuration or a list of runners that logs there.
pub(crate) fn with_log(fake: Fake, log: slog::Logger) -> Arc<Relay<Fake>> {
    logging_relay(fake, options(member()), log)
}

/// A relay with [`configuration`] in force and two runners of each service.
pub(crate) fn ready(fake: Fake) -> Arc<Relay<Fake>> {
    configured(unconfigured(fake))
}

/// A relay without a configuration that knows the region of each of these failure domains.
pub(crate) fn with_regions(fake: Fake, domains: &[(&str, &str)]) -> Arc<Relay<Fake>> {
    let region = |(domain, region): &(&str, &str)| ((*domain).into(), (*region).into());
    let options = Options {
        regions: domains.iter().map(region).collect(),
        ..options(member())
    };
    relay_with(fake, options)
}

/// A relay like that of [`ready`], with other than the shipped policies.
pub(crate) fn with_policies(fake: Fake, policy: setting::relay::Policies) -> Arc<Relay<Fake>> {
    let options = Options {
        policy,
        ..options(member())
    };
    configured(relay_with(fake, options))
}

/// Adds [`configuration`] and two runners of each service to a relay.
pub(crate) fn configured(relay: Arc<Relay<Fake>>) -> Arc<Relay<Fake>> {
    relay.adopt(configuration(1));
    let runners = [
        ("p-1", "plain"),
        ("p-2", "plain"),
        ("s-1", "stage"),
        ("s-2", "stage"),
    ];
    let listed = runners.map(|(id, service)| relay::runner::Change::Listed(runner(id, service)));
    relay.update(listed.into());
    relay
}

/// Status and body of an answer, and whether the body was complete.
pub(crate) async fn body(answer: relay::Answer) -> (u16, String, bool) {
    let mut text = Vec::new();
    let mut whole = true;
    match answer.body {
        relay::Body::Full(bytes) => text.extend_from_slice(&bytes),
        relay::Body::Stream(mut parts) => {
            while let Some(part) = parts.recv().await {
                match part {
                    Ok(bytes) => text.extend_from_slice(&bytes),
                    Err(_) => whole = false,
                }
            }
        }
    }
    (answer.status, String::from_utf8(text).expect("text"), whole)
}

/// Number of inputs of an item; 0 if its source is a key.
pub(crate) fn inputs(item: &Item) -> usize {
    match &item.source {
        Origin::Key(_) => 0,
        Origin::Inputs(handles) => handles.len(),
    }
}
