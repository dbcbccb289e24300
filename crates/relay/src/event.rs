//! Boundaries of server-sent events in a byte stream.
//!
//! A runner may stop in the middle of an event. Only complete events are forwarded, so that another
//! runner can resume after the last event that the client has received.

use crate::request::EventId;
use bytes::{Bytes, BytesMut};

/// One or more consecutive complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Id of the first event that has an id.
    pub first: Option<EventId>,
    /// Id of the last event that has an id.
    pub last: Option<EventId>,
}

/// Splits a byte stream into complete events.
///
/// # Examples
///
/// ```
/// use relay::event::Splitter;
///
/// let mut splitter = Splitter::default();
/// assert!(splitter.push(b"id: 7\ndata: a\n").is_none());
/// let events = splitter.push(b"\nid: 8\nda").unwrap();
/// assert_eq!(&events.bytes[..], b"id: 7\ndata: a\n\n");
/// assert_eq!((events.first, events.last), (Some(7), Some(7)));
/// assert_eq!(splitter.rest(), b"id: 8\nda");
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let end = end_of_last_event(&self.buffer, searched)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Events {
            first: bytes.split(newline).find_map(id),
            last: bytes.rsplit(newline).find_map(id),
            bytes,
        })
    }

    /// Bytes after the last complete event.
    #[must_use]
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }
}

/// Position after the last blank line, searching back to `from` at most.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).rev().find_map(|position| {
        let rest = &bytes[position..];
        let blank = if rest.starts_with(b"\n\n") {
            2
        } else if rest.starts_with(b"\n\r\n") {
            3
        } else {
            return None;
        };
        Some(position + blank)
    })
}

fn newline(byte: &u8) -> bool {
    *byte == b'\n'
}

/// Event id set by a line, if any.
fn id(line: &[u8]) -> Option<EventId> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
