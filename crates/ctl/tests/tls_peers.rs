//! Entries that serve over TLS also call one another over TLS.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::fleet::Fleet;
use ctl::rig::probe::wait_until;
use ctl::{Client, Common, Format, listing};
use hyper::Method;
use hyper::header::{HeaderMap, HeaderValue};
use serde_json::{Value, json};
use setting::{Operator, Place, Platform, Policy, Tls};
use standin::{Kind, Options};
use std::path::{Path, PathBuf};
use store::Role;

const TOKEN: &str = "token-of-maia";

fn place() -> Place {
    Place {
        region: "ee-north".to_owned(),
        domain: "a".to_owned(),
    }
}

fn settings(id: &str, platform: &Platform, tls: &Tls) -> setting::Entry {
    setting::Entry {
        id: id.to_owned(),
        place: place(),
        listen: listing::any_port(),
        metrics: listing::any_port(),
        platform: platform.clone(),
        key: "shared".to_owned(),
        operators: vec![Operator {
            name: "maia".to_owned(),
            token: TOKEN.to_owned(),
        }],
        tls: Some(tls.clone()),
        policy: Policy::Shipped,
        vms_poll_ms: 50,
        head_poll_ms: 50,
        journal_beat_ms: 5_000,
        subset: 64,
        news: None,
        placement: setting::Placement::default(),
    }
}

fn certificate(directory: &Path) -> Tls {
    let generated = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    let tls = Tls {
        certificate: directory.join("entry.pem"),
        key: directory.join("entry.key"),
        ca: None,
    };
    std::fs::write(&tls.certificate, generated.cert.pem()).unwrap();
    std::fs::write(&tls.key, generated.signing_key.serialize_pem()).unwrap();
    tls
}

async fn answer(client: &Client, method: Method, path: &str, body: &Value) -> Value {
    let mut headers = HeaderMap::new();
    headers.insert("linnetdrift-workspace", HeaderValue::from_static("yard"));
    let body = body.to_string().into();
    let answer = client.call(method, path, headers, body).await.unwrap();
    answer.json().unwrap()
}

/// A caller sends a request to one entry and fetches its outcome from another, as happens behind a
/// load balancer. If the entries could not call each other, the request would be reported as
/// unknown.
#[tokio::test]
async fn asked_elsewhere() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("tls-peers");
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdrift")).parent();
    let mut fleet = Fleet::with_programs(&directory, programs.unwrap()).unwrap();
    let mut start = |name, kind| fleet.standin(name, kind, &Options::default()).unwrap();
    let platform = Platform {
        table: start("table", Kind::Table),
        objects: start("object", Kind::Object),
        vms: start("vm", Kind::Vm),
        weights: None,
    };
    let tls = certificate(&directory);
    let mut clients = Vec::new();
    for id in ["entry-1", "entry-2"] {
        let ready = fleet.entry(&settings(id, &platform, &tls)).unwrap();
        let vm = listing::vm(id, Role::Entry, "", &place(), ready);
        listing::register(platform.vms, &vm).await.unwrap();
        let common = Common {
            entries: vec![format!("https://{}", ready.listen).parse().unwrap()],
            ca: Some(tls.certificate.clone()),
            token: Some(TOKEN.to_owned()),
            format: Format::Json,
        };
        clients.push(Client::new(&common).unwrap());
    }
    let null_body = json!(null);
    for client in &clients {
        wait_until("the entry is ready", || async {
            answer(client, Method::GET, "/v1/status", &null_body).await["ready"] == true
        })
        .await
        .unwrap();
    }
    let change = json!({"token": "once", "documents": [
        {"schema": 1, "kind": "service", "name": "plain", "runner": "plain", "concurrency": 1},
        {"schema": 1, "kind": "pipeline", "name": "read", "version": 1, "deadline_ms": 1000,
            "stages": [{"name": "read", "service": "plain"}]},
    ]});
    let accepted = answer(&clients[0], Method::POST, "/v1/apply", &change).await;
    assert_eq!(accepted["revision"], 1);
    // There is no target, so the request fails immediately as not run.
    let path = "/v1/pipelines/read/versions/1/run";
    let response = answer(&clients[0], Method::POST, path, &json!({"text": "a"})).await;
    assert_eq!(response["outcome"], "not_run");
    let path = format!("/v1/requests/{}", response["request"].as_str().unwrap());
    wait_until("the other entry knows whom to ask", || async {
        answer(&clients[1], Method::GET, &path, &null_body).await["outcome"] == "not_run"
    })
    .await
    .unwrap();
    fleet.stop().unwrap();
}
