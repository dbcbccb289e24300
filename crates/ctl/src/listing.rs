//! VMs of processes on this machine, as the stand-in of the platform lists them.

use crate::Error;
use crate::client::Client;
use crate::fleet::Ready;
use hyper::Method;
use hyper::header::HeaderMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use setting::Place;
use std::net::{Ipv4Addr, SocketAddr};
use store::{Role, Vm};

/// Incarnation of a process that was not started before.
const FIRST: u64 = 1;

/// An address on this machine, with a port that the system chooses.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Draws a key or token: 128 bits in hex.
#[must_use]
pub fn random_key() -> String {
    format!("{:032x}", StdRng::from_os_rng().random::<u128>())
}

/// The VM of a process in its first life; `service` is empty for an entry.
#[must_use]
pub fn vm(id: &str, role: Role, service: &str, place: &Place, ready: Ready) -> Vm {
    Vm {
        id: id.to_owned(),
        incarnation: FIRST,
        role,
        service: service.to_owned(),
        region: place.region.clone(),
        domain: place.domain.clone(),
        address: ready.listen,
        news: ready.news,
        leaving: false,
    }
}

/// Puts a VM on the stand-in's list, as the platform does when it starts one.
///
/// # Errors
///
/// Those of [`post`].
pub async fn register(list: SocketAddr, vm: &Vm) -> Result<(), Error> {
    post(list, "/standin/vm", vm).await
}

/// Sends a body as JSON to a stand-in.
///
/// # Errors
///
/// [`Error::Refused`] if it is not taken, or an error of the call.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<(), Error> {
    let body = serde_json::to_vec(body).map_err(|error| Error::Failed {
        reason: error.to_string(),
    })?;
    let client = Client::plain(address);
    let answer = client.call(Method::POST, path, HeaderMap::new(), body.into());
    let answer = answer.await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(Error::Refused {
            problem: answer.problem(),
        }),
    }
}
