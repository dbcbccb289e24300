//! One target's agent: the link to it, the calls on that link and what is known of its load.

use foldhash::fast::RandomState;
use platform::Vm;
use protocol::CallId;
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::{Frame, Key, Receiver, Sender};

/// Pause before the first attempt to open a lost link again.
const RECONNECT_FIRST: Duration = Duration::from_millis(20);
/// Longest pause between attempts to open a link.
const RECONNECT_MOST: Duration = Duration::from_secs(1);

/// Frames of one call; the channel closes when the link is lost.
pub type Frames = mpsc::UnboundedReceiver<Frame>;

/// A target with an agent beside it, in one life of its VM.
#[derive(Debug)]
pub struct Target {
    /// What the platform lists.
    pub vm: Vm,
    /// Work that this entry has given it and that has not ended.
    pub in_flight: AtomicU32,
    /// Whether it takes no new work, by its own word or the platform's.
    pub leaving: AtomicBool,
    /// Frames that belonged to no current call.
    pub strays: AtomicU64,
    link: Mutex<Option<Sender>>,
    up: watch::Sender<bool>,
    calls: Mutex<HashMap<CallId, mpsc::UnboundedSender<Frame>, RandomState>>,
    stop: CancellationToken,
}

impl Target {
    /// A target whose link is opened in the background and kept open until [`Target::stop`].
    #[must_use]
    pub fn start(vm: Vm, key: Key, log: Logger) -> Arc<Self> {
        let target = Arc::new(Self {
            leaving: AtomicBool::new(vm.leaving),
            vm,
            in_flight: AtomicU32::default(),
            strays: AtomicU64::default(),
            link: Mutex::default(),
            up: watch::Sender::new(false),
            calls: Mutex::default(),
            stop: CancellationToken::new(),
        });
        tokio::spawn(keep_linked(target.clone(), key, log));
        target
    }

    /// Closes the link for good.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Whether there is a link now.
    pub fn is_linked(&self) -> bool {
        *self.up.borrow()
    }

    /// Whether new work may go there.
    pub fn is_open(&self) -> bool {
        self.is_linked() && !self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the target as leaving; nothing clears the mark in this life of the VM.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Waits until there is a link, or gives `false` once the target is stopped.
    pub async fn linked(&self) -> bool {
        let mut up = self.up.subscribe();
        tokio::select! {
            result = up.wait_for(|up| *up) => result.is_ok(),
            () = self.stop.cancelled() => false,
        }
    }

    /// Registers a call and gives its frames and the link to send on.
    ///
    /// The call is registered before the link is read: a link lost in between closes the frames,
    /// so that no call can wait for an answer on a link that is gone.
    pub fn open(&self, call: CallId) -> Option<(Sender, Frames)> {
        let (frames, receiver) = mpsc::unbounded_channel();
        self.calls().insert(call, frames);
        let link = self.link().clone();
        if link.is_none() {
            self.close(call);
        }
        link.map(|link| (link, receiver))
    }

    /// Forgets a call; later frames for it are strays.
    pub fn close(&self, call: CallId) {
        self.calls().remove(&call);
    }

    /// Sends a frame without waiting, if there is a link with room.
    pub fn send_now(&self, frame: Frame) {
        let link = self.link().clone();
        if let Some(link) = link {
            tokio::spawn(async move { link.send(frame).await });
        }
    }

    fn lose_link(&self) {
        self.link().take();
        self.up.send_replace(false);
        self.calls().clear();
    }

    fn link(&self) -> MutexGuard<'_, Option<Sender>> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn calls(
        &self,
    ) -> MutexGuard<'_, HashMap<CallId, mpsc::UnboundedSender<Frame>, RandomState>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn dispatch(&self, link: &Sender, frame: Frame) {
        if let Frame::Leave { incarnation } = frame {
            if incarnation >= self.vm.incarnation {
                self.leave();
            }
            return;
        }
        let Some(call) = frame.call() else {
            return;
        };
        let frames = self.calls().get(&call).cloned();
        let stray = match frames {
            Some(frames) => frames.send(frame).err().map(|error| error.0),
            None => Some(frame),
        };
        if let Some(frame) = stray {
            self.stray(link, frame).await;
        }
    }

    /// Denies a question about a call that is over: an agent that was frozen with the offer must
    /// not start what the caller was told had not run.
    async fn stray(&self, link: &Sender, frame: Frame) {
        self.strays.fetch_add(1, Ordering::Relaxed);
        if let Frame::Ask { call } = frame {
            // A link that fails here is noticed by its receiver.
            let _ = link.send(Frame::Deny { call }).await;
        }
    }
}

async fn keep_linked(target: Arc<Target>, key: Key, log: Logger) {
    let mut pause = RECONNECT_FIRST;
    while !target.stop.is_cancelled() {
        match wire::connect(target.vm.address, &key).await {
            Ok((sender, receiver)) => {
                pause = RECONNECT_FIRST;
                info!(log, "link up"; "vm" => &target.vm.id);
                serve(&target, sender, receiver).await;
                info!(log, "link lost"; "vm" => &target.vm.id);
            }
            Err(_) => pause = (pause * 2).min(RECONNECT_MOST),
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = target.stop.cancelled() => {}
        }
    }
    target.lose_link();
}

async fn serve(target: &Target, sender: Sender, mut receiver: Receiver) {
    *target.link() = Some(sender.clone());
    target.up.send_replace(true);
    loop {
        let frame = tokio::select! {
            frame = receiver.recv() => frame,
            () = target.stop.cancelled() => break,
        };
        match frame {
            Ok(Some(frame)) => target.dispatch(&sender, frame).await,
            Ok(None) | Err(_) => break,
        }
    }
    target.lose_link();
}
