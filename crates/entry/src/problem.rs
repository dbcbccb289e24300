//! Problem documents (RFC 9457) with an outcome that the caller can act on.

use crate::answer::RequestOutcome;
use http_body_util::Full;
use protocol::RequestId;
use serde::Serialize;
use std::time::Duration;
use viz::{Response, ResponseExt, StatusCode};

/// What a caller may conclude from an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing ran and nothing will: a retry is safe.
    NotRun,
    /// It may have run and will not be run again: ask for the request, do not submit it anew.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// A problem document.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// Short name of the kind of problem.
    pub title: &'static str,
    /// HTTP status.
    pub status: u16,
    /// What happened, for a person.
    pub detail: String,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Identity of the request, if it got one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Seconds after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

/// Media type of problem documents.
const PROBLEM_JSON: &str = "application/problem+json";

impl Problem {
    /// A refusal of something that the caller must change before it tries again.
    pub fn bad(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            title: status.canonical_reason().unwrap_or("Error"),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            request: None,
            retry_after: None,
        }
    }

    /// A refusal of something that may be tried again later.
    pub fn not_run(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after.as_secs_f64()),
            ..Self::bad(StatusCode::SERVICE_UNAVAILABLE, detail)
        }
    }

    /// Something that may have taken effect.
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::bad(StatusCode::GATEWAY_TIMEOUT, detail)
        }
    }

    /// The problem that a request's end is told as; a whole answer is none.
    #[must_use]
    pub fn from_end(request: RequestId, end: &RequestOutcome) -> Option<Self> {
        let problem = match end {
            RequestOutcome::Complete { .. } => return None,
            RequestOutcome::NotRun {
                detail,
                retry_after,
            } => Self::not_run(detail, *retry_after),
            RequestOutcome::Unknown { detail } => Self::unknown(detail),
            RequestOutcome::Elsewhere { request } => Self::unknown(format!(
                "request {} has this idempotency key",
                crate::caller::format_id(*request)
            )),
            RequestOutcome::Mismatch => Self::bad(
                StatusCode::UNPROCESSABLE_ENTITY,
                "this idempotency key was used for another call",
            ),
            RequestOutcome::Failed {
                stage,
                status,
                body,
            } => Self {
                outcome: Outcome::Failed,
                ..Self::bad(
                    StatusCode::BAD_GATEWAY,
                    format!(
                        "stage {stage} answered {status}: {}",
                        String::from_utf8_lossy(body)
                    ),
                )
            },
        };
        Some(Self {
            request: Some(crate::caller::format_id(request)),
            ..problem
        })
    }

    /// The problem as an HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        let mut response = Response::with(
            Full::from(serde_json::to_vec(self).unwrap_or_default()),
            PROBLEM_JSON,
        );
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Some(seconds) = self.retry_after {
            // The header holds whole seconds only; the body has the exact time.
            let seconds = format!("{:.0}", seconds.ceil());
            if let Ok(value) = seconds.parse() {
                response.headers_mut().insert("retry-after", value);
            }
        }
        response
    }
}
