//! Pool services (encode, retrieve, rerank) and plain services.

use crate::answer;
use crate::call::Call;
use crate::fault::{Draw, Switch};
use crate::log::Entry;
use crate::options::{Options, millis};
use crate::reply::{self, Body, Reply};
use crate::runner::{self, Runner};
use crate::slot::{Load, Permit, Slots};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A pool service, or a plain one, whose calls are never stopped once started.
#[derive(Clone)]
pub(crate) struct Pool {
    pub(crate) runner: Arc<Runner>,
    slots: Slots,
    switch: Arc<Switch>,
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
    pub(crate) fn new(options: &Options, switch: Arc<Switch>, plain: bool) -> Self {
        Self {
            runner: Arc::new(Runner::new(options)),
            slots: Slots::new(options.slots, options.lag()),
            switch,
            name: options.name.as_str().into(),
            service_ms: options.service_ms,
            plain,
        }
    }

    pub(crate) fn load(&self) -> Load {
        self.slots.load()
    }

    pub(crate) async fn run(&self, call: Call, draw: Draw) -> Reply {
        let input = match call.input() {
            Ok(input) => input,
            Err(error) => return Ok(reply::error(StatusCode::BAD_REQUEST, error)),
        };
        if self.plain {
            return self.run_plain(call, input, draw).await;
        }
        let cancel = self.runner.watch(&call.id);
        let permit = tokio::select! {
            biased;
            () = cancel.token.cancelled() => return Ok(reply::not_run()),
            permit = self.slots.take(call.priority) => permit,
        };
        let entry = self.runner.log.start(&call);
        tokio::select! {
            biased;
            () = cancel.token.cancelled() => Ok(runner::cancelled(&call.id)),
            reply = self.work(&call, &input, draw, entry, permit) => reply,
        }
    }

    /// Only the wait ends with the caller: the work goes on in a task of its own.
    async fn run_plain(&self, call: Call, input: answer::Input, draw: Draw) -> Reply {
        let cancel = self.runner.watch(&call.id);
        let permit = tokio::select! {
            biased;
            () = cancel.token.cancelled() => return Ok(reply::not_run()),
            permit = self.slots.take(call.priority) => permit,
        };
        drop(cancel);
        let entry = self.runner.log.start(&call);
        let pool = self.clone();
        let work = async move { pool.work(&call, &input, draw, entry, permit).await };
        tokio::spawn(work).await.unwrap_or(Err(reply::Broken))
    }

    async fn work(
        &self,
        call: &Call,
        input: &answer::Input,
        draw: Draw,
        entry: Entry,
        permit: Permit,
    ) -> Reply {
        let start = Instant::now();
        let time = self.time();
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let busy_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        drop(permit);
        let response = self.answer(call, input, draw, entry.serial());
        runner::deliver(response, draw, entry, busy_us).await
    }

    fn time(&self) -> Duration {
        millis(self.runner.spread(self.service_ms) * self.switch.factor())
    }

    fn answer(
        &self,
        call: &Call,
        input: &answer::Input,
        draw: Draw,
        serial: usize,
    ) -> Response<Body> {
        let other = self.runner.other(call, &input.text);
        let (id, text) = if draw.cross {
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
        runner::insert(&mut response, "x-call", id);
        response
    }
}
