//! HTTP interface for callers: runs pipelines and returns answers.

pub mod stream;

use crate::answer::{Answer, RequestOutcome};
use crate::body;
use crate::core::{Core, Platform};
use crate::execute;
use crate::job::Job;
use crate::journal;
use crate::peers::{self, FORWARDED};
use crate::problem::{Outcome, Problem};
use crate::stored_answer::{self, StoredAnswer};
use bytes::Bytes;
use http_body_util::Full;
use protocol::RequestId;
use record::{Pipeline, RecordSet};
use serde::Serialize;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use viz::{Request, RequestExt, Response, ResponseExt, StatusCode};

/// Maximum size of an input in bytes.
const MAX_INPUT: usize = 16 << 20;
/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Media type of event streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Response header with the id of the request.
pub const REQUEST: &str = "linnetdrift-request";

/// JSON body of a complete answer.
#[derive(Serialize)]
struct CompleteAnswer<'a> {
    request: String,
    late: bool,
    output: &'a RawValue,
}

/// Formats the id of a request.
#[must_use]
pub fn format_id(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Options of a run request.
struct RunOptions {
    workspace: String,
    class: String,
    key: Option<String>,
    deadline: Option<Duration>,
    stream: bool,
}

/// How a caller wants to receive an answer.
#[derive(Clone, Debug)]
pub struct AnswerOptions {
    /// Whether the answer is sent as an event stream.
    pub stream: bool,
    /// First chunk that the caller has not received.
    pub from: usize,
    /// Maximum time to wait for a complete answer; the caller requests it again later.
    pub wait: Option<Duration>,
    /// Whether another entry forwarded the request on behalf of the caller.
    pub forwarded: bool,
}

impl AnswerOptions {
    fn from_request(request: &Request) -> Self {
        Self {
            stream: accepts_stream(request),
            from: request
                .header::<_, usize>("last-event-id")
                .map_or(0, |last| last.saturating_add(1)),
            wait: prefer_wait(request),
            forwarded: request.headers().contains_key(FORWARDED),
        }
    }
}

impl RunOptions {
    fn from_request(request: &Request) -> Result<Self, Problem> {
        let text = |name: &str| -> Option<String> { request.header(name) };
        let Some(workspace) = text("linnetdrift-workspace").filter(|name| !name.is_empty()) else {
            return Err(bad_request("header Linnetdrift-Workspace is missing"));
        };
        let deadline = match text("linnetdrift-deadline-ms") {
            Some(value) => Some(deadline(&value)?),
            None => None,
        };
        Ok(Self {
            workspace,
            class: text("linnetdrift-class").unwrap_or_else(|| "default".to_owned()),
            key: text("idempotency-key").filter(|key| !key.is_empty()),
            deadline,
            stream: accepts_stream(request),
        })
    }
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::rejected(StatusCode::BAD_REQUEST, detail)
}

fn deadline(value: &str) -> Result<Duration, Problem> {
    value
        .parse()
        .ok()
        .filter(|millis| *millis > 0)
        .map(Duration::from_millis)
        .filter(|deadline| *deadline <= MAX_DEADLINE)
        .ok_or_else(|| {
            bad_request(format!(
                "header Linnetdrift-Deadline-Ms: {value:?} is no number of milliseconds from 1 to {}",
                MAX_DEADLINE.as_millis()
            ))
        })
}

fn accepts_stream(request: &Request) -> bool {
    request
        .header::<_, String>("accept")
        .is_some_and(|create_job| create_job.contains(EVENT_STREAM))
}

/// Reads `Prefer: wait=SECONDS` (RFC 7240), with which a caller limits the time to wait for the
/// answer.
fn prefer_wait(request: &Request) -> Option<Duration> {
    let prefer: String = request.header("prefer")?;
    let seconds = prefer
        .split([',', ';'])
        .find_map(|part| part.trim().strip_prefix("wait="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// `POST /v1/pipelines/{name}/versions/{version}/run`.
pub async fn run<P: Platform>(core: Arc<Core<P>>, request: Request) -> Response {
    let follow = AnswerOptions::from_request(&request);
    match create_job(&core, request).await {
        Ok(job) => {
            job.answer.admitted().await;
            if let Some(RequestOutcome::Elsewhere { request }) = job.answer.outcome() {
                return find_answer(&core, request, &follow).await;
            }
            respond(&job.answer, &follow).await
        }
        Err(problem) => {
            core.telemetry.record_refusal();
            problem.response()
        }
    }
}

async fn create_job<P: Platform>(
    core: &Arc<Core<P>>,
    request: Request,
) -> Result<Arc<Job>, Problem> {
    if core.is_draining() {
        return Err(body::stopping());
    }
    if !core.config.is_ready() {
        return Err(Problem::not_run(
            "this entry has not read the configuration yet",
            Duration::from_secs(1),
        ));
    }
    let options = RunOptions::from_request(&request)?;
    let set = core.config.current();
    let pipeline = find_pipeline(&set, &request)?;
    let input = read_input(core, request).await?;
    let now = Instant::now();
    let deadline = options
        .deadline
        .unwrap_or(Duration::from_millis(pipeline.deadline_ms));
    let id = peers::draw_request_id(&core.settings.id, &mut rand::rng());
    let streamed = options.stream && pipeline.stages.last().is_some_and(|stage| stage.stream);
    let job = Arc::new(Job {
        id,
        workspace: options.workspace,
        class: options.class,
        key: options.key,
        pipeline,
        set,
        accepted: now,
        deadline: now + deadline,
        first_attempt: 0,
        input,
        answer: Arc::new(Answer::new(id, streamed)),
    });
    core.spawn(job.clone());
    Ok(job)
}

fn find_pipeline(set: &Arc<RecordSet>, request: &Request) -> Result<Arc<Pipeline>, Problem> {
    let name: String = request
        .param("name")
        .map_err(|_| bad_request("no pipeline named"))?;
    let version: String = request
        .param("version")
        .map_err(|_| bad_request("no version named"))?;
    let pipeline = if version == "@current" {
        set.current(&name)
    } else {
        let version = version
            .parse()
            .map_err(|_| bad_request(format!("{version:?} is neither a version nor @current")))?;
        set.pipeline(&name, version)
    };
    pipeline.cloned().ok_or_else(|| {
        Problem::rejected(
            StatusCode::NOT_FOUND,
            format!("no pipeline {name} in version {version}"),
        )
    })
}

async fn read_input<P: Platform>(core: &Arc<Core<P>>, request: Request) -> Result<Bytes, Problem> {
    let body = body::read(core, request, "input", MAX_INPUT).await?;
    serde_json::from_slice::<&RawValue>(&body)
        .map_err(|error| bad_request(format!("input is no JSON: {error}")))?;
    Ok(body)
}

/// `GET /v1/requests/{id}`.
pub async fn fetch<P: Platform>(core: Arc<Core<P>>, request: Request) -> Response {
    let text: String = request.param("id").unwrap_or_default();
    let Ok(id) = RequestId::from_str_radix(&text, 16) else {
        return bad_request(format!("{text:?} is no request")).response();
    };
    find_answer(&core, id, &AnswerOptions::from_request(&request)).await
}

/// Finds the answer to a request in this entry, at the entry that accepted it, or in the object
/// store. The load balancer may have routed the caller to any entry, and the one that accepted the
/// request may have stopped.
async fn find_answer<P: Platform>(
    core: &Arc<Core<P>>,
    id: RequestId,
    follow: &AnswerOptions,
) -> Response {
    if let Some(answer) = core.answers.get(id) {
        return respond(&answer, follow).await;
    }
    let owner = core.peers.owner(id).filter(|_| !follow.forwarded);
    if let Some(owner) = owner
        && let Some(answer) = core.peers.forward(owner, id, follow).await
    {
        return answer;
    }
    if let Some(stored_answer) = stored_answer::load(core, id).await {
        return respond_stored(id, &stored_answer);
    }
    if journal::contains(&core.platform, id).await {
        // The entry that ran the request has stopped or crashed; another one runs it or will run
        // it.
        return respond_accepted(id);
    }
    not_found(id)
}

fn not_found(id: RequestId) -> Response {
    let detail = "no entry that can be reached has this request";
    let problem = Problem {
        request: Some(format_id(id)),
        outcome: Outcome::Unknown,
        ..Problem::rejected(StatusCode::NOT_FOUND, detail)
    };
    problem.response()
}

/// Responds with an answer, either as a stream from the first missing chunk or complete.
async fn respond(answer: &Arc<Answer>, follow: &AnswerOptions) -> Response {
    let refused = matches!(
        answer.outcome(),
        Some(
            RequestOutcome::NotRun { .. }
                | RequestOutcome::Mismatch
                | RequestOutcome::Elsewhere { .. }
        )
    );
    if follow.stream && !refused {
        return stream::response(answer.clone(), follow.from);
    }
    let outcome = match follow.wait {
        None => answer.ended().await,
        Some(wait) => match tokio::time::timeout(wait, answer.ended()).await {
            Ok(outcome) => outcome,
            Err(_) => return respond_accepted(answer.request()),
        },
    };
    let chunks = answer.chunks();
    render(answer.request(), &outcome, answer.is_streamed(), &chunks)
}

fn respond_stored(id: RequestId, stored_answer: &StoredAnswer) -> Response {
    let chunks: Vec<Bytes> = stored_answer
        .chunks
        .iter()
        .cloned()
        .map(Bytes::from)
        .collect();
    render(id, &stored_answer.outcome(), stored_answer.stream, &chunks)
}

fn render(id: RequestId, outcome: &RequestOutcome, streamed: bool, chunks: &[Bytes]) -> Response {
    let mut response = match Problem::from_outcome(id, outcome) {
        Some(problem) => problem.response(),
        None => complete(
            id,
            matches!(outcome, RequestOutcome::Complete { late: true }),
            streamed,
            chunks,
        ),
    };
    set_request_header(&mut response, id);
    response
}

/// Responds with `202 Accepted` to a caller that will request the answer again.
fn respond_accepted(request: RequestId) -> Response {
    let id = format_id(request);
    let mut response = Response::with(
        Full::from(format!("{{\"request\":\"{id}\"}}")),
        "application/json",
    );
    *response.status_mut() = StatusCode::ACCEPTED;
    if let Ok(location) = format!("/v1/requests/{id}").parse() {
        response.headers_mut().insert("location", location);
    }
    set_request_header(&mut response, request);
    response
}

fn complete(id: RequestId, late: bool, streamed: bool, chunks: &[Bytes]) -> Response {
    let joined = if streamed {
        execute::join_chunks(chunks)
    } else {
        chunks.first().cloned().unwrap_or_default()
    };
    let Ok(output) = serde_json::from_slice::<&RawValue>(&joined) else {
        return unreadable(id);
    };
    let complete = CompleteAnswer {
        request: format_id(id),
        late,
        output,
    };
    let body = serde_json::to_vec(&complete).unwrap_or_default();
    Response::with(Full::from(body), "application/json")
}

fn unreadable(id: RequestId) -> Response {
    let problem = Problem::rejected(
        StatusCode::BAD_GATEWAY,
        "the last stage's answer is no JSON",
    );
    let problem = Problem {
        outcome: Outcome::Failed,
        request: Some(format_id(id)),
        ..problem
    };
    problem.response()
}

fn set_request_header(response: &mut Response, id: RequestId) {
    if let Ok(value) = format_id(id).parse() {
        response.headers_mut().insert(REQUEST, value);
    }
}
