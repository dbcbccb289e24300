//! Memory budgets of request and response bodies.
//!
//! Clients and runners may read slowly, and the process has to buffer what they have not read. Bodies are
//! counted from when their bytes arrive until the last of them has been written, so that a process on a
//! small VM is not killed for lack of memory because of unread bytes.

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

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

    /// Reads a whole body, waiting for memory as needed.
    ///
    /// # Errors
    ///
    /// The body's own error.
    pub async fn collect<E>(
        &self,
        mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
    ) -> Result<Bytes, E> {
        let mut whole = BytesMut::new();
        let mut reserved = MemoryReservation::none();
        while let Some(part) = body.next().await {
            let part = part?;
            reserved.add(self.reserve(part.len()).await);
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
