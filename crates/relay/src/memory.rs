//! Memory budgets of request and response bodies.
//!
//! Clients and runners may read slowly, and the process has to buffer what they have not read. Bodies are
//! counted from when their bytes arrive until the last of them has been written, so that a process on a
//! small VM is not killed for lack of memory because of unread bytes.

use crate::request::IncompleteBody;
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// Part of the budget beyond which a body is large.
const LARGE_DIVISOR: usize = 16;
/// Longest time for which a body waits for memory in all, if it is large.
const LARGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A limit on the bytes of bodies that are buffered at a time. Clones share the limit.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use relay::memory::MemoryBudget;
///
/// let memory = MemoryBudget::new(10);
/// let reserved = memory.try_reserve(8).unwrap();
/// let body = reserved.attach(Bytes::from_static(b"12345678"));
/// assert!(memory.try_reserve(3).is_none());
/// drop(body);
/// assert!(memory.try_reserve(3).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free: Arc<Semaphore>,
    limit: u32,
}

fn incomplete(reason: String) -> IncompleteBody {
    IncompleteBody { reason }
}

/// A reservation of bytes, which is returned when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation(Option<OwnedSemaphorePermit>);

/// Bytes of a body together with their reservation.
struct ReservedBytes {
    bytes: Bytes,
    _reserved: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let limit = u32::try_from(bytes).unwrap_or(u32::MAX);
        Self {
            free: Arc::new(Semaphore::new(limit as usize)),
            limit,
        }
    }

    /// Reserves bytes if enough are free.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let permit = self.free.clone().try_acquire_many_owned(self.clamp(bytes));
        permit.ok().map(|permit| MemoryReservation(Some(permit)))
    }

    /// Waits until enough bytes are free and reserves them. A request for more than the whole budget
    /// reserves the whole budget.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let permit = self.free.clone().acquire_many_owned(self.clamp(bytes));
        // The semaphore is never closed.
        MemoryReservation(permit.await.ok())
    }

    /// Reads a whole body, waiting for memory as needed. Bodies of several peers that send without end must
    /// not wait for one another, so that a large one waits for a short time only.
    ///
    /// # Errors
    ///
    /// The body's own error, or one that says that it is longer than the whole budget or found no memory.
    pub async fn collect(
        &self,
        mut body: impl Stream<Item = Result<Bytes, IncompleteBody>> + Unpin,
    ) -> Result<Bytes, IncompleteBody> {
        let mut whole = BytesMut::new();
        let mut reserved = MemoryReservation::none();
        let mut patience = LARGE_TIMEOUT;
        while let Some(part) = body.next().await {
            let part = part?;
            if whole.len() + part.len() > self.limit as usize {
                return Err(incomplete(format!("body longer than {} bytes", self.limit)));
            }
            let more = self.reserve(part.len());
            let waits_since = Instant::now();
            let more = match whole.len() > self.limit as usize / LARGE_DIVISOR {
                true => timeout(patience, more).await,
                false => Ok(more.await),
            };
            reserved.add(more.map_err(|_| incomplete("no memory for the body".to_owned()))?);
            patience = patience.saturating_sub(waits_since.elapsed());
            whole.extend_from_slice(&part);
        }
        Ok(reserved.attach(whole.freeze()))
    }

    fn clamp(&self, bytes: usize) -> u32 {
        u32::try_from(bytes).map_or(self.limit, |bytes| bytes.min(self.limit))
    }
}

impl MemoryReservation {
    /// Creates an empty reservation.
    #[must_use]
    pub fn none() -> Self {
        Self(None)
    }

    /// Adds another reservation from the same budget.
    pub fn add(&mut self, more: Self) {
        match (&mut self.0, more.0) {
            (Some(all), Some(more)) => all.merge(more),
            (None, more) => self.0 = more,
            (Some(_), None) => {}
        }
    }

    /// Ties the reservation to `bytes`: it is returned when the last clone of them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reserved: self,
        })
    }
}
