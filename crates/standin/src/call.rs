//! Parses calls of `POST /v1/run`.

use crate::answer::Input;
use crate::reply::ConnectionClosed;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::ACCEPT;
use hyper::{HeaderMap, Request};

/// Priority of a call without a valid `X-Priority` header.
const DEFAULT_PRIORITY: u8 = 128;

/// A call with its parsed headers.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) workspace: String,
    pub(crate) priority: u8,
    pub(crate) resume: u32,
    pub(crate) prefix: Vec<u64>,
    pub(crate) stream: bool,
    /// Model from the `X-Model` header.
    pub(crate) model: Option<String>,
    pub(crate) raw: Bytes,
}

impl Call {
    /// Reads the complete call; fails if the client disconnects.
    pub(crate) async fn read(request: Request<Incoming>) -> Result<Self, ConnectionClosed> {
        let (parts, body) = request.into_parts();
        let raw = body
            .collect()
            .await
            .map_err(|_| ConnectionClosed)?
            .to_bytes();
        let headers = &parts.headers;
        let number = |name| header_text(headers, name).parse::<u32>().ok();
        let priority = number("x-priority").and_then(|priority| u8::try_from(priority).ok());
        Ok(Self {
            id: header_text(headers, "x-call").to_owned(),
            workspace: header_text(headers, "x-workspace").to_owned(),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            resume: number("x-resume").unwrap_or(0),
            prefix: parse_blocks(header_text(headers, "x-prefix")),
            model: headers
                .get("x-model")
                .and_then(|model| model.to_str().ok().map(str::to_owned)),
            stream: header_text(headers, ACCEPT.as_str()).contains("text/event-stream"),
            raw,
        })
    }

    pub(crate) fn input(&self) -> Result<Input, serde_json::Error> {
        serde_json::from_slice(&self.raw)
    }

    /// The request id from the call id, which is `REQUEST-STAGE-ATTEMPT`.
    pub(crate) fn request_id(&self) -> &str {
        self.id.split('-').next().unwrap_or_default()
    }
}

/// Parses the hexadecimal hash of a prefix block.
pub(crate) fn parse_block(text: &str) -> Option<u64> {
    u64::from_str_radix(text.trim(), 16).ok()
}

fn parse_blocks(list: &str) -> Vec<u64> {
    list.split(',').filter_map(parse_block).collect()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
