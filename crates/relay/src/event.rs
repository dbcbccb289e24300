//! Where the events of a stream begin and end.
//!
//! A runner may stop in the middle of an event. Only whole events are passed on, so that another
//! runner can go on after the last one that the caller has.

use crate::request::EventId;
use bytes::{Bytes, BytesMut};

/// Whole events that follow one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// As they came.
    pub bytes: Bytes,
    /// Id of the first one that has one.
    pub first: Option<EventId>,
    /// Id of the last one that has one.
    pub last: Option<EventId>,
}

/// Cuts a stream of bytes behind whole events.
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
    /// Takes in bytes and gives the whole events that are there now.
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

    /// Bytes after the last whole event.
    #[must_use]
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }
}

/// Position behind the last blank line, looking no further back than `from`.
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

/// Id that a line gives its event, if it does.
fn id(line: &[u8]) -> Option<EventId> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
