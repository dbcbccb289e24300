//! Registration of VMs with the platform's stand-in.

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

/// Incarnation number of a process that has not been restarted.
const FIRST_INCARNATION: u64 = 1;

/// Returns a loopback address with port 0, for which the system chooses a free port.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Generates a random key or token of 128 bits in hexadecimal.
#[must_use]
pub fn random_key() -> String {
    format!("{:032x}", StdRng::from_os_rng().random::<u128>())
}

/// Returns the VM of a process in its first incarnation; `service` is empty for an entry.
#[must_use]
pub fn vm(id: &str, role: Role, service: &str, place: &Place, ready: Ready) -> Vm {
    Vm {
        id: id.to_owned(),
        incarnation: FIRST_INCARNATION,
        role,
        service: service.to_owned(),
        region: place.region.clone(),
        domain: place.domain.clone(),
        address: ready.listen,
        news: ready.news,
        leaving: false,
    }
}

/// Adds a VM to the stand-in's list, as the platform does when it starts a VM.
///
/// # Errors
///
/// As [`post`].
pub async fn register(list: SocketAddr, vm: &Vm) -> Result<(), Error> {
    post(list, "/standin/vm", vm).await
}

/// Sends a JSON body to a stand-in.
///
/// # Errors
///
/// [`Error::Refused`] if the stand-in rejects it, or an error of [`Client::call`].
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
