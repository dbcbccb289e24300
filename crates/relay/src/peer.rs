//! Communication between the relay processes: orders for the owner of a cell, and the state that all
//! processes share, such as the configuration in force.

mod call_loads;
mod credits;
mod frame;
mod held;
mod overlay;
mod results;
mod serving;
pub(crate) mod tables;
mod transfer;
mod trials;

pub use call_loads::{CallLoadTable, CallLoads, exchange_call_loads};
pub(crate) use credits::RemoteCredit;
pub use frame::{Frame, WireOrder};
pub use held::report_held_results;
pub use overlay::{StateDigest, maintain_links};
pub use serving::serve;
pub use tables::TableUpdate;
pub use transfer::Part;

use crate::batch::{Cell, Order, Outcome, StageError, WaitEstimates};
use crate::configuration::{Rank, Version};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::drain::Drains;
use crate::flow::Verdict;
use crate::limit::LimitNotice;
use crate::member::{Member, MemberId, Members};
use crate::quarantine::{Suspicion, TrialReply};
use decide::Map;
use held::HeldResults;
use results::DirectReleases;
use slog::{info, warn};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tables::Tables;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};
use tokio_util::task::TaskTracker;
use transfer::Transfer;
use wire::{Key, Sender};

/// Owners that an order is offered to, one after the other, before it is executed locally.
const MAX_OWNER_ATTEMPTS: usize = 3;
/// Timeout for opening a link: some round trips of a few milliseconds and the work of two handshakes on
/// a slow VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age up to which a peer's wait estimates are used.
const WAIT_ESTIMATE_TTL: Duration = Duration::from_secs(1);

/// The other relay processes, the links to them and the state that is exchanged over these.
#[derive(Debug)]
pub struct Peers {
    key: Key,
    members: Mutex<Members>,
    links: Mutex<Map<MemberId, Arc<LinkSlot>>>,
    subscribers: Mutex<Vec<Sender<Frame>>>,
    wait_estimates: Mutex<Map<Cell, (WaitEstimates, Instant)>>,
    held_results: Mutex<HeldResults>,
    /// Wakes the task that reports held results to the owners of their runners.
    pub(crate) runners_changed: Notify,
    direct_releases: Mutex<DirectReleases>,
    pub(crate) call_loads: CallLoadTable,
    /// What this process has completed of its own registration and of reading the list of processes.
    startup: watch::Sender<StartupState>,
    /// Wakes the task that writes this process's row.
    pub(crate) rewrite_own_row: Notify,
    /// Contents of the platform's tables, for processes that request them.
    pub(crate) tables: Tables,
    /// Transfer of configurations between processes.
    pub(crate) transfer: Transfer,
    /// Orders of other processes that are being executed.
    pub(crate) orders: TaskTracker,
}

/// Longest wait until queued frames have been passed to the operating system, before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Steps that a process has completed since its start to register and to learn of the others.
#[derive(Clone, Copy, Debug, Default)]
struct StartupState {
    members_read: bool,
    registered: bool,
    members_listed: bool,
}

/// The link to one process. The first task that finds none opens it while the others wait.
type LinkSlot = tokio::sync::Mutex<Option<Arc<PeerLink>>>;

/// A link with the orders and requests that await a response on it.
#[derive(Debug)]
pub(crate) struct PeerLink {
    member: MemberId,
    incarnation: u64,
    sender: Sender<Frame>,
    pending: Mutex<Pending>,
}

#[derive(Debug)]
pub(crate) struct Pending {
    next: u64,
    last_received: Instant,
    /// When the oldest unanswered heartbeat was sent.
    heartbeat_sent: Option<Instant>,
    orders: Map<u64, oneshot::Sender<Outcome>>,
    /// Requests for credits that wait for their final verdict.
    credits: Map<u64, mpsc::UnboundedSender<Verdict>>,
    /// Requests for updates of a table.
    updates: Map<u64, oneshot::Sender<Option<TableUpdate>>>,
    /// Claims of trials.
    claims: Map<u64, oneshot::Sender<TrialReply>>,
}

impl Pending {
    /// Whether the other end has to respond or report within the time-out of the link.
    fn expects_frames(&self) -> bool {
        !self.orders.is_empty() || !self.credits.is_empty() || !self.claims.is_empty()
    }

    /// Starts the time-out of the link if nothing was pending before.
    fn expect_frames(&mut self) {
        if !self.expects_frames() {
            self.last_received = Instant::now();
        }
    }

    /// Allocates an id for one more order or request on the link.
    fn next_ticket(&mut self) -> u64 {
        let ticket = self.next;
        self.next += 1;
        ticket
    }
}

impl Peers {
    /// Creates the peers of `own`, with no other process known.
    #[must_use]
    pub fn new(own: Member, key: Key) -> Self {
        Self {
            key,
            members: Mutex::new(Members::new(own)),
            links: Mutex::default(),
            subscribers: Mutex::default(),
            wait_estimates: Mutex::default(),
            held_results: Mutex::default(),
            runners_changed: Notify::new(),
            direct_releases: Mutex::default(),
            call_loads: CallLoadTable::default(),
            startup: watch::Sender::default(),
            rewrite_own_row: Notify::new(),
            tables: Tables::default(),
            transfer: Transfer::default(),
            orders: TaskTracker::new(),
        }
    }

    /// Runs `work` on the list of processes, under its lock.
    pub fn members<T>(&self, work: impl FnOnce(&mut Members) -> T) -> T {
        work(&mut lock(&self.members))
    }

    /// Records that the rows of the processes have been read.
    pub(crate) fn mark_members_read(&self) {
        self.startup
            .send_modify(|startup| startup.members_read = true);
    }

    /// Records that the row of this process has been written.
    pub(crate) fn mark_registered(&self) {
        self.startup
            .send_modify(|startup| startup.registered = true);
    }

    /// Records that the list of processes is as complete as it can be.
    pub(crate) fn mark_members_listed(&self) {
        self.startup
            .send_modify(|startup| startup.members_listed = true);
    }

    /// Waits until the rows of the processes have been read, up to `max_wait`.
    pub(crate) async fn wait_members_read(&self, max_wait: Duration) {
        self.wait_startup(max_wait, |startup| startup.members_read)
            .await;
    }

    /// Waits until the row of this process has been written, up to `max_wait`.
    pub(crate) async fn wait_registered(&self, max_wait: Duration) {
        self.wait_startup(max_wait, |startup| startup.registered)
            .await;
    }

    /// Waits until the list of processes is complete, up to `max_wait`.
    pub(crate) async fn wait_members_listed(&self, max_wait: Duration) {
        self.wait_startup(max_wait, |startup| startup.members_listed)
            .await;
    }

    async fn wait_startup(&self, max_wait: Duration, reached: impl Fn(&StartupState) -> bool) {
        let mut startup = self.startup.subscribe();
        // After a timeout the caller proceeds regardless.
        let _ = timeout(max_wait, startup.wait_for(|startup| reached(startup))).await;
    }

    /// Number of processes, including this one; `None` before they are listed.
    #[must_use]
    pub fn count(&self) -> Option<usize> {
        lock(&self.members).count()
    }

    /// Announces to all linked processes that this one stops and that others take over its work.
    ///
    /// Without this, they would send it orders until it is gone, and lose these orders with it.
    pub fn announce_leaving(&self, own: &Member) {
        lock(&self.members).mark_leaving();
        let leaving = Frame::Leaving {
            id: own.id.clone(),
            incarnation: own.incarnation,
        };
        self.broadcast(&leaving);
    }

    /// Waits until the orders of other processes have been executed and their outcomes sent.
    pub async fn finish_orders(&self) {
        self.orders.close();
        self.orders.wait().await;
        let links = lock(&self.subscribers).clone();
        // A link that is lost has nobody who waits for an outcome.
        let flushing = links.iter().map(|link| timeout(FLUSH_TIME, link.flush()));
        drop(futures::future::join_all(flushing).await);
    }

    /// Announces to all linked processes which configuration is in force here.
    pub fn announce_version(&self, version: Version) {
        self.broadcast(&Frame::Version(version));
    }

    /// Announces to all linked processes which failure domains are drained.
    pub fn announce_drains(&self, drains: &Drains) {
        self.broadcast(&Frame::Drains(drains.clone()));
    }

    /// Announces to all linked processes a request that is suspected of crashing runners.
    pub(crate) fn announce_suspicion(&self, suspicion: &Suspicion) {
        self.broadcast(&Frame::Suspicion(suspicion.clone()));
    }

    /// Sends a suspected request to one process; returns whether a link has accepted it.
    pub(crate) async fn send_suspicion<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        member: &Member,
        suspicion: &Suspicion,
    ) -> bool {
        let Some(link) = self.link(relay, member).await else {
            return false;
        };
        let frame = Frame::Suspicion(suspicion.clone());
        link.sender.try_send(&frame).is_ok()
    }

    /// Announces a runner's limit to all linked processes.
    pub(crate) fn announce_limit(&self, notice: &LimitNotice) {
        self.broadcast(&Frame::Limit(notice.clone()));
    }

    /// Sends a frame over all links. A link whose queue is full misses it; the next heartbeat then
    /// reveals the difference.
    fn broadcast(&self, frame: &Frame) {
        lock(&self.subscribers)
            .retain(|subscriber| subscriber.try_send(frame).is_ok() || !subscriber.is_lost());
    }

    /// Adds a link over which announcements are sent from now on.
    pub(crate) fn subscribe(&self, subscriber: Sender<Frame>) {
        let mut subscribers = lock(&self.subscribers);
        subscribers.retain(|subscriber| !subscriber.is_lost());
        subscribers.push(subscriber);
    }

    /// Expected time until pieces of this rank that arrive now at a cell are completed.
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
            let estimates = relay.batcher(cell).expected(relay, &batches);
            return estimates.map_or(Duration::ZERO, |estimates| estimates.of(rank));
        }
        let wait_estimates = lock(&self.wait_estimates);
        let fresh = wait_estimates
            .get(cell)
            .filter(|(_, received)| received.elapsed() < WAIT_ESTIMATE_TTL);
        fresh.map_or(batches.shape.call, |(estimates, _)| estimates.of(rank))
    }

    pub(crate) fn record_wait_estimates(&self, cell: Cell, estimates: WaitEstimates) {
        lock(&self.wait_estimates).insert(cell, (estimates, Instant::now()));
    }

    /// The link to a process, which is opened if there is none.
    async fn link<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        member: &Member,
    ) -> Option<Arc<PeerLink>> {
        let slot = lock(&self.links)
            .entry(member.id.clone())
            .or_default()
            .clone();
        let mut link = slot.lock().await;
        if let Some(open) = link.as_ref()
            && !open.sender.is_lost()
            && open.incarnation == member.incarnation
        {
            return Some(open.clone());
        }
        *link = None;
        let connected = timeout(CONNECT_TIMEOUT, wire::connect(member.address, &self.key)).await;
        match connected {
            Ok(Ok((sender, receiver))) => {
                let open = Arc::new(PeerLink::new(member, sender));
                frame::spawn_reader(relay.clone(), open.clone(), receiver);
                *link = Some(open.clone());
                Some(open)
            }
            Ok(Err(error)) => {
                warn!(relay.log, "cannot connect to peer"; "peer" => &*member.id, "error" => %error);
                None
            }
            Err(_) => {
                warn!(relay.log, "cannot connect to peer"; "peer" => &*member.id, "error" => "connection timed out");
                None
            }
        }
    }
}

impl PeerLink {
    fn new(member: &Member, sender: Sender<Frame>) -> Self {
        let pending = Pending {
            next: 0,
            last_received: Instant::now(),
            heartbeat_sent: None,
            orders: Map::default(),
            credits: Map::default(),
            updates: Map::default(),
            claims: Map::default(),
        };
        Self {
            member: member.id.clone(),
            incarnation: member.incarnation,
            sender,
            pending: Mutex::new(pending),
        }
    }

    fn add_order(&self) -> (u64, oneshot::Receiver<Outcome>) {
        let (reply, outcome) = oneshot::channel();
        let mut pending = lock(&self.pending);
        pending.expect_frames();
        let ticket = pending.next_ticket();
        pending.orders.insert(ticket, reply);
        (ticket, outcome)
    }
}

/// An order that awaits its outcome on a link. Dropping it withdraws the order, so that no runner works
/// for a client that has disconnected.
struct ForwardedOrder {
    link: Arc<PeerLink>,
    ticket: u64,
}

impl Drop for ForwardedOrder {
    fn drop(&mut self) {
        if lock(&self.link.pending)
            .orders
            .remove(&self.ticket)
            .is_some()
        {
            let withdraw = Frame::Withdraw {
                ticket: self.ticket,
            };
            // If the link is lost, the other process withdraws the order by itself.
            let _ = self.link.sender.try_send(&withdraw);
        }
    }
}

/// Executes an order at the cell's owner, or at the next owner if that one is gone.
///
/// # Errors
///
/// [`StageError`].
pub async fn execute_order<D: Downstream>(
    relay: &Arc<Relay<D>>,
    cell: &Cell,
    order: Order,
) -> Outcome {
    for _ in 0..MAX_OWNER_ATTEMPTS {
        let owner = relay.peers.members(|members| members.owner(&cell.name()));
        // A lost link is detected when the order is sent.
        relay.peers.report_results(relay, cell, &owner).await;
        if owner.id == relay.options.member.id {
            return execute_locally(relay, cell, order).await;
        }
        let forwarded = forward_order(relay, &owner, cell, &order).await;
        match forwarded {
            ForwardOutcome::Completed(Err(StageError::NoRunner)) => break,
            ForwardOutcome::Completed(outcome) => {
                record_results(relay, (cell, &owner), &outcome, order.result_bytes);
                return outcome;
            }
            ForwardOutcome::Unreachable => relay.peers.members(|members| members.suspect(&owner)),
            ForwardOutcome::LinkLost => {
                info!(relay.log, "link to peer lost while it executed an order"; "peer" => &*owner.id,
                    "request" => &*order.id, "stage" => order.stage);
                relay.peers.members(|members| members.suspect(&owner));
                if !relay.try_retry(&cell.service, &order.id) {
                    return Err(StageError::Failed);
                }
            }
        }
    }
    execute_locally(relay, cell, order).await
}

async fn execute_locally<D: Downstream>(
    relay: &Arc<Relay<D>>,
    cell: &Cell,
    order: Order,
) -> Outcome {
    let bytes = order.result_bytes;
    let outcome = relay.batcher(cell).submit(relay, order).await;
    // The sender is dropped without an outcome only when the order has been withdrawn.
    let outcome = outcome.unwrap_or(Err(StageError::Failed));
    record_results(relay, (cell, &relay.options.member), &outcome, bytes);
    outcome
}

/// Records the results of an order, which the request needs from now on.
fn record_results<D: Downstream>(
    relay: &Relay<D>,
    maker: (&Cell, &Member),
    outcome: &Outcome,
    bytes: u64,
) {
    if let Ok(handles) = outcome {
        relay.peers.record_results_of(relay, maker, handles, bytes);
    }
}

/// Result of forwarding an order to another process.
enum ForwardOutcome {
    /// The process reported the order's outcome.
    Completed(Outcome),
    /// The process could not be reached.
    Unreachable,
    /// The link was lost; the pieces may have been executed.
    LinkLost,
}

async fn forward_order<D: Downstream>(
    relay: &Arc<Relay<D>>,
    owner: &Member,
    cell: &Cell,
    order: &Order,
) -> ForwardOutcome {
    let Some(link) = relay.peers.link(relay, owner).await else {
        return ForwardOutcome::Unreachable;
    };
    let (ticket, outcome) = link.add_order();
    let forwarded = ForwardedOrder { link, ticket };
    let frame = Frame::Order {
        ticket,
        cell: cell.clone(),
        sheet: Box::new(WireOrder::new(order)),
    };
    if forwarded.link.sender.send(frame).await.is_err() {
        return ForwardOutcome::Unreachable;
    }
    match outcome.await {
        Ok(outcome) => ForwardOutcome::Completed(outcome),
        Err(_) => ForwardOutcome::LinkLost,
    }
}
