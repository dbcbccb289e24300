//! The object store.

use crate::reply::{self, Body};
use bytes::Bytes;
use hyper::{Response, StatusCode};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// All objects by name.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: Mutex<BTreeMap<String, Bytes>>,
}

impl ObjectStore {
    pub(crate) fn put(&self, name: &str, content: Bytes) -> Response<Body> {
        if !is_valid_name(name) {
            return reply::error(StatusCode::BAD_REQUEST, "not a name of an object");
        }
        self.objects().insert(name.to_owned(), content);
        reply::empty(StatusCode::OK)
    }

    pub(crate) fn get(&self, name: &str) -> Response<Body> {
        match self.objects().get(name) {
            Some(content) => reply::bytes(StatusCode::OK, content.clone()),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_valid_name(name: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.bytes().all(valid)
}
