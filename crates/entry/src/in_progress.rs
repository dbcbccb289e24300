//! Responses whose connection counts as in use until they are over.

use connection::RequestGuard;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A response body that keeps its request in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> InProgress<B> {
    pub(crate) fn new(body: B, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin> Body for InProgress<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
