//! The list of VMs, whose changes become visible with a delay.

use crate::lag::Delayed;
use crate::options::Options;
use crate::reply::{self, Body};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The current list and its recent history.
#[derive(Debug)]
pub(crate) struct Vms {
    list: Delayed<VmList>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

/// A VM; all fields other than its id are returned unchanged.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Vm {
    id: String,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

impl Vms {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            list: Delayed::new(options.lag(), VmList::default()),
        }
    }

    /// The delayed list.
    pub(crate) fn get(&self) -> Response<Body> {
        reply::json(StatusCode::OK, &self.list.get().unwrap_or_default())
    }

    pub(crate) fn replace(&self, body: &[u8]) -> Response<Body> {
        self.change(body, |list: &mut VmList, new: VmList| *list = new)
    }

    pub(crate) fn put(&self, body: &[u8]) -> Response<Body> {
        self.change(body, |list: &mut VmList, new: Vm| {
            match list.vms.iter_mut().find(|vm| vm.id == new.id) {
                Some(vm) => *vm = new,
                None => list.vms.push(new),
            }
        })
    }

    pub(crate) fn delete(&self, id: &str) -> Response<Body> {
        self.list.update(|list| list.vms.retain(|vm| vm.id != id));
        reply::empty(StatusCode::NO_CONTENT)
    }

    fn change<'a, T: Deserialize<'a>>(
        &self,
        body: &'a [u8],
        change: impl FnOnce(&mut VmList, T),
    ) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(new) => {
                self.list.update(|list| change(list, new));
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
        }
    }
}
