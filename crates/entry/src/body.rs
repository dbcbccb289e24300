//! Reads the bodies of requests.

use crate::core::{Core, Platform};
use crate::problem::Problem;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::time::Duration;
use viz::{Request, StatusCode};

/// `retry_after` of an entry that is stopping: the caller can retry immediately, at another entry.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Refuses a request because the entry is stopping.
#[must_use]
pub fn stopping() -> Problem {
    Problem::not_run("this entry is stopping", STOPPING_RETRY_AFTER)
}

/// Reads the body of a request, which is called `name` in error messages. A planned stop waits only for a
/// limited time for the rest of a body.
///
/// # Errors
///
/// A [`Problem`] if the body is incomplete, longer than `limit` bytes, or does not arrive before the entry stops.
pub async fn read<P: Platform>(
    core: &Core<P>,
    request: Request,
    name: &str,
    limit: usize,
) -> Result<Bytes, Problem> {
    let reading = Limited::new(request.into_body(), limit).collect();
    let body = tokio::select! {
        biased;
        body = reading => body,
        () = core.rest_overdue() => return Err(stopping()),
    };
    let rejected = |error| {
        let detail = format!("{name}: {error}");
        Problem::rejected(StatusCode::BAD_REQUEST, detail)
    };
    Ok(body.map_err(rejected)?.to_bytes())
}
