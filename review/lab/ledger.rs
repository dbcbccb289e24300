//! What clients sent, what runners ran, and the rules that were broken.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub route: &'static str,
    /// Number of pieces of each stage.
    pub pieces: Vec<u32>,
    pub key: String,
}

/// A result of a stage.
#[derive(Clone, Debug)]
pub struct Made {
    pub id: String,
    pub stage: usize,
    pub piece: u32,
    pub runner: String,
}

/// Counts of what happened.
#[derive(Default)]
pub struct State {
    pub sent: HashMap<String, Sent>,
    /// All results ever made, by handle.
    pub made: HashMap<String, Made>,
    /// Runs of each request, by runner.
    pub runs: HashMap<String, Vec<String>>,
    pub broken: Vec<String>,
    pub counts: HashMap<&'static str, u64>,
}

pub struct Ledger {
    state: Mutex<State>,
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Ledger {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            state: Mutex::default(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    pub fn count(&self, what: &'static str) {
        *self.state().counts.entry(what).or_default() += 1;
    }

    /// Records that a rule was broken.
    pub fn broke(&self, line: String) {
        self.note(&format!("BROKEN {line}"));
        self.state().broken.push(line);
    }

    /// Writes the totals; returns whether a rule was broken.
    pub fn finish(&self) -> bool {
        let (mut counts, broken) = {
            let state = self.state();
            let counts = state.counts.iter().map(|(what, count)| format!("{what}: {count}"));
            (counts.collect::<Vec<_>>(), state.broken.clone())
        };
        counts.sort();
        for line in &counts {
            self.note(&format!("total {line}"));
        }
        self.note(&format!("total broken: {}", broken.len()));
        println!("{}; broken: {}", counts.join("; "), broken.len());
        for line in broken.iter().take(5) {
            println!("  {line}");
        }
        let _ = self.file.lock().map(|mut file| file.flush());
        !broken.is_empty()
    }
}
