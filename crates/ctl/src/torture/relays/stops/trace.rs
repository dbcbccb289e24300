//! What the relays' logs say of requests that were lost.

use super::account::Fate;
use super::failed;
use crate::Error;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Lines of the relays' logs by request.
#[derive(Debug, Default)]
pub struct Trace(BTreeMap<String, Vec<Value>>);

impl Trace {
    /// Reads the lines of requests that were lost or answered wrongly.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a log cannot be read.
    pub fn read(logs: &Path, fates: &BTreeMap<String, Fate>) -> Result<Self, Error> {
        let mut trace = Self::default();
        for entry in std::fs::read_dir(logs).map_err(|error| failed(&error))? {
            let path = entry.map_err(|error| failed(&error))?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                trace.read_log(&path, fates)?;
            }
        }
        let time = |line: &Value| line["ts"].as_str().unwrap_or_default().to_owned();
        trace
            .0
            .values_mut()
            .for_each(|lines| lines.sort_by_key(time));
        Ok(trace)
    }

    fn read_log(&mut self, path: &Path, fates: &BTreeMap<String, Fate>) -> Result<(), Error> {
        let file = File::open(path).map_err(|error| failed(&error))?;
        for line in BufReader::new(file).lines() {
            let line = line.map_err(|error| failed(&error))?;
            // Messages of the process that are no log lines, such as a panic, concern no request.
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            let request = line["request"].as_str().unwrap_or_default().to_owned();
            let fate = fates.get(&request);
            let is_wanted =
                |fate: &Fate| matches!(fate, Fate::Lost(_) | Fate::Wrong | Fate::FalselyRefused);
            if fate.is_some_and(is_wanted) {
                self.0.entry(request).or_default().push(line);
            }
        }
        Ok(())
    }

    /// The lines that concern a request, in order of time.
    #[must_use]
    pub fn lines(&self, request: &str) -> Vec<String> {
        let lines = self.0.get(request).into_iter().flatten();
        lines.map(Value::to_string).collect()
    }

    /// Why a request was lost, as far as the log tells: why its response was cut off and, of a stream that was
    /// given up, why no other runner has resumed it.
    #[must_use]
    pub fn cause(&self, request: &str) -> String {
        let lines = self.0.get(request).map_or(&[][..], Vec::as_slice);
        let last = |msg: &str| lines.iter().rposition(|line| line["msg"] == msg);
        let Some(cut) = last("response cut off") else {
            return "response not cut off by the relay".to_owned();
        };
        let reason = general(&lines[cut]["reason"]);
        let phase = general(&lines[cut]["phase"]);
        if last("stream aborted").is_none() {
            return format!("{reason} while {phase}");
        }
        let stream = last("stream").unwrap_or(0);
        let streams = lines.iter().filter(|line| line["msg"] == "stream").count();
        let after = || lines[stream..].iter();
        let refused = after().find(|line| line["msg"] == "retry" && line["granted"] == false);
        let calls: Vec<String> = after()
            .filter(|line| line["msg"] == "call")
            .map(|line| general(&line["outcome"]))
            .collect();
        let not_resumed = match (refused, calls.is_empty()) {
            (Some(line), _) if line["processes"].is_null() => "retry refused without share",
            (Some(_), _) => "retry refused with share",
            (None, false) => "runners refused",
            (None, true) if streams > 1 => "attempts used up",
            (None, true) => "no runner asked",
        };
        format!("{reason}, {not_resumed} {calls:?}")
    }
}

/// The text of a field without names and numbers.
fn general(value: &Value) -> String {
    let text = value.as_str().unwrap_or("no reason");
    let words = text.split(' ').map(|word| {
        if word.bytes().any(|byte| byte.is_ascii_digit()) && word.len() > 3 {
            "N"
        } else {
            word
        }
    });
    words.collect::<Vec<_>>().join(" ")
}
