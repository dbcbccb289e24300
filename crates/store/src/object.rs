//! The object store.

use crate::table::Error;
use bytes::Bytes;

/// The object store: stores objects by name.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Writes an object, replacing any existing one with that name.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if nothing was written, [`Error::Unsure`] if it may have been.
    fn put_object(
        &self,
        name: &str,
        content: Bytes,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object, or `None` if there is none with that name.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, Error>> + Send;
}
