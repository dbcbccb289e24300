//! Where the events of a stream begin and end.
//!
//! A runner may stop in the middle of an event. Only whole events are passed on, so that another
//! runner can go on after the last one that the caller has.

use crate::request::EventId;
use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes behind whole events.
///
/// # Examples
///
/// ```
/// use relay::event::Splitter;
///
/// let mut splitter = Splitter::default();
/// assert!(splitter.push(b"id: 7\ndata: a\n").is_none());
/// let (bytes, last) = splitter.push(b"\nid: 8\nda").unwrap();
/// assert_eq!(&bytes[..], b"id: 7\ndata: a\n\n");
/// assert_eq!(last, Some(7));
/// assert_eq!(splitter.rest(), b"id: 8\nda");
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes in bytes and gives the whole events that are there now, with the id of the last one
    /// that has one.
    pub fn push(&mut self, bytes: &[u8]) -> Option<(Bytes, Option<EventId>)> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let end = last_end(&self.buffer, searched)?;
        let whole = self.buffer.split_to(end).freeze();
        let last = last_id(&whole);
        Some((whole, last))
    }

    /// Bytes after the last whole event.
    #[must_use]
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }
}

/// Position behind the last blank line, looking no further back than `from`.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).rev().find_map(|place| {
        let rest = &bytes[place..];
        let blank = if rest.starts_with(b"\n\n") {
            2
        } else if rest.starts_with(b"\n\r\n") {
            3
        } else {
            return None;
        };
        Some(place + blank)
    })
}

/// Id of the last event that has one.
fn last_id(events: &[u8]) -> Option<EventId> {
    events
        .rsplit(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
