//! Accepted changes come into force at every entry and never revert, despite faults of the table
//! service and of entries, and despite concurrent changes.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::run;
use ctl::client::{Client, FullResponse};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::{Bench, OPERATORS};
use ctl::rig::probe::{apply, get, set_faults, status, wait_until};
use ctl::rig::record::{all, workspace};
use futures::future::join_all;
use hyper::{Method, StatusCode, header::HeaderMap};
use serde_json::{Value, json};
use std::net::SocketAddr;

async fn start(bench: &mut Bench) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    bench.ready().await.unwrap();
    [first, second]
}

/// Returns a change of a workspace's share that is based on a revision of its record.
fn share_change(token: &str, name: &str, share: u32, base: &Value) -> Value {
    let key = format!("workspace/{name}");
    json!({"token": token, "base": {key: base}, "documents": [workspace(name, share)]})
}

fn revision(answer: &FullResponse) -> u64 {
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.problem());
    answer.json::<Value>().unwrap()["revision"]
        .as_u64()
        .unwrap()
}

/// Fetches a record from an entry, with the revision that last changed it.
async fn record(entry: SocketAddr, key: &str) -> Value {
    let path = format!("/v1/records?key={key}");
    let listing: Value = get(entry, &path).await.unwrap();
    listing["records"][0].clone()
}

async fn ready(entry: SocketAddr) -> StatusCode {
    let client = Client::plain(entry);
    let answer = client.call(Method::GET, "/ready", HeaderMap::new(), Default::default());
    answer.await.unwrap().status
}

/// Two operators concurrently change the same record at two entries, based on the same revision.
/// One change is accepted; the other operator gets a conflict with the accepted record, and no part
/// of the rejected change appears later.
#[test]
fn racing_operators() {
    run("racing-operators", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut base = Value::Null;
        for round in 0..10 {
            let changes = [0, 1].map(|side| {
                let token = format!("race-{round}-{side}");
                let change = share_change(&token, "yard", 10 * (round + 1) + side, &base);
                async move {
                    let side = side as usize;
                    apply(entries[side], OPERATORS[side], &change)
                        .await
                        .unwrap()
                }
            });
            let answers = join_all(changes).await;
            let winners: Vec<_> = (0..2)
                .filter(|side| answers[*side].status == StatusCode::OK)
                .collect();
            let [winner] = winners[..] else {
                panic!("round {round}: won by {winners:?}")
            };
            let accepted = revision(&answers[winner]);
            let lost = &answers[1 - winner];
            assert_eq!(lost.status, StatusCode::CONFLICT);
            let conflict = &lost.json::<Value>().unwrap()["conflicts"][0];
            assert_eq!(conflict["revision"], accepted);
            assert_eq!(
                conflict["document"]["share"],
                10 * (round + 1) + winner as u32
            );
            bench.wait_for_revision(accepted).await.unwrap();
            for entry in entries {
                let stored = record(entry, "workspace/yard").await;
                assert_eq!(stored["document"]["share"], conflict["document"]["share"]);
            }
            base = accepted.into();
        }
    });
}

/// Guards against an operator who gets no outcome or a wrong one, applies a change again and
/// thereby reverts another operator's change: the table service accepts changes, but its responses
/// are lost. The entry determines the outcome, and the same token is accepted once.
#[test]
fn answers_lost() {
    run("records-answers-lost", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        set_faults(bench.table.address(), &json!({"lose_answers": 0.7}))
            .await
            .unwrap();
        for round in 0..5 {
            let change = share_change(
                &format!("lost-{round}"),
                "yard",
                round + 1,
                &record(first, "workspace/yard").await["revision"],
            );
            let accepted = revision(&apply(first, OPERATORS[0], &change).await.unwrap());
            let again = revision(&apply(second, OPERATORS[0], &change).await.unwrap());
            assert_eq!(accepted, again);
            bench.wait_for_revision(accepted).await.unwrap();
            let history: Value = get(second, "/v1/history").await.unwrap();
            let changes = history["changes"].as_array().unwrap().iter();
            let token = &change["token"];
            assert_eq!(
                changes.filter(|change| change["token"] == *token).count(),
                1
            );
        }
    });
}

/// The table service goes down, becomes slow and breaks connections after a change was accepted.
/// Both entries continue with the accepted records; a new change is correctly reported as "not run"
/// or "unknown", and once the service is back, the outcome of the latter can be resolved by its
/// token.
#[test]
fn table_down() {
    run("records-table-down", async |mut bench| {
        let entries = start(&mut bench).await;
        let change = share_change("before", "yard", 5, &Value::Null);
        let before = revision(&apply(entries[0], OPERATORS[0], &change).await.unwrap());
        bench.wait_for_revision(before).await.unwrap();
        let faults = [
            json!({"down": true}),
            json!({"slow_ms": 2500}),
            json!({"reset": true}),
        ];
        for (round, faults) in (0..).zip(faults) {
            set_faults(bench.table.address(), &faults).await.unwrap();
            let base = record(entries[0], "workspace/yard").await["revision"].clone();
            let change = share_change(&format!("during-{round}"), "yard", 6 + round, &base);
            let answer = apply(entries[0], OPERATORS[0], &change).await.unwrap();
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.problem().retry_after.is_some());
            let outcome = answer.problem().outcome;
            for entry in entries {
                assert_eq!(ready(entry).await, StatusCode::OK);
                assert_eq!(record(entry, "workspace/yard").await["revision"], base);
            }
            set_faults(bench.table.address(), &json!({})).await.unwrap();
            if outcome == Some(Outcome::NotRun) {
                let history: Value = get(entries[1], "/v1/history").await.unwrap();
                let text = history.to_string();
                assert!(!text.contains(&format!("during-{round}")), "{text}");
            }
            let accepted = revision(&apply(entries[1], OPERATORS[0], &change).await.unwrap());
            bench.wait_for_revision(accepted).await.unwrap();
        }
    });
}

/// One entry is suspended while another accepts changes, and a new one is started. Neither may
/// restore a configuration that an operator has replaced: the resumed entry catches up, and the new
/// entry serves only with the latest configuration.
#[test]
fn entry_behind() {
    run("entry-behind", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        bench.fleet.signal("entry-1", Signal::Stop).unwrap();
        let change = share_change("while-frozen", "yard", 7, &Value::Null);
        let accepted = revision(&apply(second, OPERATORS[0], &change).await.unwrap());
        let new = bench.entry("entry-3").await.unwrap();
        wait_until("the new entry is ready", || async {
            ready(new).await == StatusCode::OK
        })
        .await
        .unwrap();
        assert_eq!(record(new, "workspace/yard").await["revision"], accepted);
        bench.fleet.signal("entry-1", Signal::Continue).unwrap();
        let stale = share_change("stale", "yard", 8, &Value::Null);
        let answer = apply(first, OPERATORS[1], &stale).await.unwrap();
        assert_eq!(answer.status, StatusCode::CONFLICT);
        bench.wait_for_revision(accepted).await.unwrap();
    });
}

/// A new entry starts while the table service is down. It has no records of its own, and with an
/// old copy it would serve replaced records; it therefore waits, and serves with the records of its
/// peers. Without peers it does not serve at all.
#[test]
fn new_entry() {
    run("fresh-entry", async |mut bench| {
        let [_, second] = start(&mut bench).await;
        let change = share_change("latest", "yard", 9, &Value::Null);
        let accepted = revision(&apply(second, OPERATORS[0], &change).await.unwrap());
        bench.wait_for_revision(accepted).await.unwrap();
        set_faults(bench.table.address(), &json!({"down": true}))
            .await
            .unwrap();
        let new = bench.entry("entry-3").await.unwrap();
        wait_until("the new entry is ready", || async {
            ready(new).await == StatusCode::OK
        })
        .await
        .unwrap();
        assert_eq!(record(new, "workspace/yard").await["revision"], accepted);
        for id in ["entry-1", "entry-2", "entry-3"] {
            bench.kill(id).await.unwrap();
            bench.unlist(id).await.unwrap();
        }
        let isolated = bench.entry("entry-4").await.unwrap();
        wait_until("the outage of the table service is detected", || async {
            let status = status(isolated).await.unwrap_or_default();
            status["ready"] == false && status["head_age_ms"].is_null()
        })
        .await
        .unwrap();
        assert_eq!(ready(isolated).await, StatusCode::SERVICE_UNAVAILABLE);
        set_faults(bench.table.address(), &json!({})).await.unwrap();
        wait_until("the entry is ready", || async {
            ready(isolated).await == StatusCode::OK
        })
        .await
        .unwrap();
        assert_eq!(
            record(isolated, "workspace/yard").await["revision"],
            accepted
        );
    });
}

/// Guards against the loss of fields when a client that knows only the first schema writes back a
/// record in which a newer client has set further fields.
#[test]
fn older_client() {
    run("old-writer", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        let mut newer = all(64).pop().unwrap();
        newer.schema = 2;
        newer.body.insert("durable".into(), true.into());
        newer.body.insert("attainment".into(), 0.9.into());
        let accepted = bench.apply(first, &[newer]).await.unwrap();
        // The second operator reads the record before changing it.
        bench.wait_for_revision(accepted).await.unwrap();
        let mut older = all(64).pop().unwrap();
        older.body.insert("deadline_ms".into(), 1234.into());
        let accepted = bench.apply(second, &[older]).await.unwrap();
        bench.wait_for_revision(accepted).await.unwrap();
        for entry in [first, second] {
            let stored = record(entry, "pipeline/check@1").await;
            assert_eq!(stored["document"]["deadline_ms"], 1234);
            assert_eq!(stored["document"]["durable"], true);
            assert_eq!(stored["document"]["attainment"], 0.9);
        }
    });
}

/// Guards against a lost update: a script writes a record without having read it, after another
/// operator has written it. The change is rejected with a conflict, and the accepted record stays
/// in force.
#[test]
fn unread_record() {
    run("unseen-record", async |mut bench| {
        let entries = start(&mut bench).await;
        let first = share_change("first", "yard", 7, &Value::Null);
        let answer = apply(entries[0], OPERATORS[0], &first).await.unwrap();
        assert!(answer.status.is_success());
        let mut second = share_change("second", "yard", 1, &Value::Null);
        second["base"] = json!({});
        let answer = apply(entries[1], OPERATORS[1], &second).await.unwrap();
        assert_eq!(answer.status.as_u16(), 409);
        let conflicts: Value = answer.json().unwrap();
        assert_eq!(conflicts["conflicts"][0]["document"]["share"], 7);
        let kept = record(entries[1], "workspace/yard").await;
        assert_eq!(kept["document"]["share"], 7);
    });
}
