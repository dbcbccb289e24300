//! What the processes say to one another: pieces for the one that forms a cell's calls, and which
//! configuration is in force.

mod call_loads;
mod frame;
mod overlay;
mod serving;
pub(crate) mod tables;
mod transfer;

pub use call_loads::{CallLoadTable, CallLoads, exchange_call_loads};
pub use frame::{Frame, WireOrder};
pub use overlay::{StateDigest, maintain_links};
pub use serving::serve;
pub use tables::TableUpdate;
pub use transfer::Part;

use crate::batch::{Cell, Order, Outcome, ReleaseKind, Results, StageError, WaitEstimates};
use crate::configuration::{Rank, Version};
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Handle};
use crate::drain::Drains;
use crate::limit::LimitNotice;
use crate::member::{Member, MemberId, Members};
use crate::quarantine::Suspicion;
use decide::Map;
use slog::{info, warn};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tables::Tables;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, timeout};
use tokio_util::task::TaskTracker;
use transfer::Transfer;
use wire::{Key, Sender};

/// Processes that are asked, one after the other, to make the pieces of an order.
const OWNERS: usize = 3;
/// Time for a link to come about: some round trips of a few milliseconds and the work of two
/// handshakes on a slow VM.
const CONNECT: Duration = Duration::from_millis(300);
/// Age up to which a peer's word on its load is believed.
const LOAD_LIFE: Duration = Duration::from_secs(1);

/// The other processes.
#[derive(Debug)]
pub struct Peers {
    key: Key,
    members: Mutex<Members>,
    slots: Mutex<Map<MemberId, Arc<Slot>>>,
    subscribers: Mutex<Vec<Sender<Frame>>>,
    loads: Mutex<Map<Cell, (WaitEstimates, Instant)>>,
    held: Mutex<Map<Cell, Held>>,
    pub(crate) call_loads: CallLoadTable,
    /// How far this process has got to know the others.
    stage: watch::Sender<Stage>,
    /// Wakes the task that writes the own row.
    pub(crate) rewrite: Notify,
    /// What was read of the platform's tables.
    pub(crate) tables: Tables,
    /// Configurations that go from one process to another.
    pub(crate) transfer: Transfer,
    /// Orders of other processes that are being carried out.
    pub(crate) orders: TaskTracker,
}

/// How far a process has got after its start to know the others.
#[derive(Clone, Copy, Debug, Default)]
struct Stage {
    is_read: bool,
    is_enlisted: bool,
    is_listed: bool,
}

/// Results that requests of this process hold in one cell.
#[derive(Debug, Default)]
struct Held {
    /// Who forms the cell's calls, as of the last order.
    owner: Option<(MemberId, u64)>,
    results: Map<Handle, u64>,
}

impl Held {
    /// The results, if the owner is another one than it was.
    fn news_for(&mut self, owner: &Member) -> Option<Vec<(Handle, u64)>> {
        let now = (owner.id.clone(), owner.incarnation);
        let before = self.owner.replace(now.clone());
        let changed = before.is_some_and(|before| before != now) && !self.results.is_empty();
        changed.then(|| {
            let results = self.results.iter();
            results
                .map(|(handle, bytes)| (handle.clone(), *bytes))
                .collect()
        })
    }
}

/// The link to one process; whoever finds none opens it while the others wait.
type Slot = tokio::sync::Mutex<Option<Arc<PeerLink>>>;

/// A link with the orders that wait for their outcome on it.
#[derive(Debug)]
pub(crate) struct PeerLink {
    incarnation: u64,
    sender: Sender<Frame>,
    pending: Mutex<Pending>,
}

#[derive(Debug)]
pub(crate) struct Pending {
    next: u64,
    received: Instant,
    /// When a beat was sent that has not been answered.
    beaten: Option<Instant>,
    waiting: Map<u64, oneshot::Sender<Outcome>>,
    /// Questions for news of a table.
    news: Map<u64, oneshot::Sender<Option<TableUpdate>>>,
}

impl Pending {
    /// Names one more order or question on the link.
    fn ticket(&mut self) -> u64 {
        let ticket = self.next;
        self.next += 1;
        ticket
    }
}

impl Peers {
    /// None is known yet.
    #[must_use]
    pub fn new(own: Member, key: Key) -> Self {
        Self {
            key,
            members: Mutex::new(Members::new(own)),
            slots: Mutex::default(),
            subscribers: Mutex::default(),
            loads: Mutex::default(),
            held: Mutex::default(),
            call_loads: CallLoadTable::default(),
            stage: watch::Sender::default(),
            rewrite: Notify::new(),
            tables: Tables::default(),
            transfer: Transfer::default(),
            orders: TaskTracker::new(),
        }
    }

    /// Works on what is known of the processes.
    pub fn members<T>(&self, work: impl FnOnce(&mut Members) -> T) -> T {
        work(&mut lock(&self.members))
    }

    /// The rows of the processes have been read.
    pub(crate) fn note_read(&self) {
        self.stage.send_modify(|stage| stage.is_read = true);
    }

    /// The own row is written.
    pub(crate) fn note_enlisted(&self) {
        self.stage.send_modify(|stage| stage.is_enlisted = true);
    }

    /// All processes are listed that are there, as far as can be known.
    pub(crate) fn note_listed(&self) {
        self.stage.send_modify(|stage| stage.is_listed = true);
    }

    /// Waits for a while until the rows of the processes have been read.
    pub(crate) async fn members_read(&self, patience: Duration) {
        self.wait_for(patience, |stage| stage.is_read).await;
    }

    /// Waits for a while until the own row is written.
    pub(crate) async fn enlisted(&self, patience: Duration) {
        self.wait_for(patience, |stage| stage.is_enlisted).await;
    }

    /// Waits for a while until the processes are listed.
    pub(crate) async fn listed(&self, patience: Duration) {
        self.wait_for(patience, |stage| stage.is_listed).await;
    }

    async fn wait_for(&self, patience: Duration, reached: impl Fn(&Stage) -> bool) {
        let mut stage = self.stage.subscribe();
        // Whoever waits goes on without.
        let _ = timeout(patience, stage.wait_for(|stage| reached(stage))).await;
    }

    /// Processes that are there, the own one included; `None` before they are listed.
    #[must_use]
    pub fn count(&self) -> Option<usize> {
        lock(&self.members).count()
    }

    /// Tells all linked processes that this one stops, and that its work is for the next one.
    ///
    /// Others would go on to send it orders until it is gone, and lose them with it.
    pub fn announce_leaving(&self, own: &Member) {
        lock(&self.members).mark_leaving();
        let leaving = Frame::Leaving {
            id: own.id.clone(),
            incarnation: own.incarnation,
        };
        self.broadcast(&leaving);
    }

    /// Waits until the orders of other processes have been carried out.
    pub async fn finish_orders(&self) {
        self.orders.close();
        self.orders.wait().await;
    }

    /// Tells all linked processes which configuration is in force here.
    pub fn announce(&self, version: Version) {
        self.broadcast(&Frame::Version(version));
    }

    /// Tells all linked processes which failure domains are drained.
    pub fn announce_drains(&self, drains: &Drains) {
        self.broadcast(&Frame::Drains(drains.clone()));
    }

    /// Tells all linked processes of a request that ends runners.
    pub(crate) fn announce_suspicion(&self, suspicion: &Suspicion) {
        self.broadcast(&Frame::Suspicion(suspicion.clone()));
    }

    /// Tells one process of such a request. Where no link comes about it is announced to all once more is
    /// known of it.
    pub(crate) async fn send_suspicion<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        member: &Member,
        suspicion: Suspicion,
    ) {
        if let Some(line) = self.line(relay, member).await {
            let _ = line.sender.try_send(&Frame::Suspicion(suspicion));
        }
    }

    /// Tells all linked processes of a runner's limit.
    pub(crate) fn announce_limit(&self, notice: &LimitNotice) {
        self.broadcast(&Frame::Limit(notice.clone()));
    }

    /// A link whose queue is full misses the frame; what it missed shows in the next beat.
    fn broadcast(&self, frame: &Frame) {
        lock(&self.subscribers)
            .retain(|subscriber| subscriber.try_send(frame).is_ok() || !subscriber.is_lost());
    }

    /// From now on this process is told of what is announced.
    pub(crate) fn subscribe(&self, subscriber: Sender<Frame>) {
        let mut subscribers = lock(&self.subscribers);
        subscribers.retain(|subscriber| !subscriber.is_lost());
        subscribers.push(subscriber);
    }

    /// Expected time until pieces of this rank that come now are made in a cell.
    pub fn expected_wait<D: Downstream>(
        &self,
        relay: &Relay<D>,
        cell: &Cell,
        rank: Rank,
    ) -> Duration {
        let batches = relay.batches(&cell.service);
        let Some(batches) = batches else {
            return Duration::ZERO;
        };
        let owner = lock(&self.members).owner(&cell.name());
        if owner.id == relay.options.member.id {
            let waits = relay.batcher(cell).expected(relay, &batches);
            return waits.map_or(Duration::ZERO, |waits| waits.of(rank));
        }
        let loads = lock(&self.loads);
        let fresh = loads
            .get(cell)
            .filter(|(_, received)| received.elapsed() < LOAD_LIFE);
        fresh.map_or(batches.shape.call, |(waits, _)| waits.of(rank))
    }

    pub(crate) fn note_load(&self, cell: Cell, waits: WaitEstimates) {
        lock(&self.loads).insert(cell, (waits, Instant::now()));
    }

    /// Notes results of a cell that a request holds now, each of this size.
    pub fn record_results(&self, cell: &Cell, handles: &[Handle], bytes: u64) {
        let mut held = lock(&self.held);
        let results = &mut held.entry(cell.clone()).or_default().results;
        results.extend(handles.iter().map(|handle| (handle.clone(), bytes)));
    }

    /// Results that a new owner of a cell must be told of.
    ///
    /// It would take the runners for empty, and have pieces made that find no room, until the
    /// results lapse some seconds later.
    fn news_for(&self, cell: &Cell, owner: &Member) -> Option<Vec<(Handle, u64)>> {
        let mut held = lock(&self.held);
        held.entry(cell.clone()).or_default().news_for(owner)
    }

    /// Tells the owner of a cell that results are done with.
    pub fn release<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        results: Results,
        spent: ReleaseKind,
    ) {
        let Results { cell, handles } = &results;
        if spent == ReleaseKind::Over
            && let Some(held) = lock(&self.held).get_mut(cell)
        {
            for handle in handles {
                held.results.remove(handle);
            }
        }
        let owner = lock(&self.members).owner(&cell.name());
        if owner.id == relay.options.member.id {
            relay.batcher(cell).release(relay, handles, spent);
            return;
        }
        let slot = lock(&self.slots).get(&owner.id).cloned();
        // Without a link the results lapse by themselves.
        if let Some(line) = slot.and_then(|slot| slot.try_lock().ok()?.clone()) {
            let _ = line.sender.try_send(&Frame::Release { results, spent });
        }
    }

    /// The link to a process, opened if there is none.
    async fn line<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        member: &Member,
    ) -> Option<Arc<PeerLink>> {
        let slot = lock(&self.slots)
            .entry(member.id.clone())
            .or_default()
            .clone();
        let mut line = slot.lock().await;
        if let Some(open) = line.as_ref()
            && !open.sender.is_lost()
            && open.incarnation == member.incarnation
        {
            return Some(open.clone());
        }
        *line = None;
        let linked = timeout(CONNECT, wire::connect(member.address, &self.key)).await;
        match linked {
            Ok(Ok((sender, receiver))) => {
                let open = Arc::new(PeerLink::new(member.incarnation, sender));
                frame::start(relay.clone(), open.clone(), receiver);
                *line = Some(open.clone());
                Some(open)
            }
            Ok(Err(error)) => {
                warn!(relay.log, "peer not reached"; "peer" => &*member.id, "error" => %error);
                None
            }
            Err(_) => {
                warn!(relay.log, "peer not reached"; "peer" => &*member.id, "error" => "no link in time");
                None
            }
        }
    }
}

impl PeerLink {
    fn new(incarnation: u64, sender: Sender<Frame>) -> Self {
        let pending = Pending {
            next: 0,
            received: Instant::now(),
            beaten: None,
            waiting: Map::default(),
            news: Map::default(),
        };
        Self {
            incarnation,
            sender,
            pending: Mutex::new(pending),
        }
    }

    fn enter(&self) -> (u64, oneshot::Receiver<Outcome>) {
        let (reply, outcome) = oneshot::channel();
        let mut pending = lock(&self.pending);
        if pending.waiting.is_empty() {
            pending.received = Instant::now();
        }
        let ticket = pending.ticket();
        pending.waiting.insert(ticket, reply);
        (ticket, outcome)
    }
}

/// An order that waits on a link. One that is dropped is withdrawn, so that no runner works for a
/// caller that has left.
struct Waiting {
    line: Arc<PeerLink>,
    ticket: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if lock(&self.line.pending)
            .waiting
            .remove(&self.ticket)
            .is_some()
        {
            let withdraw = Frame::Withdraw {
                ticket: self.ticket,
            };
            // A link that is gone takes the order with it.
            let _ = self.line.sender.try_send(&withdraw);
        }
    }
}

/// Has the pieces of an order made by the process that forms the cell's calls, or by the next one
/// if that is gone.
///
/// # Errors
///
/// [`StageError`].
pub async fn execute_order<D: Downstream>(
    relay: &Arc<Relay<D>>,
    cell: &Cell,
    order: Order,
) -> Outcome {
    for _ in 0..OWNERS {
        let owner = relay.peers.members(|members| members.owner(&cell.name()));
        let news = relay.peers.news_for(cell, &owner);
        if owner.id == relay.options.member.id {
            if let Some(results) = news {
                relay.batcher(cell).record_results(relay, &results);
            }
            return make_here(relay, cell, order).await;
        }
        if let (Some(results), Some(line)) = (news, relay.peers.line(relay, &owner).await) {
            let cell = cell.clone();
            // A link that is lost shows when the order is sent.
            let _ = line.sender.send(Frame::Held { cell, results }).await;
        }
        let asked = ask(relay, &owner, cell, &order).await;
        match asked {
            Asked::Ended(Err(StageError::NoRunner)) => break,
            Asked::Ended(outcome) => return outcome,
            Asked::Unreached => relay.peers.members(|members| members.suspect(&owner)),
            Asked::Lost => {
                info!(relay.log, "peer lost with an order"; "peer" => &*owner.id,
                    "request" => &*order.id, "stage" => order.stage);
                relay.peers.members(|members| members.suspect(&owner));
                if !relay.try_retry(&cell.service) {
                    return Err(StageError::Failed);
                }
            }
        }
    }
    make_here(relay, cell, order).await
}

async fn make_here<D: Downstream>(relay: &Arc<Relay<D>>, cell: &Cell, order: Order) -> Outcome {
    let outcome = relay.batcher(cell).submit(relay, order).await;
    // The sending end is dropped without a word only when the order has been withdrawn.
    outcome.unwrap_or(Err(StageError::Failed))
}

/// What became of an order that another process was asked to carry out.
enum Asked {
    /// It told.
    Ended(Outcome),
    /// It was not reached.
    Unreached,
    /// The link was lost; the pieces may have been made.
    Lost,
}

async fn ask<D: Downstream>(
    relay: &Arc<Relay<D>>,
    owner: &Member,
    cell: &Cell,
    order: &Order,
) -> Asked {
    let Some(line) = relay.peers.line(relay, owner).await else {
        return Asked::Unreached;
    };
    let (ticket, outcome) = line.enter();
    let waiting = Waiting { line, ticket };
    let frame = Frame::Order {
        ticket,
        cell: cell.clone(),
        sheet: Box::new(WireOrder::new(order)),
    };
    if waiting.line.sender.send(frame).await.is_err() {
        return Asked::Unreached;
    }
    match outcome.await {
        Ok(outcome) => Asked::Ended(outcome),
        Err(_) => Asked::Lost,
    }
}
