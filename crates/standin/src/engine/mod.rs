//! A model engine with continuous batching.
//!
//! * [`batch`]: waiting and running sequences, executed in steps
//! * [`cache`]: the prefix cache and its events
//! * [`fetch`]: downloads from the weight store
//! * [`order`]: models, adapters, versions and roles
//! * [`stream`]: the events of one response

mod batch;
mod cache;
mod fetch;
mod order;
mod stream;

pub(crate) use stream::Stream;

use crate::answer;
use crate::call::{self, Call};
use crate::fault::{CallFaults, FaultInjector};
use crate::options::Options;
use crate::reply::{self, Body, ConnectionClosed, Reply};
use crate::runner::{self, CancelGuard, Runner};
use crate::slot::Load;
use batch::{Batch, Progress, Request};
use bytes::Bytes;
use cache::Cache;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use order::Orders;
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::UnboundedReceiver;

/// Size of an exported block.
const BLOCK_BYTES: usize = 1024;

/// The engine; clones share it.
#[derive(Clone)]
pub(crate) struct Engine {
    pub(crate) runner: Arc<Runner>,
    batch: Arc<Batch>,
    cache: Arc<Mutex<Cache>>,
    orders: Arc<Orders>,
    tokens: u32,
}

#[derive(Serialize)]
struct Output {
    text: String,
    tokens: u32,
}

/// An execution that has started.
struct Started {
    entry: crate::log::LogEntry,
    hits: usize,
    busy_us: u64,
    receiver: UnboundedReceiver<Progress>,
    cancel: CancelGuard,
}

impl Engine {
    pub(crate) fn new(options: &Options, injector: Arc<FaultInjector>) -> Self {
        let runner = Arc::new(Runner::new(options));
        let cache = Arc::new(Mutex::new(Cache::new(options)));
        let batch = Batch::new(options, injector, Arc::clone(&runner), Arc::clone(&cache));
        Self {
            runner,
            batch: Arc::new(batch),
            cache,
            orders: Arc::new(Orders::new(options)),
            tokens: options.tokens,
        }
    }

    /// Runs the steps of the batch.
    pub(crate) async fn run_steps(self) {
        self.batch.run_steps().await;
    }

    pub(crate) fn load(&self) -> Load {
        self.batch.load()
    }

    pub(crate) async fn run(&self, call: Call, faults: CallFaults) -> Reply {
        let input = match call.input() {
            Ok(input) => input,
            Err(error) => return Ok(reply::error(StatusCode::BAD_REQUEST, error)),
        };
        let mut models = input.model.iter().chain(&call.model);
        if models.any(|model| !self.orders.has_model(model)) {
            return Ok(reply::not_run());
        }
        let total = input.max_tokens.unwrap_or(self.tokens);
        let Some(started) = self.start(&call, total).await else {
            return Ok(reply::not_run());
        };
        let other = self.runner.replace_latest(&call, &input.text);
        let (id, text) = if faults.cross {
            (other.id, other.text)
        } else {
            (call.id.clone(), input.text)
        };
        let hits = started.hits;
        let reply = if call.stream && !faults.lose && !faults.fail {
            self.respond_stream(started, &call, text, total, faults)
                .await
        } else {
            self.respond_complete(started, &call, &text, total, faults)
                .await
        };
        reply.map(|mut response| {
            runner::insert_header(&mut response, "x-call", &id);
            runner::insert_header(&mut response, "x-prefix-hits", &hits.to_string());
            response
        })
    }

    /// Waits until the call is in the batch; `None` if it is cancelled before.
    async fn start(&self, call: &Call, total: u32) -> Option<Started> {
        let cancel = self.runner.register(&call.id);
        let (queued, mut receiver) = self.batch.enqueue(Request {
            call: call.clone(),
            total,
            cancelled: cancel.token.clone(),
        });
        let mut first = tokio::select! {
            first = receiver.recv() => first,
            () = cancel.token.cancelled() => None,
        };
        if first.is_none() {
            // The batch may have just admitted the call, and "not run" would be false: only a call
            // that is still in the queue has not run.
            if queued.remove() {
                return None;
            }
            first = receiver.recv().await;
        }
        match first {
            Some(Progress::Start {
                entry,
                hits,
                busy_us,
            }) => Some(Started {
                entry,
                hits,
                busy_us,
                receiver,
                cancel,
            }),
            _ => None,
        }
    }

    async fn respond_stream(
        &self,
        started: Started,
        call: &Call,
        text: String,
        total: u32,
        faults: CallFaults,
    ) -> Reply {
        if !faults.late.is_zero() {
            tokio::time::sleep(faults.late).await;
        }
        let busy_us = started.busy_us;
        let stream = Stream::new(started, text, call.resume, total, faults);
        let mut response = Response::new(Body::Stream(Box::new(stream)));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        runner::insert_header(&mut response, "x-busy-us", &busy_us.to_string());
        Ok(response)
    }

    async fn respond_complete(
        &self,
        started: Started,
        call: &Call,
        text: &str,
        total: u32,
        faults: CallFaults,
    ) -> Reply {
        let Started {
            entry,
            mut receiver,
            cancel: _cancel,
            ..
        } = started;
        let busy_us = loop {
            match receiver.recv().await {
                Some(Progress::Done { busy_us }) => break busy_us,
                Some(_) => {}
                None => return Ok(runner::cancelled(&call.id)),
            }
        };
        let output = Output {
            text: answer::tokens(text, total),
            tokens: total,
        };
        let response = reply::json(StatusCode::OK, &output);
        runner::deliver(response, faults, entry, busy_us).await
    }

    pub(crate) async fn order(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(order) => {
                let orders = Arc::clone(&self.orders);
                // Loading continues if the sender of the order disconnects.
                let done = tokio::spawn(async move { orders.execute(order).await }).await;
                done.map(reply::empty).map_err(|_| ConnectionClosed)
            }
            Err(error) => Ok(reply::error(StatusCode::BAD_REQUEST, error)),
        }
    }

    pub(crate) fn orders(&self) -> Response<Body> {
        reply::json(StatusCode::OK, &self.orders.journal())
    }

    pub(crate) fn models(&self) -> Response<Body> {
        reply::json(StatusCode::OK, &self.orders.models())
    }

    pub(crate) fn cache_events(&self, after: u64) -> Response<Body> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        reply::json(StatusCode::OK, &cache.events(after))
    }

    pub(crate) fn export(&self, block: &str) -> Response<Body> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        match call::parse_block(block).filter(|block| cache.contains(*block)) {
            Some(block) => {
                let bytes = block.to_be_bytes().repeat(BLOCK_BYTES / size_of::<u64>());
                reply::bytes(StatusCode::OK, Bytes::from(bytes))
            }
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    pub(crate) fn import(&self, block: &str) -> Response<Body> {
        let Some(block) = call::parse_block(block) else {
            return reply::error(StatusCode::BAD_REQUEST, "not a hash in hex");
        };
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.touch(&[block]);
        reply::empty(StatusCode::NO_CONTENT)
    }
}
