//! Pool services (encode, retrieve, rerank) and plain services.

use crate::answer;
use crate::call::Call;
use crate::fault::{CallFaults, FaultInjector};
use crate::log::LogEntry;
use crate::options::{Options, millis};
use crate::reply::{self, Body, Reply};
use crate::runner::{self, Runner};
use crate::slot::{Load, Permit, Slots};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A pool service, or a plain service, whose calls are never cancelled after their start.
#[derive(Clone)]
pub(crate) struct Pool {
    pub(crate) runner: Arc<Runner>,
    slots: Slots,
    injector: Arc<FaultInjector>,
    name: Arc<str>,
    service_ms: f64,
    plain: bool,
}

#[derive(Serialize)]
struct Output {
    text: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    serial: Option<usize>,
}

impl Pool {
    pub(crate) fn new(options: &Options, injector: Arc<FaultInjector>, plain: bool) -> Self {
        Self {
            runner: Arc::new(Runner::new(options)),
            slots: Slots::new(options.slots, options.lag()),
            injector,
            name: options.name.as_str().into(),
            service_ms: options.service_ms,
            plain,
        }
    }

    pub(crate) fn load(&self) -> Load {
        self.slots.load()
    }

    pub(crate) async fn run(&self, call: Call, faults: CallFaults) -> Reply {
        let input = match call.input() {
            Ok(input) => input,
            Err(error) => return Ok(reply::error(StatusCode::BAD_REQUEST, error)),
        };
        if self.plain {
            return self.run_plain(call, input, faults).await;
        }
        let cancel = self.runner.register(&call.id);
        let permit = tokio::select! {
            biased;
            () = cancel.token.cancelled() => return Ok(reply::not_run()),
            permit = self.slots.acquire(call.priority) => permit,
        };
        let entry = self.runner.log.start(&call);
        tokio::select! {
            biased;
            () = cancel.token.cancelled() => Ok(runner::cancelled(&call.id)),
            reply = self.execute(&call, &input, faults, entry, permit) => reply,
        }
    }

    /// If the client disconnects, only the waiting ends: the execution continues in its own task.
    async fn run_plain(&self, call: Call, input: answer::Input, faults: CallFaults) -> Reply {
        let cancel = self.runner.register(&call.id);
        let permit = tokio::select! {
            biased;
            () = cancel.token.cancelled() => return Ok(reply::not_run()),
            permit = self.slots.acquire(call.priority) => permit,
        };
        drop(cancel);
        let entry = self.runner.log.start(&call);
        let pool = self.clone();
        let execution = async move { pool.execute(&call, &input, faults, entry, permit).await };
        tokio::spawn(execution)
            .await
            .unwrap_or(Err(reply::ConnectionClosed))
    }

    async fn execute(
        &self,
        call: &Call,
        input: &answer::Input,
        faults: CallFaults,
        entry: LogEntry,
        permit: Permit,
    ) -> Reply {
        let start = Instant::now();
        let time = self.service_time();
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let busy_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        drop(permit);
        let response = self.response(call, input, faults, entry.number());
        runner::deliver(response, faults, entry, busy_us).await
    }

    fn service_time(&self) -> Duration {
        millis(self.runner.sample_time(self.service_ms) * self.injector.factor())
    }

    fn response(
        &self,
        call: &Call,
        input: &answer::Input,
        faults: CallFaults,
        serial: usize,
    ) -> Response<Body> {
        let other = self.runner.replace_latest(call, &input.text);
        let (id, text) = if faults.cross {
            (&other.id, &other.text)
        } else {
            (&call.id, &input.text)
        };
        let output = Output {
            text: answer::wrap(&self.name, text),
            serial: self.plain.then_some(serial + 1),
        };
        let mut response = if call.stream {
            let json = serde_json::to_vec(&output).unwrap_or_default();
            runner::single_event(&json, call.resume)
        } else {
            reply::json(StatusCode::OK, &output)
        };
        runner::insert_header(&mut response, "x-call", id);
        response
    }
}
