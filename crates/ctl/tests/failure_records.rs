//! What operators have accepted is in force at every entry and never reverts, whatever the table
//! service, the entries and other operators do.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::run;
use ctl::client::{Client, FullResponse};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::{Bench, OPERATORS};
use ctl::rig::probe::{apply, fault, get, status, until};
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

/// A change of one workspace's share by an operator who saw this revision of it.
fn share(token: &str, name: &str, share: u32, base: &Value) -> Value {
    let key = format!("workspace/{name}");
    json!({"token": token, "base": {key: base}, "documents": [workspace(name, share)]})
}

fn revision(answer: &FullResponse) -> u64 {
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.problem());
    answer.json::<Value>().unwrap()["revision"]
        .as_u64()
        .unwrap()
}

/// A record at an entry, with the revision that last changed it.
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

/// Two operators change the same record at two entries at the same moment, each having seen the
/// same revision. One wins; the other is told what the winner wrote, and nothing of the loser's
/// change shows up later.
#[test]
fn racing_operators() {
    run("racing-operators", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut base = Value::Null;
        for round in 0..10 {
            let changes = [0, 1].map(|side| {
                let token = format!("race-{round}-{side}");
                let change = share(&token, "yard", 10 * (round + 1) + side, &base);
                async move {
                    let side = side as usize;
                    apply(entries[side], OPERATORS[side], &change)
                        .await
                        .unwrap()
                }
            });
            let answers = join_all(changes).await;
            let won: Vec<_> = (0..2)
                .filter(|side| answers[*side].status == StatusCode::OK)
                .collect();
            let [winner] = won[..] else {
                panic!("round {round}: won by {won:?}")
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
            bench.in_force(accepted).await.unwrap();
            for entry in entries {
                let stored = record(entry, "workspace/yard").await;
                assert_eq!(stored["document"]["share"], conflict["document"]["share"]);
            }
            base = accepted.into();
        }
    });
}

/// The table service accepts changes, but its answers are lost. An operator who is told nothing, or
/// something wrong, applies the change again and undoes another's; the entry finds out what became
/// of it, and the same token is accepted once.
#[test]
fn answers_lost() {
    run("records-answers-lost", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        fault(bench.table.address(), &json!({"lose_answers": 0.7}))
            .await
            .unwrap();
        for round in 0..5 {
            let change = share(
                &format!("lost-{round}"),
                "yard",
                round + 1,
                &record(first, "workspace/yard").await["revision"],
            );
            let accepted = revision(&apply(first, OPERATORS[0], &change).await.unwrap());
            let again = revision(&apply(second, OPERATORS[0], &change).await.unwrap());
            assert_eq!(accepted, again);
            bench.in_force(accepted).await.unwrap();
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

/// The table service goes down, gets slow and breaks connections after a change was accepted. Both
/// entries go on with what was accepted; a new change is told "not run" or "unknown" in truth, and
/// once the service is back the change that was told "unknown" can be settled by its token.
#[test]
fn table_down() {
    run("records-table-down", async |mut bench| {
        let entries = start(&mut bench).await;
        let change = share("before", "yard", 5, &Value::Null);
        let before = revision(&apply(entries[0], OPERATORS[0], &change).await.unwrap());
        bench.in_force(before).await.unwrap();
        let faults = [
            json!({"down": true}),
            json!({"slow_ms": 2500}),
            json!({"reset": true}),
        ];
        for (round, faults) in (0..).zip(faults) {
            fault(bench.table.address(), &faults).await.unwrap();
            let base = record(entries[0], "workspace/yard").await["revision"].clone();
            let change = share(&format!("during-{round}"), "yard", 6 + round, &base);
            let answer = apply(entries[0], OPERATORS[0], &change).await.unwrap();
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.problem().retry_after.is_some());
            let outcome = answer.problem().outcome;
            for entry in entries {
                assert_eq!(ready(entry).await, StatusCode::OK);
                assert_eq!(record(entry, "workspace/yard").await["revision"], base);
            }
            fault(bench.table.address(), &json!({})).await.unwrap();
            if outcome == Some(Outcome::NotRun) {
                let history: Value = get(entries[1], "/v1/history").await.unwrap();
                let text = history.to_string();
                assert!(!text.contains(&format!("during-{round}")), "{text}");
            }
            let accepted = revision(&apply(entries[1], OPERATORS[0], &change).await.unwrap());
            bench.in_force(accepted).await.unwrap();
        }
    });
}

/// An entry is frozen while others accept changes, and one is started afresh. Neither may bring
/// back a configuration that an operator has replaced: the woken one catches up, and the fresh one
/// serves only with the latest.
#[test]
fn entry_behind() {
    run("entry-behind", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        bench.fleet.signal("entry-1", Signal::Stop).unwrap();
        let change = share("while-frozen", "yard", 7, &Value::Null);
        let accepted = revision(&apply(second, OPERATORS[0], &change).await.unwrap());
        let fresh = bench.entry("entry-3").await.unwrap();
        until("the fresh entry is ready", || async {
            ready(fresh).await == StatusCode::OK
        })
        .await
        .unwrap();
        assert_eq!(record(fresh, "workspace/yard").await["revision"], accepted);
        bench.fleet.signal("entry-1", Signal::Continue).unwrap();
        let stale = share("stale", "yard", 8, &Value::Null);
        let answer = apply(first, OPERATORS[1], &stale).await.unwrap();
        assert_eq!(answer.status, StatusCode::CONFLICT);
        bench.in_force(accepted).await.unwrap();
    });
}

/// A fresh entry starts while the table service is down. With the records of its own past, of which
/// it has none, or an old copy it would serve what was replaced; it waits, and serves with what its
/// peers have seen. Without peers it does not serve at all.
#[test]
fn fresh_entry() {
    run("fresh-entry", async |mut bench| {
        let [_, second] = start(&mut bench).await;
        let change = share("latest", "yard", 9, &Value::Null);
        let accepted = revision(&apply(second, OPERATORS[0], &change).await.unwrap());
        bench.in_force(accepted).await.unwrap();
        fault(bench.table.address(), &json!({"down": true}))
            .await
            .unwrap();
        let fresh = bench.entry("entry-3").await.unwrap();
        until("the fresh entry is ready", || async {
            ready(fresh).await == StatusCode::OK
        })
        .await
        .unwrap();
        assert_eq!(record(fresh, "workspace/yard").await["revision"], accepted);
        for id in ["entry-1", "entry-2", "entry-3"] {
            bench.kill(id).await.unwrap();
            bench.unlist(id).await.unwrap();
        }
        let alone = bench.entry("entry-4").await.unwrap();
        until("the table is seen to be down", || async {
            let status = status(alone).await.unwrap_or_default();
            status["ready"] == false && status["head_age_ms"].is_null()
        })
        .await
        .unwrap();
        assert_eq!(ready(alone).await, StatusCode::SERVICE_UNAVAILABLE);
        fault(bench.table.address(), &json!({})).await.unwrap();
        until("the entry is ready", || async {
            ready(alone).await == StatusCode::OK
        })
        .await
        .unwrap();
        assert_eq!(record(alone, "workspace/yard").await["revision"], accepted);
    });
}

/// A tool that knows only the first schema writes back a record in which a newer tool has set more.
/// The fields that it does not know would be gone without anyone having asked for it.
#[test]
fn old_writer() {
    run("old-writer", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        let mut newer = all(64).pop().unwrap();
        newer.schema = 2;
        newer.body.insert("durable".into(), true.into());
        newer.body.insert("attainment".into(), 0.9.into());
        let accepted = bench.apply(first, &[newer]).await.unwrap();
        // The second operator looks at the record before changing it.
        bench.in_force(accepted).await.unwrap();
        let mut older = all(64).pop().unwrap();
        older.body.insert("deadline_ms".into(), 1234.into());
        let accepted = bench.apply(second, &[older]).await.unwrap();
        bench.in_force(accepted).await.unwrap();
        for entry in [first, second] {
            let stored = record(entry, "pipeline/check@1").await;
            assert_eq!(stored["document"]["deadline_ms"], 1234);
            assert_eq!(stored["document"]["durable"], true);
            assert_eq!(stored["document"]["attainment"], 0.9);
        }
    });
}

/// An operator's script writes a record without having looked whether it is there, after another
/// operator has written it. Had it been accepted, the other's record would be gone without anyone
/// being told; so it is a conflict, and what was accepted stays in force.
#[test]
fn unseen_record() {
    run("unseen-record", async |mut bench| {
        let entries = start(&mut bench).await;
        let first = share("first", "yard", 7, &Value::Null);
        let answer = apply(entries[0], OPERATORS[0], &first).await.unwrap();
        assert!(answer.status.is_success());
        let mut second = share("second", "yard", 1, &Value::Null);
        second["base"] = json!({});
        let answer = apply(entries[1], OPERATORS[1], &second).await.unwrap();
        assert_eq!(answer.status.as_u16(), 409);
        let conflicts: Value = answer.json().unwrap();
        assert_eq!(conflicts["conflicts"][0]["document"]["share"], 7);
        let kept = record(entries[1], "workspace/yard").await;
        assert_eq!(kept["document"]["share"], 7);
    });
}
