//! Notices a peer that is frozen or behind a cut while a caller waits for its answer.
//!
//! Such a peer closes nothing, and how long a request may run is not bounded: without this a
//! caller that asks another entry would wait for as long as the peer stays frozen. A peer that
//! is busy with the request still answers whether it is ready.

use super::Http;
use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause between two questions; most answers are there before the first.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long the peer may take to say whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Completes once a peer no longer answers.
pub(super) async fn unresponsive(http: Http, address: SocketAddr) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let Ok(request) = http.get(address, "/ready").body(Empty::new()) else {
            return;
        };
        if !matches!(
            timeout(READY_TIMEOUT, http.request(request)).await,
            Ok(Ok(_))
        ) {
            return;
        }
    }
}

/// The peer's answer, broken off with an error once the peer is silent: a clean end would make a
/// part of the answer look whole.
pub(super) fn abort_if_unresponsive(
    body: Incoming,
    unresponsive: impl Future<Output = ()> + Send,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    unfold(
        (body, Box::pin(unresponsive)),
        |(mut body, mut unresponsive)| async {
            let frame = tokio::select! {
                frame = body.frame() => frame?.map_err(io::Error::other),
                () = &mut unresponsive => Err(io::ErrorKind::TimedOut.into()),
            };
            let data = frame.map(|frame| frame.into_data().unwrap_or_default());
            Some((data, (body, unresponsive)))
        },
    )
}
