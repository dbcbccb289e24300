//! Problem documents (RFC 9457) with an outcome on which the caller can act.

use crate::answer::RequestOutcome;
use http_body_util::Full;
use protocol::RequestId;
use serde::Serialize;
use std::time::Duration;
use viz::{Response, ResponseExt, StatusCode};

/// What a caller can conclude from an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing has run and nothing will; a retry is safe.
    NotRun,
    /// The request may have run and will not be run again; the caller should query it instead of
    /// submitting it again.
    Unknown,
    /// The request ran and failed.
    Failed,
}

/// A problem document.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// Short name of the type of problem.
    pub title: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Human-readable description.
    pub detail: String,
    /// What the caller can conclude.
    pub outcome: Outcome,
    /// Id of the request, if it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Seconds after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

/// Media type of problem documents.
const PROBLEM_JSON: &str = "application/problem+json";

impl Problem {
    /// Creates a problem that the caller must correct before a retry.
    pub fn rejected(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            title: status.canonical_reason().unwrap_or("Error"),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            request: None,
            retry_after: None,
        }
    }

    /// Creates a problem for something that may be retried later.
    pub fn not_run(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after.as_secs_f64()),
            ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, detail)
        }
    }

    /// Creates a problem for something that may have taken effect.
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::rejected(StatusCode::GATEWAY_TIMEOUT, detail)
        }
    }

    /// Returns the problem for the outcome of a request, or `None` for a complete answer.
    #[must_use]
    pub fn from_outcome(request: RequestId, outcome: &RequestOutcome) -> Option<Self> {
        let problem = match outcome {
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
            RequestOutcome::Mismatch => Self::rejected(
                StatusCode::UNPROCESSABLE_ENTITY,
                "this idempotency key was used for another call",
            ),
            RequestOutcome::Failed {
                stage,
                status,
                body,
            } => Self {
                outcome: Outcome::Failed,
                ..Self::rejected(
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

    /// Returns the problem as an HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        let mut response = Response::with(
            Full::from(serde_json::to_vec(self).unwrap_or_default()),
            PROBLEM_JSON,
        );
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Some(seconds) = self.retry_after {
            // The header holds whole seconds only; the body contains the exact time.
            let seconds = format!("{:.0}", seconds.ceil());
            if let Ok(value) = seconds.parse() {
                response.headers_mut().insert("retry-after", value);
            }
        }
        response
    }
}
