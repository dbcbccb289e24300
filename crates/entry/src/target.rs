//! One target's agent: the link to it and the calls on that link.

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

/// Pause before the first attempt to open a lost link again.
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest pause between attempts to open a link.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for the link to take an order.
const ORDER_SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// What reaches a stage about one of its calls.
#[derive(Debug)]
pub enum Message {
    /// The agent's word.
    Frame(CallId, Frame),
    /// The link that the call was sent on is gone.
    Lost(CallId),
}

/// Where a stage takes in what reaches it about its calls.
pub type Inbox = mpsc::UnboundedSender<Message>;

/// What changes in a target's willingness to work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The link is up.
    Up,
    /// The link is lost.
    Down,
    /// The agent takes no new work.
    Leaving,
}

/// Takes in changes of the targets.
pub trait Observer: Send + Sync + 'static {
    /// Takes in a change of one target.
    fn target_changed(&self, target: &Arc<Target>, change: Change);
}

/// A target with an agent beside it, in one life of its VM.
#[derive(Debug)]
pub struct Target {
    /// What the platform lists.
    pub vm: Vm,
    /// Frames that belonged to no current call.
    pub unmatched_frames: AtomicU64,
    /// What is known of its engine, if it has one.
    pub engine: Engine,
    /// Where its agent was last listed.
    address: Mutex<SocketAddr>,
    leaving: AtomicBool,
    link: Mutex<Option<Sender>>,
    up: watch::Sender<bool>,
    calls: Mutex<HashMap<CallId, Inbox, RandomState>>,
    stop: CancellationToken,
}

impl Target {
    /// A target whose link is opened in the background and kept open until [`Target::stop`].
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

    /// Closes the link for good.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Takes in where the agent is listed now. An agent that was started again in the same life of its
    /// VM may serve at another address; a link that is up stays.
    pub fn update_address(&self, address: SocketAddr) {
        *self.address() = address;
    }

    /// Whether there is a link now.
    pub fn is_linked(&self) -> bool {
        *self.up.borrow()
    }

    /// Whether new work may go there.
    pub fn is_open(&self) -> bool {
        self.is_linked() && !self.is_leaving()
    }

    /// Whether it takes no new work, by its own word or the platform's.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the target as leaving; nothing clears the mark in this life of the VM.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Waits until there is a link, or gives `false` once the target is stopped.
    pub async fn wait_until_linked(&self) -> bool {
        let mut up = self.up.subscribe();
        tokio::select! {
            result = up.wait_for(|up| *up) => result.is_ok(),
            () = self.stop.cancelled() => false,
        }
    }

    /// Registers a call and gives the link to send it on.
    ///
    /// The call is registered before the link is read: a link lost in between tells the inbox, so
    /// that no call can wait for an answer on a link that is gone.
    pub fn register_call(&self, call: CallId, inbox: Inbox) -> Option<Sender> {
        self.calls().insert(call, inbox);
        let link = self.link().clone();
        if link.is_none() {
            self.unregister_call(call);
        }
        link
    }

    /// Forgets a call; later frames for it are strays.
    pub fn unregister_call(&self, call: CallId) {
        self.calls().remove(&call);
    }

    /// Sends a frame from where nothing can be awaited, if there is a link.
    pub fn send_in_background(&self, frame: Frame) {
        if let Some(link) = self.link().clone() {
            tokio::spawn(async move { link.send(frame).await });
        }
    }

    /// Asks what its engine holds, under the lease's fencing number if this entry holds it, and says
    /// which models callers have lacked.
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

    /// Sends an order that has taken the engine's place for one; `false` if it was not sent.
    ///
    /// A link that does not take it soon is no way for it: the order would leave long after the
    /// lease was looked at.
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
            // A stage that no longer listens has its answer.
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
        // A question about a call that is over is denied: an agent that was frozen with the offer
        // must not start what the caller was told had not run.
        if matches!(frame, Frame::Ask { .. }) {
            // A link that fails here is noticed by its receiver.
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
                serve(&target, sender, receiver, &observer).await;
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

async fn serve(
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
            // The link is to one life of the agent, whatever number it gives itself.
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
