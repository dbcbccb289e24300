//! Stand-ins and scripts of the review. `lab CASE FOLDER` plays a case and writes `record.txt` into the
//! folder. Exit status: 1 if a rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod extra;
mod http;
mod json;
mod ledger;
mod proxy;
mod runner;
mod silent;
mod store;
mod system;

use ledger::Ledger;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};

/// Why a case could not run.
pub type Failed = String;

/// A random number from 0 up to 1.
pub fn random() -> f64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = || {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        now.as_nanos() as u64 | 1
    };
    let step = |state: u64| {
        let mut next = if state == 0 { seed() } else { state };
        next ^= next << 13;
        next ^= next >> 7;
        next ^= next << 17;
        next
    };
    let before = STATE.fetch_update(Relaxed, Relaxed, |state| Some(step(state)));
    let next = step(before.unwrap_or(1));
    (next >> 11) as f64 / (1_u64 << 53) as f64
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: lab CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = PathBuf::from(folder).join("record.txt");
    let ledger = match Ledger::create(&record) {
        Ok(ledger) => Arc::new(ledger),
        Err(error) => {
            eprintln!("{}: {error}", record.display());
            return ExitCode::from(2);
        }
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    ledger.note(&format!("case {case}, trouble: {with_trouble}"));
    let played = match case.as_str() {
        "extra" => extra::play(&ledger, with_trouble),
        "silent" => silent::play(&ledger, with_trouble),
        _ => Err(format!("no case {case}")),
    };
    match played {
        Ok(()) if ledger.finish() => ExitCode::from(1),
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            ledger.note(&format!("could not run: {reason}"));
            ledger.finish();
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
