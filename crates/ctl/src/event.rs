//! Parser for server-sent events.

use std::mem;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Event type; empty for a part of the answer.
    pub name: String,
    /// Event id, from which an interrupted stream is resumed.
    pub id: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Incremental parser that splits a byte stream into events.
///
/// # Examples
///
/// ```
/// let mut parser = ctl::event::Parser::default();
/// assert!(parser.push(b"id: 0\ndata: \"a").is_empty());
/// let events = parser.push(b"\"\n\n");
/// assert_eq!((events[0].id.as_str(), events[0].data.as_str()), ("0", "\"a\""));
/// ```
#[derive(Debug, Default)]
pub struct Parser {
    remaining: Vec<u8>,
    event: Event,
    started: bool,
}

impl Parser {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.remaining.extend_from_slice(bytes);
        let Some(end) = self.remaining.iter().rposition(|byte| *byte == b'\n') else {
            return Vec::new();
        };
        let remaining = self.remaining.split_off(end + 1);
        let complete = mem::replace(&mut self.remaining, remaining);
        let text = String::from_utf8_lossy(&complete);
        text.lines().filter_map(|line| self.line(line)).collect()
    }

    fn line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = mem::take(&mut self.event);
            return mem::take(&mut self.started).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        self.started |= !field.is_empty();
        match field {
            "event" => value.clone_into(&mut self.event.name),
            "id" => value.clone_into(&mut self.event.id),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
        None
    }
}
