//! Execution log, cancellation and responses, shared by pools, plain services and engines.

use crate::call::Call;
use crate::fault::CallFaults;
use crate::log::{ExecutionStatus, Log, LogEntry};
use crate::options::Options;
use crate::reply::{self, Body, ConnectionClosed, Reply};
use foldhash::fast::RandomState;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio_util::sync::CancellationToken;

/// Id and text in a `cross` response if there has been no other call yet.
const UNKNOWN: &str = "00000000000000000000000000000000-0-0";

/// State that all runners have.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) log: Log,
    cancels: Mutex<HashMap<String, CancelState, RandomState>>,
    latest: Mutex<Option<OtherCall>>,
    rng: Mutex<SmallRng>,
    jitter: f64,
}

/// Calls with the same id; cancelling cancels all of them.
#[derive(Debug, Default)]
struct CancelState {
    token: CancellationToken,
    calls: usize,
}

/// Another call, whose response is sent under the `cross` fault.
#[derive(Clone, Debug)]
pub(crate) struct OtherCall {
    pub(crate) id: String,
    pub(crate) text: String,
}

/// A call that can be cancelled until this is dropped.
pub(crate) struct CancelGuard {
    runner: Arc<Runner>,
    id: String,
    pub(crate) token: CancellationToken,
}

impl Runner {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            log: Log::default(),
            cancels: Mutex::default(),
            latest: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            jitter: options.jitter,
        }
    }

    /// Registers a call for [`Runner::cancel`].
    pub(crate) fn register(self: &Arc<Self>, id: &str) -> CancelGuard {
        let mut cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        let state = cancels.entry(id.to_owned()).or_default();
        state.calls += 1;
        let token = state.token.clone();
        drop(cancels);
        CancelGuard {
            runner: Arc::clone(self),
            id: id.to_owned(),
            token,
        }
    }

    pub(crate) fn cancel(&self, id: &str) -> Reply {
        let cancels = self.cancels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = cancels.get(id) {
            state.token.cancel();
        }
        Ok(reply::empty(StatusCode::NO_CONTENT))
    }

    /// Samples an execution time from a log-normal distribution with this median.
    pub(crate) fn sample_time(&self, median: f64) -> f64 {
        if self.jitter <= 0.0 {
            return median;
        }
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        // The sum of twelve uniform samples minus six approximates a standard normal sample.
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        median * (self.jitter * normal).exp()
    }

    /// Stores a call for the `cross` fault and returns the previous one.
    pub(crate) fn replace_latest(&self, call: &Call, text: &str) -> OtherCall {
        let this = OtherCall {
            id: call.id.clone(),
            text: text.to_owned(),
        };
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        latest.replace(this).unwrap_or_else(|| OtherCall {
            id: UNKNOWN.to_owned(),
            text: UNKNOWN.to_owned(),
        })
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let cancels = self.runner.cancels.lock();
        let mut cancels = cancels.unwrap_or_else(PoisonError::into_inner);
        let Some(state) = cancels.get_mut(&self.id) else {
            return;
        };
        state.calls -= 1;
        if state.calls == 0 {
            cancels.remove(&self.id);
        }
    }
}

/// Applies the faults to a finished JSON response and logs how the execution ended.
pub(crate) async fn deliver(
    mut response: Response<Body>,
    faults: CallFaults,
    mut entry: LogEntry,
    busy_us: u64,
) -> Reply {
    if !faults.late.is_zero() {
        tokio::time::sleep(faults.late).await;
    }
    insert_header(&mut response, "x-busy-us", &busy_us.to_string());
    if faults.lose {
        entry.end(ExecutionStatus::Cut, busy_us);
        return Err(ConnectionClosed);
    }
    if faults.fail {
        entry.end(ExecutionStatus::Failed, busy_us);
        return Ok(failed(&response));
    }
    if faults.cut || faults.truncate {
        entry.end(ExecutionStatus::Cut, busy_us);
        return Ok(reply::cut(response));
    }
    entry.end(ExecutionStatus::Answered, busy_us);
    Ok(response)
}

/// An error in place of a response; keeps the id and the execution time.
fn failed(answer: &Response<Body>) -> Response<Body> {
    let mut failure = reply::error(StatusCode::INTERNAL_SERVER_ERROR, "failed by a switch");
    for name in ["x-call", "x-busy-us"] {
        if let Some(value) = answer.headers().get(name) {
            failure.headers_mut().insert(name, value.clone());
        }
    }
    failure
}

/// Sets a header; an invalid value is skipped.
pub(crate) fn insert_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// The response to a call that was cancelled after its start.
pub(crate) fn cancelled(id: &str) -> Response<Body> {
    let mut response = reply::error(StatusCode::INTERNAL_SERVER_ERROR, "cancelled");
    insert_header(&mut response, "x-call", id);
    response
}

/// A JSON response as a stream of one event, which is omitted if `resume` is not 0.
pub(crate) fn single_event(json: &[u8], resume: u32) -> Response<Body> {
    let json = String::from_utf8_lossy(json);
    let event = match resume {
        0 => format!("id: 0\ndata: {json}\n\n"),
        _ => String::new(),
    };
    let body = format!("{event}event: done\ndata: {{\"chunks\":1}}\n\n");
    let mut response = reply::bytes(StatusCode::OK, body);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
