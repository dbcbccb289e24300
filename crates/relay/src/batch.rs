//! The calls that carry pieces to the runners of stage services.
//!
//! A runner has one call in progress at a time for each of its slots. Pieces wait here, not in the
//! runner's queue, until a runner is free: what waits here can still share a call, change its place
//! or be withdrawn.

use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Failure, Handle, Item, Made, NotRun, Source};
use crate::follow::millis;
use crate::plan::{Batches, Rank, ServiceId};
use crate::request::RequestId;
use crate::runner::{DomainId, Runner, RunnerId};
use decide::Map;
use decide::batch::{Former, Group, Need, Portion, Slack, Ticket};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use snafu::Snafu;
use std::marker::PhantomData;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A call that takes so many times its expected time is given up: its runner is dark or much
/// slower than the others, and its pieces are better made elsewhere.
const PATIENCE: f64 = 2.5;
/// Time for the way there and back, and for delays of this process, besides.
const WAY: Duration = Duration::from_millis(300);
/// Pause before a runner gets work again that was full.
const REST_FULL: Duration = Duration::from_millis(50);
/// Pause before a runner gets work again that had no room for results. Those that it holds were
/// asked for by another process, or are larger than the configuration says.
const REST_ROOM: Duration = Duration::from_millis(150);
/// Pause before a runner gets work again that failed; doubles with each failure.
const REST_FAILED: Duration = Duration::from_millis(500);
/// Failures after which the pause doubles no further.
const MOST_DOUBLINGS: u32 = 4;
/// Weight of one call in a runner's smoothed slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Time after which half of a runner's slowness is forgotten. One that is left idle for being slow
/// could never show that it has recovered otherwise.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor of a runner's slowness when a call to it is given up: it took at least that much longer.
const LOST_SLOWNESS: f64 = 2.0;
/// Slowness above which a runner is left idle as long as pieces would be made sooner by waiting
/// for another one.
const SLOW: f64 = 2.0;

/// Runners of a stage service whose calls one process forms, and their number among the cells of
/// the service. A process that formed the calls of all runners of a large service would spend more
/// time on it than a small VM has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The service.
    pub service: ServiceId,
    /// Number among the service's cells.
    pub index: usize,
}

/// Runners in a cell at most. At 8 pieces and 0.37 s a call, eight runners make 175 pieces a second
/// in 22 calls, some hundredths of a core; more runners in one cell share calls hardly better.
const CELL: usize = 8;

impl Cell {
    /// Cells of a service with this many runners.
    #[must_use]
    pub fn count(runners: usize) -> usize {
        runners.div_ceil(CELL).max(1)
    }

    /// The part of a service's runners that is in the cell. All processes that know the same
    /// runners form the same cells.
    fn runners(&self, runners: &[Arc<Runner>]) -> Vec<Arc<Runner>> {
        let mut sorted = runners.to_vec();
        sorted.sort_by(|one, other| one.id.cmp(&other.id));
        let (cells, all) = (Self::count(sorted.len()), sorted.len());
        let part = |index: usize| all * index / cells;
        let range = part(self.index).min(all)..part(self.index + 1).min(all);
        sorted.drain(range).collect()
    }

    /// The name by which its owner is chosen.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}/{}", self.service, self.index)
    }
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct Order {
    /// The request.
    pub id: RequestId,
    /// Position of the stage in the route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: u32,
    /// What they are made from.
    pub source: Source,
    /// Size of one result in bytes.
    pub result: u64,
    /// Moment by which they must be made for the request to be on time.
    pub due: Instant,
    /// Moment after which they are of no use.
    pub last: Instant,
    /// Urgency.
    pub rank: Rank,
    /// Failure domain where they are best made, as far as can be told.
    pub domain: Option<DomainId>,
    /// Bytes that cross failure domains if they are made elsewhere.
    pub crossing: u64,
}

/// Bytes a second up to which it is worth waiting for a runner of the right failure domain. Links
/// between failure domains are far dearer than those within; at this rate the results of a few
/// megabytes wait for about a call.
const CROSSING: f64 = 15e6;

/// Why the pieces of a stage were not made.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum Spoiled {
    /// They could not be made in time.
    #[snafu(display("no time left"))]
    Late,
    /// An input is gone, and must be made again first.
    #[snafu(display("input gone"))]
    InputGone,
    /// Runners failed, and the budget of repeats is spent.
    #[snafu(display("runners failed"))]
    Failed,
    /// No runner of the service takes work.
    #[snafu(display("no runner"))]
    NoRunner,
}

/// What an order ends with: the results in the order of the pieces.
pub type Outcome = Result<Vec<Handle>, Spoiled>;

/// The calls to the runners of one cell.
#[derive(Debug)]
pub struct Batcher<D> {
    cell: Cell,
    state: Mutex<State>,
    downstream: PhantomData<fn() -> D>,
}

#[derive(Debug, Default)]
struct State {
    former: Option<Slack>,
    waiting: Map<Ticket, Waiting>,
    places: Vec<Place>,
    next: Ticket,
    /// When calls are looked for next without a cause.
    wakes: Option<Instant>,
    /// How much larger than the configuration says results are taken to be.
    inflation: Inflation,
}

/// Results differ in size, and the configuration tells an approximate one. Pieces without room are
/// made once more, which costs a call: too large an estimate only leaves some room unused.
#[derive(Clone, Copy, Debug)]
struct Inflation(f64);

impl Default for Inflation {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Inflation {
    /// Factor by which the estimate grows when results had no room.
    const GROW: f64 = 1.1;
    /// Factor by which it shrinks with each call whose results had.
    const SHRINK: f64 = 0.995;
    /// Greatest estimate.
    const MOST: f64 = 2.0;

    fn learn(&mut self, had_room: bool) {
        let factor = if had_room { Self::SHRINK } else { Self::GROW };
        self.0 = (self.0 * factor).clamp(1.0, Self::MOST);
    }

    fn apply(self, bytes: u64) -> u64 {
        (bytes as f64 * self.0) as u64
    }
}

/// An order whose pieces are not all made.
#[derive(Debug)]
struct Waiting {
    order: Order,
    todo: Vec<u32>,
    made: Vec<Option<Handle>>,
    since: Instant,
    reply: oneshot::Sender<Outcome>,
}

/// A runner of the service.
#[derive(Debug)]
struct Place {
    runner: Arc<Runner>,
    calls: u32,
    results: Map<Handle, Kept>,
    released: Vec<Handle>,
    slowness: f64,
    judged: Instant,
    failures: u32,
    rests_until: Option<Instant>,
    /// Whether it has just turned results away, so that it holds more than is known here.
    full: bool,
}

/// A result that takes up room at its runner.
#[derive(Clone, Copy, Debug)]
struct Kept {
    bytes: u64,
    until: Instant,
}

/// A call on its way.
#[derive(Debug)]
struct Launch {
    runner: Arc<Runner>,
    portions: Vec<(Ticket, Vec<u32>)>,
    items: Vec<Item>,
    released: Vec<Handle>,
    slowness: f64,
    expected: Duration,
    batches: Batches,
}

impl Launch {
    fn patience(&self) -> Duration {
        self.expected.mul_f64(PATIENCE) + WAY
    }
}

impl<D: Downstream> Batcher<D> {
    /// No calls yet.
    #[must_use]
    pub fn new(cell: Cell) -> Self {
        Self {
            cell,
            state: Mutex::default(),
            downstream: PhantomData,
        }
    }

    /// Has the pieces of an order made.
    pub fn submit(
        self: &Arc<Self>,
        relay: &Arc<Relay<D>>,
        order: Order,
    ) -> oneshot::Receiver<Outcome> {
        let (reply, outcome) = oneshot::channel();
        let Some(batches) = relay
            .plan()
            .and_then(|plan| plan.batches(&self.cell.service))
        else {
            let _ = reply.send(Err(Spoiled::NoRunner));
            return outcome;
        };
        lock(&self.state).enqueue(relay, batches, order, reply);
        self.pump(relay);
        outcome
    }

    /// Takes in which runners take work.
    pub fn refresh(&self, relay: &Relay<D>) {
        let runners = relay.fleet(|fleet| self.cell.runners(fleet.of(&self.cell.service)));
        lock(&self.state).refresh(runners.unwrap_or_default());
    }

    /// Results that are needed no more.
    ///
    /// Some may have been made for another process that formed the cell's calls before. They take
    /// up room here all the same, of a size that is not known.
    pub fn release(&self, relay: &Relay<D>, handles: &[Handle]) {
        let mut state = lock(&self.state);
        let keep = relay
            .plan()
            .and_then(|plan| plan.batches(&self.cell.service));
        let until = Instant::now() + keep.map_or(Duration::ZERO, |batches| batches.keep);
        for handle in handles {
            let Some(address) = relay.downstream.holder(handle) else {
                continue;
            };
            let place = state
                .places
                .iter_mut()
                .find(|place| place.runner.address == address);
            if let Some(place) = place {
                let unknown = Kept { bytes: 0, until };
                place.results.entry(handle.clone()).or_insert(unknown);
                place.released.push(handle.clone());
            }
        }
    }

    /// Expected time until pieces that come now are made.
    pub fn expected(&self, batches: &Batches) -> Option<Duration> {
        let state = lock(&self.state);
        let places = u32::try_from(state.places.len()).unwrap_or(u32::MAX);
        if places == 0 {
            return None;
        }
        let shape = batches.shape;
        let waiting = state.former.as_ref().map_or(0, Former::waiting);
        let calls = f64::from(waiting) / f64::from(shape.size.max(1));
        let full = shape.call + shape.piece * shape.size;
        let busy = state.places.iter().all(|place| place.calls > 0);
        let rest = if busy {
            full / 2 / places.max(1)
        } else {
            Duration::ZERO
        };
        Some(
            full.mul_f64(calls / f64::from(places))
                + rest
                + shape.call
                + shape.piece * (shape.size / 2),
        )
    }

    /// Starts calls as long as pieces wait and a runner is free.
    fn pump(self: &Arc<Self>, relay: &Arc<Relay<D>>) {
        let Some(batches) = relay
            .plan()
            .and_then(|plan| plan.batches(&self.cell.service))
        else {
            return;
        };
        loop {
            let launch = lock(&self.state).launch(relay.started(), batches);
            let Some(launch) = launch else { break };
            relay.telemetry.batch(launch.items.len());
            tokio::spawn(self.clone().carry(relay.clone(), launch));
        }
        self.pump_later(relay);
    }

    /// Carries out one call and hands out what became of its pieces.
    async fn carry(self: Arc<Self>, relay: Arc<Relay<D>>, mut launch: Launch) {
        let begun = Instant::now();
        let runner = launch.runner.clone();
        let released = std::mem::take(&mut launch.released);
        if !released.is_empty() {
            let count = released.len();
            if let Err(error) = relay.downstream.release(&runner, released).await {
                warn!(relay.log, "results not released, they lapse by themselves";
                    "runner" => &*runner.id, "results" => count, "error" => %error);
            }
        }
        let items = std::mem::take(&mut launch.items);
        let count = items.len();
        let result = relay
            .downstream
            .make(&runner, items, launch.patience())
            .await;
        let elapsed = begun.elapsed();
        info!(relay.log, "stage call";
            "service" => &*self.cell.service, "runner" => &*runner.id, "pieces" => count,
            "requests" => self.requests(&launch),
            "expected_ms" => millis(launch.expected), "took_ms" => millis(elapsed),
            "outcome" => result.as_ref().map_or_else(ToString::to_string, |made| outcome(made)));
        lock(&self.state).finish(&relay, &self.cell.service, &launch, result, elapsed);
        self.pump(&relay);
    }

    /// Nothing else wakes a runner whose rest is over, or a group that has waited long enough for a
    /// runner of its failure domain.
    fn pump_later(self: &Arc<Self>, relay: &Arc<Relay<D>>) {
        let Some(until) = lock(&self.state).next_wake(relay.started()) else {
            return;
        };
        let (batcher, relay) = (self.clone(), relay.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(until).await;
            batcher.pump(&relay);
        });
    }

    fn requests(&self, launch: &Launch) -> String {
        let state = lock(&self.state);
        let ids = launch
            .portions
            .iter()
            .filter_map(|(ticket, _)| state.waiting.get(ticket));
        ids.map(|waiting| &*waiting.order.id)
            .collect::<Vec<_>>()
            .join(",")
    }
}

fn outcome(made: &[Made]) -> String {
    let done = made
        .iter()
        .filter(|made| matches!(made, Made::Done(_)))
        .count();
    if done == made.len() {
        return "made".to_owned();
    }
    let other = made.iter().find(|made| !matches!(made, Made::Done(_)));
    format!("{done} made, then {other:?}")
}

impl State {
    fn enqueue<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        batches: Batches,
        order: Order,
        reply: oneshot::Sender<Outcome>,
    ) {
        let ticket = self.next;
        self.next += 1;
        let waiting = Waiting {
            todo: (0..order.pieces).rev().collect(),
            made: vec![None; order.pieces as usize],
            since: Instant::now(),
            order,
            reply,
        };
        let group = self.group(&waiting, ticket, relay);
        let former = self.former.get_or_insert_with(|| Slack::new(batches.shape));
        former.reshape(batches.shape);
        former.push(group);
        self.waiting.insert(ticket, waiting);
    }

    /// The pieces of an order that still wait, as the former sees them.
    fn group<D: Downstream>(&self, waiting: &Waiting, ticket: Ticket, relay: &Relay<D>) -> Group {
        let order = &waiting.order;
        let domain = order.domain.clone().filter(|domain| {
            let there = |place: &Place| place.runner.domain == *domain;
            self.places.iter().any(there)
        });
        Group {
            ticket,
            pieces: u32::try_from(waiting.todo.len()).unwrap_or(u32::MAX),
            result: self.inflation.apply(order.result),
            due: relay.at(order.due),
            last: relay.at(order.last),
            rank: order.rank,
            domain,
            since: relay.at(waiting.since),
            patience: Duration::from_secs_f64(order.crossing as f64 / CROSSING),
        }
    }

    fn refresh(&mut self, runners: Vec<Arc<Runner>>) {
        self.places.retain(|place| runners.contains(&place.runner));
        for runner in runners {
            if self.places.iter().all(|place| place.runner.id != runner.id) {
                self.places.push(Place::new(runner));
            }
        }
    }

    /// The next call that can start now.
    fn launch(&mut self, started: Instant, batches: Batches) -> Option<Launch> {
        let now = Instant::now();
        let at = now.saturating_duration_since(started);
        self.drop_useless(at);
        let former = self.former.as_mut()?;
        if former.waiting() == 0 {
            return None;
        }
        let places = free_places(&self.places, batches, now);
        let tries = [Need::Near, Need::Any].into_iter();
        let mut tries = tries.flat_map(|need| places.iter().map(move |&index| (index, need)));
        let (index, room, portions) = tries.find_map(|(index, need)| {
            let place = &mut self.places[index];
            let room = place.room(batches, now);
            let portions = former.take(at, room.free, &place.runner.domain, need);
            (!portions.is_empty()).then_some((index, room, portions))
        })?;
        let place = &mut self.places[index];
        place.calls += 1;
        let waiting = &self.waiting;
        let bytes = |portion: &Portion| {
            let result = waiting
                .get(&portion.ticket)
                .map_or(0, |waiting| waiting.order.result);
            result * u64::from(portion.pieces)
        };
        let needed: u64 = portions.iter().map(bytes).sum();
        let released = if needed > room.unreleased || place.full {
            place.give_back()
        } else {
            Vec::new()
        };
        let runner = place.runner.clone();
        let slowness = place.slowness(now);
        let launch = Launch {
            runner,
            slowness,
            released,
            batches,
            portions: Vec::new(),
            items: Vec::new(),
            expected: Duration::ZERO,
        };
        Some(self.assemble(launch, &portions, now))
    }

    /// Binds the pieces of a call to its runner.
    fn assemble(&mut self, mut launch: Launch, portions: &[Portion], now: Instant) -> Launch {
        for portion in portions {
            let Some(waiting) = self.waiting.get_mut(&portion.ticket) else {
                continue;
            };
            let at = waiting.todo.len().saturating_sub(portion.pieces as usize);
            let pieces = waiting.todo.split_off(at);
            let items = pieces.iter().map(|&piece| waiting.item(piece, now));
            launch.items.extend(items);
            launch.portions.push((portion.ticket, pieces));
        }
        let count = u32::try_from(launch.items.len()).unwrap_or(u32::MAX);
        let shape = launch.batches.shape;
        launch.expected = (shape.call + shape.piece * count).mul_f64(launch.slowness);
        launch
    }

    /// Drops the orders whose requests are gone, and ends those that cannot be made in time.
    fn drop_useless(&mut self, at: Duration) {
        let Some(former) = self.former.as_mut() else {
            return;
        };
        let gone: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.reply.is_closed())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in gone {
            former.withdraw(ticket);
            self.waiting.remove(&ticket);
        }
        for ticket in former.expire(at) {
            self.end(ticket, Err(Spoiled::Late));
        }
    }

    /// Ends an order; whoever waited for it may be gone by now, which is no matter.
    fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(former) = self.former.as_mut() {
            former.withdraw(ticket);
        }
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.reply.send(outcome);
        }
    }

    fn finish<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        launch: &Launch,
        result: Result<Vec<Made>, Failure>,
        elapsed: Duration,
    ) {
        self.judge(&launch.runner.id, launch, &result, elapsed);
        let pieces = launch
            .portions
            .iter()
            .flat_map(|(ticket, pieces)| pieces.iter().map(move |&piece| (*ticket, piece)));
        let mut made = result
            .map_or_else(|_| Vec::new(), std::convert::identity)
            .into_iter();
        for (ticket, piece) in pieces {
            let made = made.next().unwrap_or(Made::Failed);
            if let Some(outcome) = self.settle(relay, service, launch, (ticket, piece), made) {
                self.end(ticket, outcome);
            }
        }
    }

    /// Learns of the runner from a call.
    fn judge(
        &mut self,
        id: &RunnerId,
        launch: &Launch,
        result: &Result<Vec<Made>, Failure>,
        elapsed: Duration,
    ) {
        let Some(place) = self.places.iter_mut().find(|place| place.runner.id == *id) else {
            return;
        };
        place.calls = place.calls.saturating_sub(1);
        let now = Instant::now();
        if let Ok(made) = result {
            self.inflation.learn(!made.contains(&Made::NoRoom));
        }
        match result {
            // It answers at once when it has no room, which must not make it look fast: it would
            // draw all calls and refuse them.
            Ok(made) if made.contains(&Made::NoRoom) => {
                place.rests_until = Some(now + REST_ROOM);
                place.full = true;
            }
            Ok(_) => {
                place.failures = 0;
                let ratio = elapsed.as_secs_f64() / launch.expected.as_secs_f64().max(0.001);
                let faded = place.slowness(now);
                let sample = launch.slowness * ratio;
                place.slowness = faded + SLOWNESS_WEIGHT * (sample - faded);
                place.judged = now;
            }
            Err(Failure::NotRun {
                reason: NotRun::Full,
            }) => {
                place.rests_until = Some(now + REST_FULL);
            }
            Err(_) => {
                let rest = REST_FAILED * 2_u32.pow(place.failures.min(MOST_DOUBLINGS));
                place.failures += 1;
                place.rests_until = Some(now + rest);
                place.slowness = place.slowness(now) * LOST_SLOWNESS;
                place.judged = now;
            }
        }
    }

    /// Takes in what became of one piece; gives the outcome of the order if that ends it.
    fn settle<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        launch: &Launch,
        (ticket, piece): (Ticket, u32),
        made: Made,
    ) -> Option<Outcome> {
        if let Made::Done(handle) = &made {
            let bytes = self
                .waiting
                .get(&ticket)
                .map_or(0, |waiting| waiting.order.result);
            let bytes = self.inflation.apply(bytes);
            let wanted = self.waiting.contains_key(&ticket);
            self.keep(&launch.runner.id, handle, bytes, launch.batches, wanted);
        }
        let waiting = self.waiting.get_mut(&ticket)?;
        match made {
            Made::Done(handle) => {
                waiting.made[piece as usize] = Some(handle);
                waiting
                    .made
                    .iter()
                    .cloned()
                    .collect::<Option<Vec<_>>>()
                    .map(Ok)
            }
            Made::Late => Some(Err(Spoiled::Late)),
            Made::InputGone => Some(Err(Spoiled::InputGone)),
            Made::NoRoom | Made::Failed => {
                if !relay.may_repeat(service) {
                    return Some(Err(Spoiled::Failed));
                }
                waiting.todo.push(piece);
                let waiting = self.waiting.get(&ticket)?;
                let group = self.group(waiting, ticket, relay);
                let former = self.former.as_mut()?;
                former.withdraw(ticket);
                former.push(group);
                None
            }
        }
    }

    /// Counts a result at its runner; one that nobody waits for is released.
    fn keep(&mut self, id: &RunnerId, handle: &Handle, bytes: u64, batches: Batches, wanted: bool) {
        let Some(place) = self.places.iter_mut().find(|place| place.runner.id == *id) else {
            return;
        };
        let until = Instant::now() + batches.keep;
        place.results.insert(handle.clone(), Kept { bytes, until });
        if !wanted {
            place.released.push(handle.clone());
        }
    }

    /// When something may change that no call or order tells; once for each such moment.
    fn next_wake(&mut self, started: Instant) -> Option<Instant> {
        let now = Instant::now();
        let rests = self.places.iter().filter_map(|place| place.rests_until);
        let rest = rests.filter(|until| *until > now).min();
        let former = self.former.as_ref().filter(|former| former.waiting() > 0)?;
        let at = now.saturating_duration_since(started);
        let moved = former.next(at).map(|moment| started + moment);
        let wake = rest.into_iter().chain(moved).min()?;
        if self
            .wakes
            .is_some_and(|planned| planned > now && planned <= wake)
        {
            return None;
        }
        self.wakes = Some(wake);
        Some(wake)
    }
}

/// The runners that a call may go to now, those with the least results first.
///
/// A slow one is left idle while others of its service are faster by more than a call: pieces bound
/// to it would end later than those that wait for the next free one.
fn free_places(places: &[Place], batches: Batches, now: Instant) -> Vec<usize> {
    let awake = places.iter().filter(|place| !place.rests(now));
    let Some(fastest) = awake
        .map(|place| place.slowness(now))
        .min_by(f64::total_cmp)
    else {
        return Vec::new();
    };
    let free = |&index: &usize| {
        let place = &places[index];
        place.calls < batches.slots && !place.rests(now) && place.slowness(now) < fastest * SLOW
    };
    let mut free: Vec<usize> = (0..places.len()).filter(free).collect();
    free.sort_by_key(|&index| places[index].results.len());
    free
}

/// Room for results at a runner.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// Once all that is released has been given back.
    free: u64,
    /// As long as it has not.
    unreleased: u64,
}

impl Place {
    fn new(runner: Arc<Runner>) -> Self {
        Self {
            runner,
            calls: 0,
            results: Map::default(),
            released: Vec::new(),
            slowness: 1.0,
            judged: Instant::now(),
            failures: 0,
            rests_until: None,
            full: false,
        }
    }

    /// How many times longer than expected its calls take, as far as is still believed.
    fn slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.judged);
        let faded = decide::smooth::decay(age, SLOWNESS_HALF_LIFE);
        1.0 + (self.slowness - 1.0) * faded
    }

    fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Room for the next call's results once all that is released has been given back.
    fn room(&mut self, batches: Batches, now: Instant) -> Room {
        self.results.retain(|_, kept| kept.until > now);
        let results = &self.results;
        self.released.retain(|handle| results.contains_key(handle));
        let kept: u64 = self.results.values().map(|kept| kept.bytes).sum();
        let released: u64 = self
            .released
            .iter()
            .filter_map(|handle| Some(self.results.get(handle)?.bytes))
            .sum();
        let free = batches.room.saturating_sub(kept.saturating_sub(released));
        Room {
            free,
            unreleased: batches.room.saturating_sub(kept),
        }
    }

    /// Results that the runner is told to drop now.
    fn give_back(&mut self) -> Vec<Handle> {
        self.full = false;
        let released = std::mem::take(&mut self.released);
        for handle in &released {
            self.results.remove(handle);
        }
        released
    }
}

impl Waiting {
    fn item(&self, piece: u32, now: Instant) -> Item {
        Item {
            id: self.order.id.clone(),
            stage: self.order.stage,
            piece,
            remaining: self.order.last.saturating_duration_since(now),
            source: self.order.source.clone(),
        }
    }
}
