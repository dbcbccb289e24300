//! Transfer of configurations between processes, in parts.

use super::frame::Frame;
use crate::configuration::{Configuration, Version};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::telemetry::millis;
use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use foldhash::fast::FixedState;
use protocol::Fetch;
use protocol::fetch::{self, PartAction, PartRequest};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::sleep;
use wire::Sender;

/// Size of a part. On a link of 10 Mbit/s, a part delays what is sent after it by 7 ms.
const PART_BYTES: usize = 8 << 10;
/// Time within which a source must deliver a part before another source is tried.
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Images that are kept for processes that are still fetching one when newer versions arrive.
const MAX_IMAGES: usize = 3;
/// Size limit of an encoded configuration.
const MAX_CONFIGURATION_BYTES: u64 = wire::link::MAX_FRAME_BYTES as u64;

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    version: Version,
    /// Hash of the whole image.
    digest: u64,
    /// Position of the first byte.
    offset: u64,
    /// Size of the whole image.
    total: u64,
    bytes: Bytes,
}

impl Part {
    fn header(&self) -> fetch::Part {
        fetch::Part {
            version: self.version,
            digest: self.digest,
            offset: self.offset,
            length: self.bytes.len() as u64,
            total: self.total,
        }
    }
}

/// An image could not be encoded or decoded.
#[derive(Debug, Snafu)]
enum CodecError {
    #[snafu(display("compression failed: {source}"))]
    Compression { source: std::io::Error },
    #[snafu(display("serialization failed: {source}"))]
    Serialization { source: postcard::Error },
}

/// A configuration as it is sent: encoded and compressed.
#[derive(Clone, Debug)]
struct Image {
    version: Version,
    digest: u64,
    bytes: Bytes,
}

impl Image {
    fn new(version: Version, bytes: Bytes) -> Self {
        Self {
            version,
            digest: FixedState::default().hash_one(&bytes),
            bytes,
        }
    }

    fn encode(configuration: &Configuration) -> Result<Self, CodecError> {
        let encoded = postcard::to_stdvec(configuration).context(SerializationSnafu)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encoded).context(CompressionSnafu)?;
        let bytes = encoder.finish().context(CompressionSnafu)?;
        Ok(Self::new(configuration.version, bytes.into()))
    }

    fn decode(&self) -> Result<Configuration, CodecError> {
        let mut encoded = Vec::new();
        let decoder = DeflateDecoder::new(&self.bytes[..]);
        let mut bounded = decoder.take(MAX_CONFIGURATION_BYTES);
        bounded
            .read_to_end(&mut encoded)
            .context(CompressionSnafu)?;
        postcard::from_bytes(&encoded).context(SerializationSnafu)
    }

    fn part(&self, offset: u64) -> Part {
        let begin = usize::try_from(offset).unwrap_or(usize::MAX);
        // A process whose offset lies beyond the end starts over.
        let begin = if begin < self.bytes.len() { begin } else { 0 };
        let end = self.bytes.len().min(begin + PART_BYTES);
        Part {
            version: self.version,
            digest: self.digest,
            offset: begin as u64,
            total: self.bytes.len() as u64,
            bytes: self.bytes.slice(begin..end),
        }
    }
}

/// The fetch in progress, and the images that are kept for other processes.
#[derive(Debug)]
pub(crate) struct Transfer {
    state: Mutex<State>,
    images: Mutex<VecDeque<Image>>,
}

#[derive(Debug)]
struct State {
    fetch: Fetch<Sender<Frame>>,
    received: BytesMut,
    /// When the first part was requested.
    started: Duration,
    /// Whether a task watches for sources that do not respond.
    is_watched: bool,
}

impl Default for Transfer {
    fn default() -> Self {
        let state = State {
            fetch: Fetch::new(PART_TIMEOUT),
            received: BytesMut::new(),
            started: Duration::ZERO,
            is_watched: false,
        };
        Self {
            state: Mutex::new(state),
            images: Mutex::default(),
        }
    }
}

impl Transfer {
    /// When the fetch in progress last advanced, as time since the start of the process; `None` if there
    /// is no fetch.
    pub(crate) fn progress(&self) -> Option<Duration> {
        lock(&self.state).fetch.progress()
    }

    fn keep(&self, image: Image) {
        let mut images = lock(&self.images);
        images.push_back(image);
        if images.len() > MAX_IMAGES {
            images.pop_front();
        }
    }

    /// The image of a version, or of the version in force if that image is not kept.
    fn image(&self, version: Version, configuration: &Configuration) -> Result<Image, CodecError> {
        let kept = |version: Version| {
            let images = lock(&self.images);
            let image = images.iter().find(|image| image.version == version);
            image.cloned()
        };
        if let Some(image) = kept(version).or_else(|| kept(configuration.version)) {
            return Ok(image);
        }
        let image = Image::encode(configuration)?;
        self.keep(image.clone());
        Ok(image)
    }
}

/// Starts to fetch a newer configuration that a peer has.
pub(super) fn offer<D: Downstream>(
    relay: &Arc<Relay<D>>,
    sender: &Sender<Frame>,
    version: Version,
) {
    let now = relay.now();
    let request = {
        let mut state = lock(&relay.peers.transfer.state);
        let request = state.fetch.offer(sender.clone(), version, now);
        state.reset_if_restarted(request, now)
    };
    request_part(relay, request);
    spawn_watcher(relay);
}

/// Continues the fetch with another source after a link was lost.
pub(super) fn link_lost<D: Downstream>(relay: &Arc<Relay<D>>, sender: &Sender<Frame>) {
    let request = next_source(relay, sender);
    request_part(relay, request);
}

/// Sends a peer the part that it requests.
pub(super) fn send_part<D: Downstream>(
    relay: &Relay<D>,
    sender: &Sender<Frame>,
    version: Version,
    offset: u64,
) {
    let Some(configuration) = relay.configuration() else {
        return;
    };
    match relay.peers.transfer.image(version, &configuration) {
        Ok(image) => {
            // If the queue is full, the peer requests the part from another process.
            let _ = sender.try_send(&Frame::Part(image.part(offset)));
        }
        Err(error) => {
            warn!(relay.log, "cannot encode configuration for peer"; "version" => configuration.version,
            "error" => %error);
        }
    }
}

/// Stores a received part; the last one completes the configuration.
pub(super) fn receive_part<D: Downstream>(
    relay: &Arc<Relay<D>>,
    sender: &Sender<Frame>,
    part: &Part,
) {
    let now = relay.now();
    let mut state = lock(&relay.peers.transfer.state);
    let action = state.fetch.part(sender, part.header(), now);
    let request = match action {
        PartAction::Ignore => return,
        PartAction::Reset(request) => Some(request),
        PartAction::Restart(request) => {
            state.received.clear();
            state.received.extend_from_slice(&part.bytes);
            request
        }
        PartAction::Append(request) => {
            state.received.extend_from_slice(&part.bytes);
            request
        }
    };
    if request.is_some() {
        let request = state.reset_if_restarted(request, now);
        drop(state);
        request_part(relay, request);
        return;
    }
    let image = Image::new(part.version, state.received.split().freeze());
    let took = now.saturating_sub(state.started);
    drop(state);
    complete(relay, sender, image, took);
}

fn complete<D: Downstream>(
    relay: &Arc<Relay<D>>,
    sender: &Sender<Frame>,
    image: Image,
    took: Duration,
) {
    let (version, bytes) = (image.version, image.bytes.len());
    let configuration = match image.decode() {
        Ok(configuration) => configuration,
        Err(error) => {
            warn!(relay.log, "cannot decode configuration from peer"; "version" => version,
                "error" => %error);
            link_lost(relay, sender);
            return;
        }
    };
    relay.peers.transfer.keep(image);
    let before = relay
        .configuration()
        .map(|configuration| configuration.version);
    let adopted = relay.adopt(configuration);
    relay.telemetry.configuration_copy(adopted);
    info!(relay.log, "received configuration from peer"; "version" => version, "before" => before,
        "adopted" => adopted, "bytes" => bytes, "took_ms" => millis(took));
    spawn_watcher(relay);
}

/// Sends the request for a part to its source, or to the next source if the link is lost or its queue is
/// full.
fn request_part<D: Downstream>(relay: &Relay<D>, mut next: Option<PartRequest<Sender<Frame>>>) {
    while let Some(request) = next {
        let (version, offset) = (request.version, request.offset);
        if offset == 0 {
            info!(relay.log, "requesting configuration from peer"; "version" => version);
        }
        if request
            .source
            .try_send(&Frame::AskPart { version, offset })
            .is_ok()
        {
            return;
        }
        next = next_source(relay, &request.source);
    }
}

/// Removes a source from the fetch; returns the request to the next one.
fn next_source<D: Downstream>(
    relay: &Relay<D>,
    source: &Sender<Frame>,
) -> Option<PartRequest<Sender<Frame>>> {
    let now = relay.now();
    let mut state = lock(&relay.peers.transfer.state);
    let request = state.fetch.lost(source, now);
    state.reset_if_restarted(request, now)
}

/// The task that watches the fetch. When it ends, also by a panic, a fetch in progress gets another one.
struct Watcher<D: Downstream>(Arc<Relay<D>>);

impl<D: Downstream> Drop for Watcher<D> {
    fn drop(&mut self) {
        lock(&self.0.peers.transfer.state).is_watched = false;
        spawn_watcher(&self.0);
    }
}

/// Starts a task that switches to another source when one does not respond, until the fetch has ended.
fn spawn_watcher<D: Downstream>(relay: &Arc<Relay<D>>) {
    // Without a runtime the process has ended.
    let Ok(runtime) = Handle::try_current() else {
        return;
    };
    {
        let mut state = lock(&relay.peers.transfer.state);
        if state.is_watched || state.fetch.progress().is_none() {
            return;
        }
        state.is_watched = true;
    }
    let relay = relay.clone();
    runtime.spawn(async move {
        // Created once the task runs: a runtime that shuts down drops new tasks at once, and each would start
        // the next one.
        let watcher = Watcher(relay);
        let relay = &watcher.0;
        loop {
            sleep(PART_TIMEOUT).await;
            let now = relay.now();
            let request = {
                let mut state = lock(&relay.peers.transfer.state);
                if state.fetch.progress().is_none() {
                    return;
                }
                let request = state.fetch.tick(now);
                state.reset_if_restarted(request, now)
            };
            request_part(relay, request);
        }
    });
}

impl State {
    /// Discards the received parts if the request starts the fetch over.
    fn reset_if_restarted(
        &mut self,
        request: Option<PartRequest<Sender<Frame>>>,
        now: Duration,
    ) -> Option<PartRequest<Sender<Frame>>> {
        if request.as_ref().is_some_and(|request| request.offset == 0) {
            self.started = now;
            self.received.clear();
        }
        request
    }
}

impl<D: Downstream> Relay<D> {
    /// Records that a configuration is in force, so that no older one is fetched any more.
    pub(crate) fn note_adopted(&self, version: Version) {
        let now = self.now();
        let request = {
            let mut state = lock(&self.peers.transfer.state);
            let request = state.fetch.note_known(version, now);
            state.reset_if_restarted(request, now)
        };
        request_part(self, request);
    }
}
