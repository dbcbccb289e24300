//! Detects a peer that is suspended or unreachable while a caller waits for its answer.
//!
//! Such a peer does not close its connections, and the duration of a request is not limited.
//! Without this check, the caller would wait for as long as the peer is suspended. A peer that is
//! busy with the request still responds to the readiness check.

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

/// Interval between readiness checks; most answers arrive before the first one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Completes once a peer no longer responds.
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

/// Returns the peer's response body, which ends with an error once the peer is unresponsive: after
/// a clean end, a partial answer would look complete.
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
