//! Calls to the processes and stand-ins of a test bench, and waits for conditions on their state.

use crate::Error;
use crate::client::{Client, FullResponse};
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time that a condition is waited for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sets the faults of a stand-in.
///
/// # Errors
///
/// Those of the call.
pub async fn set_faults(standin: SocketAddr, faults: &Value) -> Result<(), Error> {
    post(standin, "/standin/faults", faults).await
}

/// Applies a change as the operator with this token.
///
/// # Errors
///
/// Those of the call. A refused change is returned as an answer.
pub async fn apply(entry: SocketAddr, token: &str, change: &Value) -> Result<FullResponse, Error> {
    let bearer = HeaderValue::from_str(&format!("Bearer {token}"));
    let bearer = bearer.map_err(|error| failed(error.to_string()))?;
    let headers = HeaderMap::from_iter([(AUTHORIZATION, bearer)]);
    let body = change.to_string().into();
    let client = Client::plain(entry);
    client.call(Method::POST, "/v1/apply", headers, body).await
}

/// Returns an entry's status, if the entry can be reached.
pub async fn status(entry: SocketAddr) -> Option<Value> {
    get(entry, "/v1/status").await.ok()
}

/// Waits until an entry reports this state for a target.
///
/// # Errors
///
/// [`Error::Failed`] if that takes longer than [`WAIT_TIMEOUT`].
pub async fn wait_for_target(entry: SocketAddr, id: &str, state: &str) -> Result<(), Error> {
    wait_until(&format!("{id} is {state}"), || async {
        let status = status(entry).await.unwrap_or_default();
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets
            .iter()
            .any(|target| target["id"] == id && target["state"] == state)
    })
    .await
}

/// Waits until a condition holds.
///
/// # Errors
///
/// [`Error::Failed`] with its name if it does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    mut holds: impl FnMut() -> F,
) -> Result<(), Error> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        if Instant::now() > end {
            return Err(failed(format!("timed out waiting until {what}")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Reads a JSON document.
///
/// # Errors
///
/// Those of the call.
pub async fn get<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, Error> {
    Client::plain(address).get(path).await
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(), Error> {
    let client = Client::plain(address);
    let body = body.to_string().into();
    let answer = client
        .call(Method::POST, path, HeaderMap::new(), body)
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(Error::Refused {
            problem: answer.problem(),
        }),
    }
}

pub(crate) fn failed(reason: String) -> Error {
    Error::Failed { reason }
}
