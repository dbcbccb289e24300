//! A feed that sends scripted replies.

use super::{configuration, configuration_with_routes, runner};
use relay::follow::{InvalidRow, TableSource};
use relay::runner::DomainId;
use relay::{Configuration, Runner};
use serde_json::Value;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{Change, Changes, Error, Feed, FeedError, RowRevision};
use tokio::time::sleep;

/// Reply of a scripted feed to one request.
#[derive(Clone, Debug)]
pub(crate) enum FeedReply {
    /// Sends these rows; a row without a value is deleted.
    Rows(Vec<(&'static str, Option<Value>)>),
    /// Sends these rows with this revision.
    At(RowRevision, Vec<(&'static str, Option<Value>)>),
    /// Fails after this time.
    Unavailable(Duration),
    /// Sends no changes after the full wait of the request.
    NoChanges,
    /// Reports that the history is truncated.
    Gap,
    /// Reports that the service was restored from an older backup.
    Restored,
}

/// A feed that sends its replies one by one, and then no more changes.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedFeed(Arc<Mutex<VecDeque<FeedReply>>>);

impl ScriptedFeed {
    pub(crate) fn new(replies: impl IntoIterator<Item = FeedReply>) -> Self {
        Self(Arc::new(Mutex::new(replies.into_iter().collect())))
    }

    async fn next(&self, wait: Duration) -> Result<Changes, FeedError> {
        let reply = self.0.lock().expect("no holder panics").pop_front();
        match reply {
            None | Some(FeedReply::NoChanges) => {
                sleep(wait).await;
                Ok(Changes {
                    revision: 9,
                    ..Changes::default()
                })
            }
            Some(FeedReply::Gap) => Err(FeedError::Gap),
            Some(FeedReply::Restored) => Err(FeedError::Restored),
            Some(FeedReply::Unavailable(time)) => {
                sleep(time).await;
                let reason = "unavailable".to_owned();
                let error = Error::Unavailable {
                    reason,
                    retry_after: None,
                };
                Err(FeedError::Failed { error })
            }
            Some(FeedReply::Rows(rows)) => Ok(changes(rows, 9)),
            Some(FeedReply::At(revision, rows)) => Ok(changes(rows, revision)),
        }
    }
}

fn changes(rows: Vec<(&str, Option<Value>)>, revision: RowRevision) -> Changes {
    let change = |(key, value): (&str, Option<Value>)| Change {
        key: key.to_owned(),
        value,
        revision,
    };
    let rows = rows.into_iter().map(change).collect();
    Changes {
        rows,
        revision,
        clock: None,
    }
}

impl Feed for ScriptedFeed {
    async fn list(&self, _table: &str) -> Result<Changes, Error> {
        match self.next(Duration::from_secs(1)).await {
            Ok(changes) => Ok(changes),
            Err(FeedError::Failed { error }) => Err(error),
            Err(FeedError::Gap | FeedError::Restored) => panic!("a list has no gap"),
        }
    }

    async fn changes(
        &self,
        _table: &str,
        _after: RowRevision,
        wait: Duration,
    ) -> Result<Changes, FeedError> {
        self.next(wait).await
    }
}

impl TableSource for ScriptedFeed {
    const OPERATOR_TABLE: &'static str = "plans";
    const RUNNER_TABLE: &'static str = "runners";

    fn drained_domain(key: &str) -> Option<DomainId> {
        key.strip_prefix("drained-").map(DomainId::from)
    }

    /// The value is a version, or a version with the names of further routes.
    fn parse_configuration(_key: &str, value: &Value) -> Result<Option<Configuration>, InvalidRow> {
        if let (Some(version), Some(names)) = (value["version"].as_u64(), value["names"].as_array())
        {
            let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
            return Ok(Some(configuration_with_routes(version, &names)));
        }
        let version = value.as_u64().ok_or_else(|| InvalidRow {
            reason: "no number".to_owned(),
        })?;
        Ok(Some(configuration(version)))
    }

    fn parse_runner(key: &str, value: &Value) -> Result<Runner, InvalidRow> {
        let service = value["service"].as_str();
        let service = service.ok_or_else(|| InvalidRow {
            reason: "no service".to_owned(),
        })?;
        let mut runner = runner(key, service);
        runner.started = value["started"].as_u64();
        runner.leaving = value["leaving"].as_bool().unwrap_or(false);
        runner.cold = Duration::from_millis(value["cold_ms"].as_u64().unwrap_or(0));
        Ok(runner)
    }
}
