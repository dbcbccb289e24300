//! Parser for the server-sent events of a runner's stream.

use bytes::{Bytes, BytesMut};

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// Number of the event, if it has one.
    pub(crate) id: Option<u32>,
    /// Whether this is the end mark.
    pub(crate) done: bool,
    /// Content; shares memory with the parser's buffer.
    pub(crate) data: Bytes,
}

/// Incremental parser that splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
    /// Length of the buffer's prefix that is known to contain no line end.
    searched: usize,
    event: Event,
    has_fields: bool,
}

impl Parser {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Size in bytes of the incomplete event.
    pub(crate) fn pending(&self) -> usize {
        self.buffer.len() + self.event.data.len()
    }

    /// Returns the next complete event. An event that ends before its blank line is never returned.
    pub(crate) fn next(&mut self) -> Option<Event> {
        while let Some(line) = self.next_line() {
            if !line.is_empty() {
                self.parse_field(&line);
            } else if self.has_fields {
                self.has_fields = false;
                return Some(std::mem::take(&mut self.event));
            }
        }
        None
    }

    fn next_line(&mut self) -> Option<Bytes> {
        let fresh = &self.buffer[self.searched..];
        let Some(end) = fresh.iter().position(|&byte| byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = self.searched + end;
        self.searched = 0;
        let line = self.buffer.split_to(end + 1).freeze();
        let end = if line[..end].ends_with(b"\r") {
            end - 1
        } else {
            end
        };
        Some(line.slice(..end))
    }

    fn parse_field(&mut self, line: &Bytes) {
        let colon = line.iter().position(|&byte| byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        let value = field_value(line, colon);
        match name {
            b"id" => self.event.id = parse_id(&value),
            b"event" => self.event.done = value == "done",
            b"data" if self.event.data.is_empty() => self.event.data = value,
            b"data" => self.event.data = [&self.event.data[..], &value].join(&b'\n').into(),
            _ => return,
        }
        self.has_fields = true;
    }
}

fn field_value(line: &Bytes, colon: Option<usize>) -> Bytes {
    let Some(colon) = colon else {
        return Bytes::new();
    };
    let start = if line[colon + 1..].starts_with(b" ") {
        colon + 2
    } else {
        colon + 1
    };
    line.slice(start..)
}

fn parse_id(text: &[u8]) -> Option<u32> {
    std::str::from_utf8(text).ok()?.parse().ok()
}
