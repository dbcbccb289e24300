//! The rate-limited weight store.

use crate::options::Options;
use crate::reply::{self, Body, ConnectionClosed};
use bytes::Bytes;
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

/// Size of the chunks of a download.
const CHUNK_BYTES: usize = 16 << 10;

/// The store; all downloads share its rate.
#[derive(Debug)]
pub(crate) struct WeightStore {
    bytes: usize,
    bytes_per_second: f64,
    downloads: Arc<Semaphore>,
    /// End of the time that is reserved for the bytes of all downloads so far.
    free_at: Arc<Mutex<Instant>>,
}

/// A download in progress.
pub(crate) struct Download {
    remaining: usize,
    bytes_per_second: f64,
    free_at: Arc<Mutex<Instant>>,
    sleep: Option<Pin<Box<Sleep>>>,
    _permit: OwnedSemaphorePermit,
}

impl WeightStore {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            bytes: options.weight_bytes,
            bytes_per_second: options.weight_bytes_per_second,
            downloads: Arc::new(Semaphore::new(options.slots)),
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    pub(crate) fn get(&self) -> Response<Body> {
        let Ok(permit) = Arc::clone(&self.downloads).try_acquire_owned() else {
            return reply::refusal(StatusCode::TOO_MANY_REQUESTS);
        };
        let download = Download {
            remaining: self.bytes,
            bytes_per_second: self.bytes_per_second,
            free_at: Arc::clone(&self.free_at),
            sleep: None,
            _permit: permit,
        };
        Response::new(Body::Download(Box::new(download)))
    }
}

impl Download {
    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        let length = self.remaining.min(CHUNK_BYTES);
        let sleep = match &mut self.sleep {
            Some(sleep) => sleep,
            empty => {
                let until = reserve(&self.free_at, length, self.bytes_per_second);
                empty.insert(Box::pin(tokio::time::sleep_until(until)))
            }
        };
        if sleep.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.sleep = None;
        self.remaining -= length;
        let chunk = Bytes::from_static(&[0; CHUNK_BYTES]).slice(..length);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }
}

/// Reserves the next free interval for `length` bytes and returns its end.
fn reserve(free_at: &Mutex<Instant>, length: usize, bytes_per_second: f64) -> Instant {
    let mut free_at = free_at.lock().unwrap_or_else(PoisonError::into_inner);
    let start = (*free_at).max(Instant::now());
    let time = if bytes_per_second > 0.0 {
        Duration::try_from_secs_f64(length as f64 / bytes_per_second).unwrap_or_default()
    } else {
        Duration::ZERO
    };
    *free_at = start + time;
    *free_at
}
