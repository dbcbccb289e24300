//! Memory that the bodies of requests and answers take up.
//!
//! Callers and runners may be slow to read, and what a process holds for them counts as its own. Bodies
//! are counted from when their bytes arrive until the last of them has been written, so that a process
//! of a small VM is not ended for what others leave unread.

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A bound on the bytes of bodies that are held at a time; clones share it.
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

/// Bytes that are counted as held until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation(Option<OwnedSemaphorePermit>);

/// Bytes of a body with the memory that is counted for them.
struct Held {
    bytes: Bytes,
    _reserved: MemoryReservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryBudget {
    /// Memory of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let limit = u32::try_from(bytes).unwrap_or(u32::MAX);
        Self {
            free: Arc::new(Semaphore::new(limit as usize)),
            limit,
        }
    }

    /// Counts bytes as held, if there is room for them.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let permit = self.free.clone().try_acquire_many_owned(self.count(bytes));
        permit.ok().map(|permit| MemoryReservation(Some(permit)))
    }

    /// Waits for room and counts bytes as held. More than there ever is room for counts as all of it.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let permit = self.free.clone().acquire_many_owned(self.count(bytes));
        // The semaphore is never closed.
        MemoryReservation(permit.await.ok())
    }

    /// Reads a body whole, as far as there is room for it.
    ///
    /// # Errors
    ///
    /// That of the body.
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

    fn count(&self, bytes: usize) -> u32 {
        u32::try_from(bytes).map_or(self.limit, |bytes| bytes.min(self.limit))
    }
}

impl MemoryReservation {
    /// Nothing yet.
    #[must_use]
    pub fn none() -> Self {
        Self(None)
    }

    /// Adds what was reserved besides from the same memory.
    pub fn add(&mut self, more: Self) {
        match (&mut self.0, more.0) {
            (Some(all), Some(more)) => all.merge(more),
            (None, more) => self.0 = more,
            (Some(_), None) => {}
        }
    }

    /// The same bytes; they count as held until the last copy of them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _reserved: self,
        })
    }
}
