//! The link to one target's agent and the calls on that link.

use crate::engine::{Engine, Order};
use foldhash::fast::RandomState;
use protocol::{CallId, FencingToken};
use slog::{Logger, error, info};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::Vm;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::{Frame, Key, Receiver, Sender};

/// Delay before the first attempt to reconnect a lost link.
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay between connection attempts.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Maximum time for the link to accept an order.
const ORDER_SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to a stage about one of its calls.
#[derive(Debug)]
pub enum Message {
    /// A frame from the agent.
    Frame(CallId, Frame),
    /// The link that the call was sent on was lost.
    Lost(CallId),
}

/// Channel on which a stage receives messages about its calls.
pub type Inbox = mpsc::UnboundedSender<Message>;

/// A change in whether a target accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The link is up.
    Up,
    /// The link is lost.
    Down,
    /// The agent accepts no new work.
    Leaving,
}

/// Receives changes of targets.
pub trait Observer: Send + Sync + 'static {
    /// Handles a change of one target.
    fn target_changed(&self, target: &Arc<Target>, change: Change);
}

/// A target and the link to its agent, within one incarnation of its VM.
#[derive(Debug)]
pub struct Target {
    /// Entry of the target in the platform's VM list.
    pub vm: Vm,
    /// Number of received frames that belonged to no current call.
    pub unmatched_frames: AtomicU64,
    /// State of the target's engine, if it has one.
    pub engine: Engine,
    /// Most recently listed address of the agent.
    address: Mutex<SocketAddr>,
    leaving: AtomicBool,
    link: Mutex<Option<Sender>>,
    up: watch::Sender<bool>,
    calls: Mutex<HashMap<CallId, Inbox, RandomState>>,
    stop: CancellationToken,
}

impl Target {
    /// Creates a target whose link is opened in the background and kept open until
    /// [`Target::stop`].
    pub fn start(vm: Vm, key: Key, log: Logger, observer: Arc<impl Observer>) -> Arc<Self> {
        let target = Arc::new(Self {
            leaving: AtomicBool::new(vm.leaving),
            address: Mutex::new(vm.address),
            vm,
            unmatched_frames: AtomicU64::default(),
            engine: Engine::default(),
            link: Mutex::default(),
            up: watch::Sender::new(false),
            calls: Mutex::default(),
            stop: CancellationToken::new(),
        });
        tokio::spawn(maintain_link(target.clone(), key, log, observer));
        target
    }

    /// Closes the link permanently.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Updates the listed address of the agent. An agent that was restarted within the same
    /// incarnation of its VM may listen on another address; an open link is kept.
    pub fn update_address(&self, address: SocketAddr) {
        *self.address() = address;
    }

    /// Whether the link is up.
    pub fn is_linked(&self) -> bool {
        *self.up.borrow()
    }

    /// Whether the target accepts new work.
    pub fn is_open(&self) -> bool {
        self.is_linked() && !self.is_leaving()
    }

    /// Whether the agent or the platform has marked the target as leaving, so that it accepts no
    /// new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the target as leaving; the mark is never cleared within this incarnation of the VM.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Waits until the link is up. Returns `false` once the target is stopped.
    pub async fn wait_until_linked(&self) -> bool {
        let mut up = self.up.subscribe();
        tokio::select! {
            result = up.wait_for(|up| *up) => result.is_ok(),
            () = self.stop.cancelled() => false,
        }
    }

    /// Registers a call and returns the link on which to send it.
    ///
    /// The call is registered before the link is read: if the link is lost in between, the inbox
    /// receives a message, so no call waits for an answer on a lost link.
    pub fn register_call(&self, call: CallId, inbox: Inbox) -> Option<Sender> {
        self.calls().insert(call, inbox);
        let link = self.link().clone();
        if link.is_none() {
            self.unregister_call(call);
        }
        link
    }

    /// Unregisters a call; later frames for it count as unmatched.
    pub fn unregister_call(&self, call: CallId) {
        self.calls().remove(&call);
    }

    /// Sends a frame from a synchronous context if the link is up.
    pub fn send_in_background(&self, frame: Frame) {
        if let Some(link) = self.link().clone() {
            tokio::spawn(async move { link.send(frame).await });
        }
    }

    /// Queries which models the engine holds, under the lease's fencing token if this entry holds
    /// the lease, and reports the models that callers lacked.
    pub fn query(&self, fence: Option<FencingToken>, wanted: impl IntoIterator<Item = String>) {
        if self.is_linked()
            && let Some(number) = self.engine.next_query(fence)
        {
            let wanted = wanted.into_iter().collect();
            self.send_in_background(Frame::Query {
                number,
                fence,
                wanted,
            });
        }
    }

    /// Sends an order that was opened on the engine before. Returns `false` if it was not sent.
    ///
    /// If the link does not accept the order in time, it is not sent at all: it would otherwise
    /// leave long after the lease was checked.
    pub async fn send_order(&self, fence: FencingToken, order: &Order) -> bool {
        let link = self.link().clone();
        let body = order.body(fence).into();
        let Some(link) = link else {
            return false;
        };
        let sent =
            tokio::time::timeout(ORDER_SEND_TIMEOUT, link.send(Frame::Order { fence, body }));
        matches!(sent.await, Ok(Ok(())))
    }

    fn drop_link(&self) {
        self.link().take();
        self.up.send_replace(false);
        self.engine.reset();
        let calls = std::mem::take(&mut *self.calls());
        for (call, inbox) in calls {
            // A stage whose receiver is closed already has its answer.
            let _ = inbox.send(Message::Lost(call));
        }
    }

    fn address(&self) -> MutexGuard<'_, SocketAddr> {
        self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self) -> MutexGuard<'_, Option<Sender>> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn calls(&self) -> MutexGuard<'_, HashMap<CallId, Inbox, RandomState>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn dispatch(&self, link: &Sender, call: CallId, frame: Frame) {
        let inbox = self.calls().get(&call).cloned();
        let unmatched = match inbox {
            Some(inbox) => match inbox.send(Message::Frame(call, frame)) {
                Ok(()) => None,
                Err(error) => Some(error.0),
            },
            None => Some(Message::Frame(call, frame)),
        };
        let Some(Message::Frame(call, frame)) = unmatched else {
            return;
        };
        self.unmatched_frames.fetch_add(1, Ordering::Relaxed);
        // A request to start a call that has ended is denied: an agent that was suspended while it
        // held the offer must not start work that was reported to the caller as not run.
        if matches!(frame, Frame::Ask { .. }) {
            // The receiving side detects a failed link.
            let _ = link.send(Frame::Deny { call }).await;
        }
    }
}

async fn maintain_link(target: Arc<Target>, key: Key, log: Logger, observer: Arc<impl Observer>) {
    let mut delay = INITIAL_RECONNECT_DELAY;
    let mut unauthorized = false;
    while !target.stop.is_cancelled() {
        let address = *target.address();
        match wire::connect(address, &key).await {
            Ok((sender, receiver)) => {
                delay = INITIAL_RECONNECT_DELAY;
                unauthorized = false;
                info!(log, "link up"; "vm" => &target.vm.id, "address" => %address);
                process_frames(&target, sender, receiver, &observer).await;
                info!(log, "link lost"; "vm" => &target.vm.id);
            }
            Err(wire::Error::Unauthorized) => {
                if !std::mem::replace(&mut unauthorized, true) {
                    error!(log, "agent does not hold the shared key"; "vm" => &target.vm.id);
                }
                delay = MAX_RECONNECT_DELAY;
            }
            Err(_) => delay = (delay * 2).min(MAX_RECONNECT_DELAY),
        }
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = target.stop.cancelled() => {}
        }
    }
}

async fn process_frames(
    target: &Arc<Target>,
    sender: Sender,
    mut receiver: Receiver,
    observer: &Arc<impl Observer>,
) {
    target.engine.record_link_up();
    *target.link() = Some(sender.clone());
    target.up.send_replace(true);
    observer.target_changed(target, Change::Up);
    loop {
        let frame = tokio::select! {
            frame = receiver.recv() => frame,
            () = target.stop.cancelled() => break,
        };
        let Ok(Some(frame)) = frame else {
            break;
        };
        match frame {
            // The link belongs to one incarnation of the agent, so the incarnation in the frame is
            // not checked.
            Frame::Leave { .. } => {
                target.mark_leaving();
                observer.target_changed(target, Change::Leaving);
            }
            Frame::Models { number, models } => target.engine.record_models(number, models),
            Frame::OrderDone { status, .. } => target.engine.close_order(Some(status)),
            frame => {
                if let Some(call) = frame.call() {
                    target.dispatch(&sender, call, frame).await;
                }
            }
        }
    }
    observer.target_changed(target, Change::Down);
    target.drop_link();
}
