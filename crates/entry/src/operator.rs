//! HTTP interface for operators: records, changes, history and status.

use crate::body;
use crate::config::accept::{self, Refusal};
use crate::config::rows::{Change, Stored};
use crate::core::{Core, Platform};
use crate::problem::Problem;
use crate::target::Target;
use http_body_util::Full;
use protocol::Revision;
use record::RecordSet;
use serde::{Deserialize, Serialize};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use viz::{Request, RequestExt, Response, ResponseExt, StatusCode};

/// Maximum size of a change in bytes.
const MAX_CHANGE: usize = 16 << 20;
/// Maximum number of change log entries in one response.
const MAX_HISTORY: usize = 1000;
/// `retry_after` while the table service is unavailable, unless its response contains one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Listing {
    revision: Revision,
    records: Vec<Stored>,
}

#[derive(Deserialize)]
struct RecordQuery {
    key: Option<String>,
}

#[derive(Deserialize)]
struct HistoryQuery {
    after: Option<Revision>,
    limit: Option<usize>,
}

#[derive(Serialize)]
struct Accepted {
    revision: Revision,
}

#[derive(Serialize)]
struct History {
    changes: Vec<Change>,
}

#[derive(Serialize)]
struct Conflicts {
    conflicts: Vec<accept::Conflict>,
}

#[derive(Serialize)]
struct Findings {
    findings: record::Findings,
}

/// Status of an entry.
#[derive(Serialize)]
struct Status {
    id: String,
    revision: Revision,
    ready: bool,
    head_age_ms: Option<u64>,
    draining: bool,
    targets: Vec<TargetStatus>,
}

/// State of a target as known to an entry.
#[derive(Serialize)]
struct TargetStatus {
    id: String,
    service: String,
    domain: String,
    state: &'static str,
    in_flight: u32,
}

fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::with(Full::from(body), "application/json");
    *response.status_mut() = status;
    response
}

/// `GET /v1/records`.
pub async fn records<P: Platform>(core: Arc<Core<P>>, request: Request) -> Response {
    if !core.config.is_ready() {
        return Problem::not_run("no configuration has been read yet", RETRY_AFTER).response();
    }
    let key = request
        .query::<RecordQuery>()
        .ok()
        .and_then(|query| query.key);
    let records = core.config.records(key.as_deref());
    let listing = Listing {
        revision: core.config.revision(),
        records: records.into_values().collect(),
    };
    json(StatusCode::OK, &listing)
}

/// `POST /v1/apply`.
pub async fn apply<P: Platform>(core: Arc<Core<P>>, request: Request) -> Response {
    let Some(operator) = authenticate(&core, &request) else {
        let detail = "no operator of this deployment has this token";
        return Problem::rejected(StatusCode::UNAUTHORIZED, detail).response();
    };
    let change = match read_change(&core, request).await {
        Ok(change) => change,
        Err(problem) => return problem.response(),
    };
    match core.config.accept(&operator, &change).await {
        Ok(revision) => {
            info!(core.log, "change accepted"; "operator" => operator, "revision" => revision);
            core.announce(revision);
            json(StatusCode::OK, &Accepted { revision })
        }
        Err(refusal) => refused(refusal),
    }
}

async fn read_change<P: Platform>(
    core: &Core<P>,
    request: Request,
) -> Result<accept::Request, Problem> {
    let bad = |detail: String| Problem::rejected(StatusCode::BAD_REQUEST, detail);
    let body = body::read(core, request, "change", MAX_CHANGE).await?;
    let change: accept::Request =
        serde_json::from_slice(&body).map_err(|error| bad(format!("change: {error}")))?;
    if change.token.is_empty() {
        return Err(bad("change: token is empty".to_owned()));
    }
    Ok(change)
}

fn refused(refusal: Refusal) -> Response {
    match refusal {
        Refusal::Conflicts { conflicts } => json(StatusCode::CONFLICT, &Conflicts { conflicts }),
        Refusal::Findings { findings } => {
            json(StatusCode::UNPROCESSABLE_ENTITY, &Findings { findings })
        }
        Refusal::Unavailable { source } => {
            let retry_after = match &source {
                store::Error::Unavailable { retry_after, .. } => *retry_after,
                _ => None,
            };
            Problem::not_run(source.to_string(), retry_after.unwrap_or(RETRY_AFTER)).response()
        }
        Refusal::Unknown => {
            let problem =
                Problem::unknown("the change may be accepted: apply it again with the same token");
            Problem {
                status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
                retry_after: Some(RETRY_AFTER.as_secs_f64()),
                ..problem
            }
            .response()
        }
    }
}

/// `GET /v1/history`.
pub async fn history<P: Platform>(core: Arc<Core<P>>, request: Request) -> Response {
    let query = request.query::<HistoryQuery>().ok();
    let after = query.as_ref().and_then(|query| query.after).unwrap_or(0);
    let limit = query.and_then(|query| query.limit).unwrap_or(MAX_HISTORY);
    match core.config.changes(after).await {
        Ok(mut changes) => {
            changes.truncate(limit.min(MAX_HISTORY));
            json(StatusCode::OK, &History { changes })
        }
        Err(error) => Problem::not_run(error.to_string(), RETRY_AFTER).response(),
    }
}

/// `GET /v1/status`.
pub async fn status<P: Platform>(core: Arc<Core<P>>) -> Response {
    let set = core.config.current();
    let services = core.services.all();
    let targets = services.iter().flat_map(|service| {
        let targets = service.targets().into_iter();
        targets.map(|target| TargetStatus {
            state: state(&target, &set),
            in_flight: service.in_flight(&target.vm.id),
            id: target.vm.id.clone(),
            service: target.vm.service.clone(),
            domain: target.vm.domain.clone(),
        })
    });
    let status = Status {
        id: core.settings.id.clone(),
        revision: core.config.revision(),
        ready: core.config.is_ready(),
        head_age_ms: core
            .config
            .head_age()
            .and_then(|age| u64::try_from(age.as_millis()).ok()),
        draining: core.is_draining(),
        targets: targets.collect(),
    };
    json(StatusCode::OK, &status)
}

fn state(target: &Target, set: &RecordSet) -> &'static str {
    match (target.is_linked(), target.is_open()) {
        (false, _) => "unlinked",
        (true, false) => "leaving",
        (true, true) if set.is_drained(&target.vm.id) => "drained",
        (true, true) => "live",
    }
}

/// `GET /ready`: readiness check of the load balancer.
pub async fn ready<P: Platform>(core: Arc<Core<P>>) -> Response {
    if core.is_draining() || !core.config.is_ready() {
        return Problem::not_run("not ready", RETRY_AFTER).response();
    }
    Response::text("ready\n")
}

/// Returns the name of the operator whose token a request contains.
fn authenticate<P: Platform>(core: &Core<P>, request: &Request) -> Option<String> {
    let given: String = request.header("authorization")?;
    let given = given.strip_prefix("Bearer ")?;
    core.settings
        .operators
        .iter()
        .find(|operator| constant_time_eq(operator.token.as_bytes(), given.as_bytes()))
        .map(|operator| operator.name.clone())
}

/// Compares in constant time, so that the duration does not reveal how many bytes match.
fn constant_time_eq(one: &[u8], other: &[u8]) -> bool {
    let differing = one.iter().zip(other).fold(0, |sum, (a, b)| sum | (a ^ b));
    one.len() == other.len() && differing == 0
}
