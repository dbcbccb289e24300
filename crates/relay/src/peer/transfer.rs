//! Configurations that processes fetch from one another, in parts.

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
use tokio::time::sleep;
use wire::Sender;

/// Bytes of a part. What is sent behind one waits for 7 ms on a link of 10 Mbit/s.
const PART: usize = 8 << 10;
/// Time that a source has for a part before another one is asked.
const PATIENCE: Duration = Duration::from_millis(500);
/// Images that are kept for those that have begun to fetch one while newer versions come.
const IMAGES: usize = 3;
/// Bytes of a configuration at most, as it is encoded.
const MAX_BYTES: u64 = wire::link::MAX_FRAME_BYTES as u64;

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    version: Version,
    /// Hash of the whole image.
    digest: u64,
    /// Position of the first byte.
    offset: u64,
    /// Bytes of the whole image.
    total: u64,
    bytes: Bytes,
}

impl Part {
    fn outline(&self) -> fetch::Part {
        fetch::Part {
            version: self.version,
            digest: self.digest,
            offset: self.offset,
            length: self.bytes.len() as u64,
            total: self.total,
        }
    }
}

/// Why an image cannot be read.
#[derive(Debug, Snafu)]
enum Unreadable {
    #[snafu(display("compressed: {source}"))]
    Compressed { source: std::io::Error },
    #[snafu(display("encoded: {source}"))]
    Encoded { source: postcard::Error },
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

    fn encode(configuration: &Configuration) -> Result<Self, Unreadable> {
        let encoded = postcard::to_stdvec(configuration).context(EncodedSnafu)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encoded).context(CompressedSnafu)?;
        let bytes = encoder.finish().context(CompressedSnafu)?;
        Ok(Self::new(configuration.version, bytes.into()))
    }

    fn decode(&self) -> Result<Configuration, Unreadable> {
        let mut encoded = Vec::new();
        let decoder = DeflateDecoder::new(&self.bytes[..]);
        let mut bounded = decoder.take(MAX_BYTES);
        bounded.read_to_end(&mut encoded).context(CompressedSnafu)?;
        postcard::from_bytes(&encoded).context(EncodedSnafu)
    }

    fn part(&self, offset: u64) -> Part {
        let begin = usize::try_from(offset).unwrap_or(usize::MAX);
        // One who has more than there is begins anew.
        let begin = if begin < self.bytes.len() { begin } else { 0 };
        let end = self.bytes.len().min(begin + PART);
        Part {
            version: self.version,
            digest: self.digest,
            offset: begin as u64,
            total: self.bytes.len() as u64,
            bytes: self.bytes.slice(begin..end),
        }
    }
}

/// What is fetched and what is kept for others.
#[derive(Debug)]
pub(crate) struct Transfer {
    state: Mutex<State>,
    images: Mutex<VecDeque<Image>>,
}

#[derive(Debug)]
struct State {
    fetch: Fetch<Sender<Frame>>,
    received: BytesMut,
    /// When the first question was asked.
    begun: Duration,
    /// Whether a task looks after silent sources.
    is_watched: bool,
}

impl Default for Transfer {
    fn default() -> Self {
        let state = State {
            fetch: Fetch::new(PATIENCE),
            received: BytesMut::new(),
            begun: Duration::ZERO,
            is_watched: false,
        };
        Self {
            state: Mutex::new(state),
            images: Mutex::default(),
        }
    }
}

impl Transfer {
    /// When the fetch in progress last got on, from the start of the process, if there is one.
    pub(crate) fn progress(&self) -> Option<Duration> {
        lock(&self.state).fetch.progress()
    }

    fn keep(&self, image: Image) {
        let mut images = lock(&self.images);
        images.push_back(image);
        if images.len() > IMAGES {
            images.pop_front();
        }
    }

    /// The image of a version, or of the one in force where that is not kept.
    fn image(&self, version: Version, configuration: &Configuration) -> Result<Image, Unreadable> {
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

/// A peer has a newer configuration.
pub(super) fn offer<D: Downstream>(
    relay: &Arc<Relay<D>>,
    sender: &Sender<Frame>,
    version: Version,
) {
    let now = relay.now();
    let question = {
        let mut state = lock(&relay.peers.transfer.state);
        let question = state.fetch.offer(sender.clone(), version, now);
        state.note_asked(question, now)
    };
    ask(relay, question);
    watch(relay);
}

/// A link is gone.
pub(super) fn lost<D: Downstream>(relay: &Arc<Relay<D>>, sender: &Sender<Frame>) {
    let question = next_source(relay, sender);
    ask(relay, question);
}

/// Sends a peer the part that it asks for.
pub(super) fn answer<D: Downstream>(
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
            // One whose queue is full asks another process.
            let _ = sender.try_send(&Frame::Part(image.part(offset)));
        }
        Err(error) => {
            warn!(relay.log, "configuration not encoded for a peer"; "version" => configuration.version,
            "error" => %error);
        }
    }
}

/// Takes in a part; the last one completes the configuration.
pub(super) fn take<D: Downstream>(relay: &Arc<Relay<D>>, sender: &Sender<Frame>, part: &Part) {
    let now = relay.now();
    let mut state = lock(&relay.peers.transfer.state);
    let taken = state.fetch.part(sender, part.outline(), now);
    let question = match taken {
        PartAction::Ignore => return,
        PartAction::Reset(question) => Some(question),
        PartAction::Restart(question) => {
            state.received.clear();
            state.received.extend_from_slice(&part.bytes);
            question
        }
        PartAction::Append(question) => {
            state.received.extend_from_slice(&part.bytes);
            question
        }
    };
    if question.is_some() {
        let question = state.note_asked(question, now);
        drop(state);
        ask(relay, question);
        return;
    }
    let image = Image::new(part.version, state.received.split().freeze());
    let took = now.saturating_sub(state.begun);
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
            warn!(relay.log, "configuration from a peer unreadable"; "version" => version,
                "error" => %error);
            lost(relay, sender);
            return;
        }
    };
    relay.peers.transfer.keep(image);
    let before = relay
        .configuration()
        .map(|configuration| configuration.version);
    let adopted = relay.adopt(configuration);
    relay.telemetry.configuration_copy(adopted);
    info!(relay.log, "configuration from a peer"; "version" => version, "before" => before,
        "adopted" => adopted, "bytes" => bytes, "took_ms" => millis(took));
    watch(relay);
}

/// Asks a source, or the next one where its link is gone or full.
fn ask<D: Downstream>(relay: &Relay<D>, mut question: Option<PartRequest<Sender<Frame>>>) {
    while let Some(asked) = question {
        let (version, offset) = (asked.version, asked.offset);
        if offset == 0 {
            info!(relay.log, "configuration asked of a peer"; "version" => version);
        }
        if asked
            .source
            .try_send(&Frame::AskPart { version, offset })
            .is_ok()
        {
            return;
        }
        question = next_source(relay, &asked.source);
    }
}

/// Goes on without a source.
fn next_source<D: Downstream>(
    relay: &Relay<D>,
    source: &Sender<Frame>,
) -> Option<PartRequest<Sender<Frame>>> {
    let now = relay.now();
    let mut state = lock(&relay.peers.transfer.state);
    let question = state.fetch.lost(source, now);
    state.note_asked(question, now)
}

/// Goes on with other sources where one falls silent, as long as something is fetched.
fn watch<D: Downstream>(relay: &Arc<Relay<D>>) {
    {
        let mut state = lock(&relay.peers.transfer.state);
        if state.is_watched || state.fetch.progress().is_none() {
            return;
        }
        state.is_watched = true;
    }
    let relay = relay.clone();
    tokio::spawn(async move {
        loop {
            sleep(PATIENCE).await;
            let now = relay.now();
            let question = {
                let mut state = lock(&relay.peers.transfer.state);
                if state.fetch.progress().is_none() {
                    state.is_watched = false;
                    return;
                }
                let question = state.fetch.tick(now);
                state.note_asked(question, now)
            };
            ask(&relay, question);
        }
    });
}

impl State {
    /// Drops what has come before where a question begins a fetch anew.
    fn note_asked(
        &mut self,
        question: Option<PartRequest<Sender<Frame>>>,
        now: Duration,
    ) -> Option<PartRequest<Sender<Frame>>> {
        if question
            .as_ref()
            .is_some_and(|question| question.offset == 0)
        {
            self.begun = now;
            self.received.clear();
        }
        question
    }
}

impl<D: Downstream> Relay<D> {
    /// A configuration is in force, so that no older one is fetched any more.
    pub(crate) fn note_adopted(&self, version: Version) {
        let now = self.now();
        let question = {
            let mut state = lock(&self.peers.transfer.state);
            let question = state.fetch.note_known(version, now);
            state.note_asked(question, now)
        };
        ask(self, question);
    }
}
