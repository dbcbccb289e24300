//! A started stand-in and an HTTP client for it.

#![allow(dead_code)]

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use standin::{Kind, Options, Server};
use std::net::SocketAddr;

/// A started stand-in with a client for it.
pub(crate) struct Harness {
    /// `None` after a test has taken it to stop the stand-in.
    pub(crate) server: Option<Server>,
    pub(crate) address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Harness {
    pub(crate) async fn start(kind: Kind, options: Options) -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let server = standin::start(kind, listen, options).await.unwrap();
        Self {
            address: server.address(),
            server: Some(server),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl ToString,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        self.client.request(request.body(body).unwrap()).await
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> u16 {
        let response = self.send("POST", path, &[], body).await.unwrap();
        response.status().as_u16()
    }

    pub(crate) async fn get(&self, path: &str) -> Value {
        let response = self.send("GET", path, &[], "").await.unwrap();
        serde_json::from_str(&text(response).await).unwrap()
    }

    pub(crate) async fn run(&self, headers: &[(&str, &str)], text: &str) -> Response<Incoming> {
        let input = json!({ "text": text });
        let response = self.send("POST", "/v1/run", headers, input).await;
        response.unwrap()
    }

    /// Statuses of all executions so far.
    pub(crate) async fn statuses(&self) -> Vec<String> {
        let log = self.get("/standin/log").await;
        let executions = log["executions"].as_array().unwrap().iter();
        executions
            .map(|execution| execution["ended"].as_str().unwrap().to_owned())
            .collect()
    }

    /// Waits until the load has these numbers of calls.
    pub(crate) async fn wait_for_load(&self, running: u64, queued: u64) {
        loop {
            let load = self.get("/v1/load").await;
            if load["running"] == running && load["queued"] == queued {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the executions have these statuses.
    pub(crate) async fn wait_for_statuses(&self, statuses: &[&str]) {
        while self.statuses().await != statuses {
            tokio::task::yield_now().await;
        }
    }
}

/// The complete body of a response.
pub(crate) async fn text(response: Response<Incoming>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

pub(crate) fn header(response: &Response<Incoming>, name: &str) -> String {
    response.headers()[name].to_str().unwrap().to_owned()
}
