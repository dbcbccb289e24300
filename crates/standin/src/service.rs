//! Routes requests to the stand-in of the configured kind.

use crate::call::Call;
use crate::engine::Engine;
use crate::fault::{CallFaults, FaultInjector, Faults};
use crate::kind::Kind;
use crate::object::ObjectStore;
use crate::options::Options;
use crate::pool::Pool;
use crate::query;
use crate::reply::{self, Body, ConnectionClosed, Reply};
use crate::runner::Runner;
use crate::table::{Query, TableService};
use crate::vm::Vms;
use crate::weight::WeightStore;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;

/// Path prefix of fault injection, the log and the current list of VMs.
const ADMIN_PREFIX: &str = "/standin/";

/// A stand-in with its fault injector; clones share both.
#[derive(Clone)]
pub(crate) struct Service {
    injector: Arc<FaultInjector>,
    backend: Backend,
}

#[derive(Clone)]
enum Backend {
    Table(Arc<TableService>),
    Object(Arc<ObjectStore>),
    Weight(Arc<WeightStore>),
    Vm(Arc<Vms>),
    Engine(Engine),
    Pool(Pool),
}

impl Service {
    pub(crate) fn new(kind: Kind, options: &Options) -> Self {
        let injector = Arc::new(FaultInjector::new(options.seed));
        let backend = match kind {
            Kind::Table => Backend::Table(Arc::new(TableService::new(options))),
            Kind::Object => Backend::Object(Arc::default()),
            Kind::Weight => Backend::Weight(Arc::new(WeightStore::new(options))),
            Kind::Vm => Backend::Vm(Arc::new(Vms::new(options))),
            Kind::Engine => Backend::Engine(Engine::new(options, Arc::clone(&injector))),
            Kind::Pool => Backend::Pool(Pool::new(options, Arc::clone(&injector), false)),
            Kind::Plain => Backend::Pool(Pool::new(options, Arc::clone(&injector), true)),
        };
        Self { injector, backend }
    }

    /// Runs the background work of the stand-in, if it has any.
    pub(crate) async fn run_background(self) {
        if let Backend::Engine(engine) = self.backend {
            engine.run_steps().await;
        }
    }

    /// Handles one request.
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Reply {
        if request.uri().path().starts_with(ADMIN_PREFIX) {
            return self.admin(request).await;
        }
        let faults = self.injector.draw(request.method() != Method::GET);
        if faults.reset {
            return Err(ConnectionClosed);
        }
        if request.uri().path() == "/v1/run" {
            return self.run(request, faults).await;
        }
        let call = BufferedRequest::read(request).await?;
        if faults.slow.is_zero() && faults.late.is_zero() {
            return self.serve(call, faults).await;
        }
        // A slow service executes each request that it has received, even if the client disconnects.
        let served = tokio::spawn(async move { self.serve(call, faults).await });
        served.await.unwrap_or(Err(ConnectionClosed))
    }

    async fn run(&self, request: Request<Incoming>, faults: CallFaults) -> Reply {
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        if faults.down {
            return Ok(reply::refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        if request.method() != Method::POST {
            return Ok(reply::empty(StatusCode::METHOD_NOT_ALLOWED));
        }
        let call = Call::read(request).await?;
        if faults.refuse {
            return Ok(reply::not_run());
        }
        match &self.backend {
            Backend::Engine(engine) => engine.run(call, faults).await,
            Backend::Pool(pool) => pool.run(call, faults).await,
            _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn serve(&self, call: BufferedRequest, faults: CallFaults) -> Reply {
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        if faults.down {
            return Ok(reply::refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        let reply = self.dispatch(&call).await;
        if !faults.late.is_zero() {
            tokio::time::sleep(faults.late).await;
        }
        if faults.lose {
            return Err(ConnectionClosed);
        }
        if faults.fail {
            return Ok(reply::empty(StatusCode::INTERNAL_SERVER_ERROR));
        }
        if faults.cut || faults.truncate {
            return reply.map(reply::cut);
        }
        reply
    }

    async fn dispatch(&self, call: &BufferedRequest) -> Reply {
        let path: Vec<_> = call.path.split('/').skip(1).collect();
        let response = match (&self.backend, &call.method, path.as_slice()) {
            (Backend::Table(table), &Method::POST, ["v1", "transact"]) => {
                table.transact(&call.body)
            }
            (Backend::Table(table), &Method::GET, ["v1", "rows", name]) => {
                table.read(&query::decode(name), &call.rows())
            }
            (Backend::Object(object), &Method::PUT, ["v1", "objects", name]) => {
                object.put(&query::decode(name), call.body.clone())
            }
            (Backend::Object(object), &Method::GET, ["v1", "objects", name]) => {
                object.get(&query::decode(name))
            }
            (Backend::Weight(weight), &Method::GET, ["v1", "weights", _]) => weight.get(),
            (Backend::Vm(vms), &Method::GET, ["v1", "vms"]) => vms.get(),
            (Backend::Engine(engine), &Method::POST, ["v1", "orders"]) => {
                return engine.order(&call.body).await;
            }
            (Backend::Engine(engine), method, path) => {
                return engine_call(engine, method, path, call);
            }
            (Backend::Pool(pool), method, path) => {
                return runner_call(&pool.runner, method, path, || {
                    reply::json(StatusCode::OK, &pool.load())
                });
            }
            _ => reply::empty(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }

    async fn admin(&self, request: Request<Incoming>) -> Reply {
        let call = BufferedRequest::read(request).await?;
        let path = call.path.strip_prefix(ADMIN_PREFIX).unwrap_or_default();
        let query = call.query.as_deref();
        Ok(match (&self.backend, &call.method, path) {
            (_, &Method::GET, "faults") => reply::json(StatusCode::OK, &self.injector.get()),
            (_, &Method::POST, "faults") => self.set_faults(&call.body),
            (Backend::Vm(vms), &Method::POST, "vms") => vms.replace(&call.body),
            (Backend::Vm(vms), &Method::POST, "vm") => vms.put(&call.body),
            (Backend::Vm(vms), &Method::DELETE, "vm") => {
                vms.delete(&query::get(query, "id").unwrap_or_default())
            }
            (Backend::Engine(engine), &Method::GET, "orders") => engine.orders(),
            (backend, &Method::GET, "log") => {
                let since = usize::try_from(query::number(query, "since")).unwrap_or(usize::MAX);
                let page = backend.runner().map(|runner| runner.log.page(since));
                reply::json(StatusCode::OK, &page.unwrap_or_default())
            }
            _ => reply::empty(StatusCode::NOT_FOUND),
        })
    }

    fn set_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                self.injector.set(faults);
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
        }
    }
}

impl Backend {
    fn runner(&self) -> Option<&Runner> {
        match self {
            Self::Engine(engine) => Some(&engine.runner),
            Self::Pool(pool) => Some(&pool.runner),
            _ => None,
        }
    }
}

/// Handles the calls that all runners support.
fn runner_call(
    runner: &Runner,
    method: &Method,
    path: &[&str],
    load: impl FnOnce() -> Response<Body>,
) -> Reply {
    match (method, path) {
        (&Method::POST, ["v1", "cancel", id]) => runner.cancel(&query::decode(id)),
        (&Method::GET, ["v1", "load"]) => Ok(load()),
        _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
    }
}

/// Handles the calls that only engines support, except for orders.
fn engine_call(engine: &Engine, method: &Method, path: &[&str], call: &BufferedRequest) -> Reply {
    let query = call.query.as_deref();
    Ok(match (method, path) {
        (&Method::GET, ["v1", "cache", "events"]) => {
            engine.cache_events(query::number(query, "after"))
        }
        (&Method::GET, ["v1", "kv", block]) => engine.export(block),
        (&Method::PUT, ["v1", "kv", block]) => engine.import(block),
        (&Method::GET, ["v1", "models"]) => engine.models(),
        _ => {
            return runner_call(&engine.runner, method, path, || {
                reply::json(StatusCode::OK, &engine.load())
            });
        }
    })
}

/// A request that has been read completely.
struct BufferedRequest {
    method: Method,
    path: String,
    query: Option<String>,
    body: Bytes,
}

impl BufferedRequest {
    async fn read(request: Request<Incoming>) -> Result<Self, ConnectionClosed> {
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| ConnectionClosed)?
            .to_bytes();
        Ok(Self {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().map(str::to_owned),
            body,
        })
    }

    fn rows(&self) -> Query {
        let query = self.query.as_deref();
        Query {
            key: query::get(query, "key"),
            after: query::get(query, "after").unwrap_or_default(),
            limit: query::get(query, "limit").and_then(|limit| limit.parse().ok()),
        }
    }
}
