//! Runs an agent between a wire link and a small runner whose behavior the input of each call
//! selects.
#![allow(dead_code)]

use bytes::Bytes;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame as BodyFrame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io::Error as IoError;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::JoinHandle;
use wire::{Frame, Key, Receiver, Sender, Work};

pub(crate) type CallId = protocol::CallId;
type Body = StreamBody<UnboundedReceiver<Result<BodyFrame<Bytes>, IoError>>>;

pub(crate) const KEY: &str = "key of the tests";

/// A test runner that records the calls it ran, the cancellations and the orders.
#[derive(Clone)]
pub(crate) struct Runner {
    pub(crate) address: SocketAddr,
    pub(crate) executed: Arc<Mutex<Vec<String>>>,
    pub(crate) cancelled: Arc<Mutex<Vec<String>>>,
    pub(crate) orders: Arc<Mutex<Vec<String>>>,
    /// Models that calls named.
    pub(crate) models: Arc<Mutex<Vec<String>>>,
    /// Each permit lets one delayed answer continue.
    pub(crate) release: Arc<Semaphore>,
}

impl Runner {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            executed: Arc::default(),
            cancelled: Arc::default(),
            orders: Arc::default(),
            models: Arc::default(),
            release: Arc::new(Semaphore::new(0)),
        };
        let runner = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).unwrap();
                let runner = runner.clone();
                let service = service_fn(move |request| runner.clone().respond(request));
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        server
    }

    pub(crate) fn count(&self) -> usize {
        self.executed.lock().unwrap().len()
    }

    async fn respond(self, request: Request<Incoming>) -> Result<Response<Body>, IoError> {
        let path = request.uri().path().to_owned();
        let call = request.headers().get("x-call").cloned();
        let model = request.headers().get("x-model");
        let model = model.map(|model| model.to_str().unwrap().to_owned());
        self.models.lock().unwrap().extend(model);
        let input = request.into_body().collect().await.unwrap().to_bytes();
        let input = String::from_utf8(input.to_vec()).unwrap();
        let (parts, body) = unbounded();
        let mut response = Response::new(StreamBody::new(body));
        if let Some(call) = path.strip_prefix("/v1/cancel/") {
            self.cancelled.lock().unwrap().push(call.to_owned());
            return Ok(response);
        }
        if path == "/v1/orders" {
            let held = input.contains("held");
            self.orders.lock().unwrap().push(input);
            if held {
                self.release.acquire().await.unwrap().forget();
            }
            return Ok(response);
        }
        if path == "/v1/models" {
            let body =
                Bytes::from_static(b"{\"models\":[\"draft\"],\"role\":\"both\",\"fence\":0}");
            parts.unbounded_send(Ok(BodyFrame::data(body))).unwrap();
            return Ok(response);
        }
        let call = call.unwrap();
        if input == "crossed" {
            let other = "00000000000000000000000000000000-0-0".parse().unwrap();
            response.headers_mut().insert("x-call", other);
        } else {
            response.headers_mut().insert("x-call", call.clone());
        }
        if input == "not run" {
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("x-not-run", 1.into());
            return Ok(response);
        }
        self.executed
            .lock()
            .unwrap()
            .push(call.to_str().unwrap().to_owned());
        if input.starts_with("stream") {
            let kind = "text/event-stream".parse().unwrap();
            response.headers_mut().insert("content-type", kind);
        }
        match input.as_str() {
            "error" => *response.status_mut() = hyper::StatusCode::UNPROCESSABLE_ENTITY,
            "cut" => drop(response.headers_mut().insert("content-length", 100.into())),
            _ => {}
        }
        tokio::spawn(self.write_body(input, parts));
        Ok(response)
    }

    /// Writes the body that the input selects.
    async fn write_body(
        self,
        input: String,
        parts: UnboundedSender<Result<BodyFrame<Bytes>, IoError>>,
    ) {
        let send = |text: &str| {
            let part = BodyFrame::data(Bytes::copy_from_slice(text.as_bytes()));
            let _ = parts.unbounded_send(Ok(part));
        };
        if input.contains("held") {
            if input.starts_with("stream") {
                send("id: 0\ndata: \"0\"\n\n");
            }
            self.release.acquire().await.unwrap().forget();
        }
        if input == "cut" {
            send("{\"half\":");
            let _ = parts.unbounded_send(Err(IoError::other("cut")));
        }
        let event = |id: u32| send(&format!("id: {id}\ndata: \"{id}\"\n\n"));
        let (events, mark): (&[u32], Option<u32>) = match input.as_str() {
            "stream" => (&[0, 1], Some(2)),
            "stream held" => (&[1], Some(2)),
            "stream repeated" => (&[0, 0, 1], Some(2)),
            "stream truncated" => (&[0], None),
            "stream gap" => (&[0, 2], Some(3)),
            "stream miscounted" => (&[0], Some(2)),
            _ => return send("{\"answer\":1}"),
        };
        events.iter().copied().for_each(event);
        if let Some(chunks) = mark {
            send(&format!("event: done\ndata: {{\"chunks\":{chunks}}}\n\n"));
        }
    }
}

/// Starts a table service that has only the lease with this fencing token, or no row at all.
pub(crate) async fn lease_table(fence: Option<u64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |request: Request<Incoming>| async move {
                assert!(request.uri().path().starts_with("/v1/rows/lease"));
                let row = serde_json::json!({
                    "table": "lease", "key": "placement", "revision": 1,
                    "value": {"holder": null, "fence": fence},
                });
                let mut response = Response::new(Full::new(Bytes::from(row.to_string())));
                if fence.is_none() {
                    *response.status_mut() = hyper::StatusCode::NOT_FOUND;
                }
                Ok::<_, IoError>(response)
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

/// A running agent.
pub(crate) struct Agent {
    pub(crate) ready: agent::Ready,
    stop: oneshot::Sender<()>,
    task: JoinHandle<Result<(), agent::Error>>,
}

pub(crate) fn settings(runner: SocketAddr) -> setting::Agent {
    let any_port = "127.0.0.1:0".parse().unwrap();
    setting::Agent {
        id: "target-1".into(),
        place: setting::Place {
            region: "ee-north".into(),
            domain: "a".into(),
        },
        listen: any_port,
        metrics: any_port,
        platform: setting::Platform {
            table: "127.0.0.1:9".parse().unwrap(),
            objects: "127.0.0.1:9".parse().unwrap(),
            vms: "127.0.0.1:9".parse().unwrap(),
            weights: None,
        },
        key: KEY.into(),
        service: "assistant".into(),
        runner,
        concurrency: 1,
        queue: 1,
        news: None,
        policy: setting::Policy::Shipped,
    }
}

impl Agent {
    pub(crate) async fn start(settings: setting::Agent) -> Self {
        let (ready, ready_receiver) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let running = agent::run(
            settings,
            log,
            move |now| ready.send(now).unwrap(),
            async move { drop(stopped.await) },
        );
        let task = tokio::spawn(running);
        let ready = ready_receiver.await.unwrap();
        Self { ready, stop, task }
    }

    pub(crate) async fn link(&self) -> (Sender, Receiver) {
        wire::connect(self.ready.listen, &Key::new(KEY))
            .await
            .unwrap()
    }

    /// Waits until one of the agent's metrics has this value.
    pub(crate) async fn wait_for_metric(&self, metric: &str, value: u64) {
        let line = format!("\nlinnetdrift_agent_{metric} {value}\n");
        loop {
            let mut stream = TcpStream::connect(self.ready.metrics).await.unwrap();
            let request = b"GET /metrics HTTP/1.0\r\n\r\n";
            stream.write_all(request).await.unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            if text.contains(&line) {
                return;
            }
        }
    }

    /// Begins the graceful shutdown; the returned task ends when it is complete.
    pub(crate) fn shut_down(self) -> JoinHandle<Result<(), agent::Error>> {
        self.stop.send(()).unwrap();
        self.task
    }
}

/// Starts a runner, and an agent with one slot and a queue for one call; returns them and a link to
/// the agent.
pub(crate) async fn start_agent() -> (Runner, Agent, (Sender, Receiver)) {
    let runner = Runner::start().await;
    let agent = Agent::start(settings(runner.address)).await;
    let link = agent.link().await;
    (runner, agent, link)
}

pub(crate) fn call(request: u128) -> CallId {
    CallId {
        request,
        stage: 1,
        attempt: 0,
    }
}

pub(crate) fn offer(request: u128, repeatable: bool, input: &'static str) -> Frame {
    let work = Work {
        workspace: "harness".into(),
        class: "check".into(),
        service: "assistant".into(),
        stage: "generate".into(),
        repeatable,
        stream: input.starts_with("stream"),
        priority: 1,
        remaining: Duration::from_secs(10),
        prefix: vec![1, 2],
        resume: 0,
        revision: 1,
        input: input.into(),
        model: None,
    };
    Frame::Offer {
        call: call(request),
        work: Box::new(work),
    }
}

/// Receives the next frame other than `Start`, which only reports progress.
pub(crate) async fn next_frame(receiver: &mut Receiver) -> Frame {
    loop {
        let frame = receiver.recv().await.unwrap().unwrap();
        if !matches!(frame, Frame::Start { .. }) {
            return frame;
        }
    }
}

/// Polls until the condition holds; for conditions that no frame reports.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
