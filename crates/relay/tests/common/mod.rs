//! Fakes at the relay's interfaces.
#![allow(dead_code)]

pub(crate) mod feed;
pub(crate) mod link;
pub(crate) mod pair;
mod parts;
mod plans;
pub(crate) mod poison;
pub(crate) mod service;
pub(crate) mod slow_link;
pub(crate) mod stage;
pub(crate) mod ward;

use bytes::Bytes;
use decide::retry::window::Bound;
use parts::{Parts, parts};
pub(crate) use plans::{plan, plan_with};
use relay::downstream::{
    Batch, Call, Failure, Handle, Item, Made, NotRun, Reply, Source as Origin,
};
use relay::member::Member;
use relay::request::Message;
use relay::telemetry::Telemetry;
use relay::{Downstream, Options, Relay, Request, Runner};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use ward::{Spot, Ward};

/// An entry of a runner.
pub(crate) fn entry(service: &str) -> Option<Value> {
    Some(json!({ "service": service }))
}

/// A runner; its port is the sum of the bytes of its name.
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

/// Time that a call of the stage service takes, and what a piece adds.
pub(crate) const CALL: Duration = Duration::from_millis(200);
pub(crate) const PIECE: Duration = Duration::from_millis(20);
/// Bytes that a relay may take up.
pub(crate) const MEMORY: usize = 64 << 20;
/// Time until a runner begins to answer a request.
pub(crate) const ANSWER: Duration = Duration::from_millis(5);
/// Time of a call none of whose pieces has room.
pub(crate) const REFUSAL: Duration = Duration::from_millis(5);

/// A request to a route of [`plan`].
pub(crate) fn request(id: &str, route: &str) -> Request {
    Request {
        id: id.into(),
        host: "host".to_owned(),
        key: Some("key".to_owned()),
        arrived: Instant::now(),
        patience: Some(Duration::from_secs(4)),
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

/// What the fake does with one call.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Answers with this status, with or without proof, and this body.
    Answer {
        status: u16,
        proven: bool,
        body: &'static str,
    },
    /// Streams these parts, one every 10 ms, and then ends as told.
    Stream { parts: Vec<&'static str>, end: End },
    /// Refuses.
    Refuse(NotRun),
    /// Takes the call and loses the answer.
    Lose,
    /// Takes the call and says nothing.
    Silent,
    /// Ends within a stream; nothing listens there any more.
    Crash,
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Whole,
    Broken,
    Silent,
}

/// A call that a runner was sent.
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

/// A call that carried pieces.
#[derive(Clone, Debug)]
pub(crate) struct Carried {
    pub(crate) at: Instant,
    pub(crate) runner: String,
    pub(crate) items: Vec<Item>,
}

/// What the fake does with one call that carries pieces.
pub(crate) type StageAct = Result<Vec<Made>, Failure>;

/// Runners that do what they were told, call by call, whichever of them is called.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake {
    pub(crate) acts: Arc<Mutex<VecDeque<Act>>>,
    pub(crate) stage_acts: Arc<Mutex<VecDeque<StageAct>>>,
    pub(crate) sent: Arc<Mutex<Vec<Sent>>>,
    pub(crate) carried: Arc<Mutex<Vec<Carried>>>,
    pub(crate) released: Arc<Mutex<Vec<Handle>>>,
    /// Time that a runner takes to note results that are given back.
    pub(crate) release_time: Arc<Mutex<Duration>>,
    /// Time until a connection to a runner is there.
    pub(crate) connect_time: Arc<Mutex<Duration>>,
    /// Time between requests that runners ask for in their answers.
    pub(crate) spacing: Arc<Mutex<Option<Duration>>>,
    /// Body of the requests that end whatever runner they are sent to.
    pub(crate) deadly: Arc<Mutex<Option<Bytes>>>,
    /// Request whose pieces end whatever runner makes them.
    pub(crate) deadly_piece: Arc<Mutex<Option<String>>>,
    /// Runners that answer nobody.
    pub(crate) silent: Arc<Mutex<Vec<String>>>,
    /// Runners at whose addresses nothing listens.
    pub(crate) ended: Arc<Mutex<Vec<String>>>,
    /// Whether calls that runners were told nothing about are answered by streams.
    pub(crate) streams: Arc<Mutex<bool>>,
    /// Runners that fail, and requests that harm them.
    pub(crate) ward: Ward,
}

impl Fake {
    pub(crate) fn doing(acts: impl IntoIterator<Item = Act>) -> Self {
        let fake = Self::default();
        fake.acts.lock().expect("no holder panics").extend(acts);
        fake
    }

    pub(crate) fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no holder panics").clone()
    }

    pub(crate) fn carried(&self) -> Vec<Carried> {
        self.carried.lock().expect("no holder panics").clone()
    }

    /// An event after those that the caller has, if calls are answered by streams.
    fn stream(&self, resume_after: Option<u64>) -> Option<Act> {
        let event = match resume_after {
            None => "id: 1\ndata: x\n\n",
            Some(_) => "id: 2\ndata: y\n\n",
        };
        let streams = *self.streams.lock().expect("no holder panics");
        streams.then(|| Act::Stream {
            parts: vec![event],
            end: End::Whole,
        })
    }

    async fn connect(&self, is_open: impl Fn() -> bool) -> Result<(), Failure> {
        let time = *self.connect_time.lock().expect("no holder panics");
        if !time.is_zero() {
            sleep(time).await;
        }
        let reason = NotRun::Withdrawn;
        is_open().then_some(()).ok_or(Failure::NotRun { reason })
    }
}

impl Downstream for Fake {
    type Body = Parts;

    async fn call(
        &self,
        runner: &Runner,
        call: Call,
        is_open: impl Fn() -> bool + Send,
    ) -> Result<Reply<Parts>, Failure> {
        self.connect(is_open).await?;
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
        if self.has_ended(runner).await {
            let reason = "refused".to_owned();
            let reason = NotRun::Unreachable { reason };
            return Err(Failure::NotRun { reason });
        }
        let deadly = self.deadly.lock().expect("no holder panics").clone();
        let act = match deadly.is_some_and(|deadly| deadly == call.message.body) {
            true => Some(Act::Crash),
            false => self.acts.lock().expect("no holder panics").pop_front(),
        };
        let act = act.or_else(|| self.stream(call.resume_after));
        let harm = |spot| self.ward.harm([(&*call.id, spot, 0)]);
        let cause = harm(Spot::Model);
        let is_answered = cause.is_none();
        tokio::select! {
            biased;
            effect = self.ward.fall(&runner.id, cause) => {
                let failure = self.ward.outcome(&runner.id, effect, Duration::MAX);
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
        match act.unwrap_or(Act::Answer {
            status: 200,
            proven: true,
            body: "done",
        }) {
            Act::Answer {
                status,
                proven,
                body,
            } => Ok(reply(status, proven, parts(vec![body], End::Whole))),
            Act::Stream { parts: events, end } => {
                let parts = self
                    .ward
                    .guard(&runner.id, parts(events, end), harm(Spot::Answer));
                Ok(reply(200, true, parts))
            }
            Act::Refuse(reason) => Err(Failure::NotRun { reason }),
            Act::Lose => Err(Failure::Lost {
                reason: "reset".to_owned(),
            }),
            Act::Silent => {
                let id = runner.id.to_string();
                self.silent.lock().expect("no holder panics").push(id);
                std::future::pending().await
            }
            Act::Crash => {
                let mut ended = self.ended.lock().expect("no holder panics");
                ended.push(runner.id.to_string());
                Ok(reply(
                    200,
                    true,
                    parts(vec!["id: 1\ndata: x\n\n"], End::Broken),
                ))
            }
        }
    }

    async fn make(
        &self,
        runner: &Runner,
        items: Vec<Item>,
        patience: Duration,
        is_open: impl Fn() -> bool + Send,
    ) -> Result<Batch, Failure> {
        self.connect(is_open).await?;
        let count = u32::try_from(items.len()).expect("few items");
        let carried = Carried {
            at: Instant::now(),
            runner: runner.id.to_string(),
            items: items.clone(),
        };
        self.carried.lock().expect("no holder panics").push(carried);
        self.ward.connect(&runner.id)?;
        let deadly = self.deadly_piece.lock().expect("no holder panics").clone();
        if deadly.is_some_and(|deadly| items.iter().any(|item| *item.id == *deadly)) {
            let mut ended = self.ended.lock().expect("no holder panics");
            ended.push(runner.id.to_string());
            let reason = "reset".to_owned();
            return Err(Failure::Lost { reason });
        }
        let act = self
            .stage_acts
            .lock()
            .expect("no holder panics")
            .pop_front();
        let refused = |made: &Vec<Made>| made.iter().all(|made| *made == Made::NoRoom);
        let time = match &act {
            // Pieces without room are not worked on.
            Some(Ok(made)) if refused(made) => REFUSAL,
            _ => CALL + PIECE * count,
        };
        let work = items
            .iter()
            .map(|item| (&*item.id, Spot::Stage(item.stage), item.piece));
        let cause = self.ward.harm(work);
        tokio::select! {
            biased;
            effect = self.ward.fall(&runner.id, cause) => {
                let failure = self.ward.outcome(&runner.id, effect, patience);
                return Err(failure.await);
            }
            () = sleep(time.min(patience)) => {}
        }
        let made = |item: &Item| {
            let name = format!(
                "{}/{}-{}-{}",
                runner.address, item.id, item.stage, item.piece
            );
            Made::Done(name.into())
        };
        let made = act.unwrap_or_else(|| Ok(items.iter().map(made).collect()))?;
        let spacing = *self.spacing.lock().expect("no holder panics");
        Ok(Batch { made, spacing })
    }

    async fn release(&self, _runner: &Runner, handles: Vec<Handle>) -> Result<(), Failure> {
        let time = *self.release_time.lock().expect("no holder panics");
        sleep(time).await;
        self.released
            .lock()
            .expect("no holder panics")
            .extend(handles);
        Ok(())
    }

    async fn has_ended(&self, runner: &Runner) -> bool {
        let ended = self.ended.lock().expect("no holder panics");
        ended.iter().any(|id| **id == *runner.id) || self.ward.has_ended(&runner.id)
    }

    async fn answers(&self, runner: &Runner) -> bool {
        let silent = self.silent.lock().expect("no holder panics");
        self.ward.is_well(&runner.id) && silent.iter().all(|id| **id != *runner.id)
    }

    fn holder(&self, handle: &Handle) -> Option<SocketAddr> {
        handle.split_once('/')?.0.parse().ok()
    }
}

thread_local! {
    /// What the clock shows that counts suspensions; each test has a thread of its own.
    pub(crate) static SINCE_START: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn since_start() -> Duration {
    SINCE_START.get()
}

/// A relay that knows nothing yet.
pub(crate) fn blank(fake: Fake) -> Arc<Relay<Fake>> {
    blank_as(fake, member())
}

fn member() -> Member {
    member_at("relay-1", SocketAddr::from(([127, 0, 0, 1], 1)))
}

/// A process in its first start.
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

/// The same as one of several processes.
pub(crate) fn blank_as(fake: Fake, member: Member) -> Arc<Relay<Fake>> {
    start(fake, options(member))
}

fn options(member: Member) -> Options {
    Options {
        domain: "a".into(),
        repeats: Bound {
            ratio: 0.2,
            slack: 40.0,
            window: Duration::from_secs(10),
        },
        processes: 4,
        member,
        key: wire::Key::new("key"),
        policy: setting::relay::Policies::default(),
        warmup: setting::relay::Warmup::default(),
        regions: decide::Map::default(),
        clock: since_start,
        memory: MEMORY,
        first_start: true,
        drain: Duration::from_secs(3),
    }
}

fn start(fake: Fake, options: Options) -> Arc<Relay<Fake>> {
    let mut registry = metric::Registry::default();
    Relay::new(
        options,
        fake,
        metric::log::silent(),
        Telemetry::new(&mut registry),
    )
}

/// A relay with [`plan`] in force and two runners of each service.
pub(crate) fn ready(fake: Fake) -> Arc<Relay<Fake>> {
    informed(blank(fake))
}

/// A relay that knows nothing yet but which regions failure domains are in.
pub(crate) fn regional(fake: Fake, domains: &[(&str, &str)]) -> Arc<Relay<Fake>> {
    let region = |(domain, region): &(&str, &str)| ((*domain).into(), (*region).into());
    let options = Options {
        regions: domains.iter().map(region).collect(),
        ..options(member())
    };
    start(fake, options)
}

/// The same with other decisions than those that ship.
pub(crate) fn choosing(fake: Fake, policy: setting::relay::Policies) -> Arc<Relay<Fake>> {
    let options = Options {
        policy,
        ..options(member())
    };
    informed(start(fake, options))
}

/// The same with [`plan`] in force and two runners of each service.
pub(crate) fn informed(relay: Arc<Relay<Fake>>) -> Arc<Relay<Fake>> {
    relay.adopt(plan(1));
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

/// The body of an answer, and whether it ended as a whole one.
pub(crate) async fn body(answer: relay::Answer) -> (u16, String, bool) {
    let mut text = Vec::new();
    let mut whole = true;
    match answer.body {
        relay::Body::Whole(bytes) => text.extend_from_slice(&bytes),
        relay::Body::Parts(mut parts) => {
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

/// Source of an item's piece, for matching.
pub(crate) fn inputs(item: &Item) -> usize {
    match &item.source {
        Origin::Key(_) => 0,
        Origin::Inputs(handles) => handles.len(),
    }
}
