//! Response bodies of the fake.

use super::StreamEnd;
use bytes::Bytes;
use futures::stream::{self, Stream};
use relay::request::IncompleteBody;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::sleep;

/// Body of a response.
pub(crate) type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteBody>> + Send>>;

/// A body whose parts arrive one every 10 ms.
pub(crate) fn parts(parts: Vec<&'static str>, end: StreamEnd) -> Parts {
    let parts = parts
        .into_iter()
        .map(|part| Ok(Bytes::from_static(part.as_bytes())));
    let parts = stream::iter(parts);
    let parts = futures::StreamExt::then(parts, |part| async {
        sleep(Duration::from_millis(10)).await;
        part
    });
    let broken = IncompleteBody {
        reason: "reset".to_owned(),
    };
    match end {
        StreamEnd::Whole => Box::pin(parts),
        StreamEnd::Broken => Box::pin(futures::StreamExt::chain(
            parts,
            stream::iter([Err(broken)]),
        )),
        StreamEnd::Panic => Box::pin(futures::StreamExt::chain(
            parts,
            stream::poll_fn(|_| panic!("a fault of the reader")),
        )),
        StreamEnd::Silent => Box::pin(futures::StreamExt::chain(parts, stream::pending())),
    }
}

/// A body with a pause between two of its parts.
pub(crate) fn paused(
    before: Vec<&'static str>,
    pause: Duration,
    after: Vec<&'static str>,
    end: StreamEnd,
) -> Parts {
    let pausing = stream::once(async move {
        sleep(pause).await;
        Ok(Bytes::new())
    });
    let before = futures::StreamExt::chain(parts(before, StreamEnd::Whole), pausing);
    Box::pin(futures::StreamExt::chain(before, parts(after, end)))
}
