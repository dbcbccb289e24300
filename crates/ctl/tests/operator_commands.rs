//! Operators' commands against an entry that serves over TLS, with separate processes.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::fleet::Fleet;
use ctl::operator::{Change, Records};
use ctl::{Common, Error, Format, OperatorClient};
use record::{Document, schema};
use serde_json::{Value, json};
use setting::{Place, Platform, Policy, Tls};
use standin::{Kind, Options};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const CLIENT: &str = env!("CARGO_BIN_EXE_linnetdrift");
const TOKEN: &str = "token-of-maia";

struct Bench {
    directory: PathBuf,
    entry: String,
    ca: PathBuf,
    fleet: Fleet,
}

impl Bench {
    fn start(name: &str) -> Self {
        let name = format!("linnetdrift-{name}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        let programs = Path::new(CLIENT).parent().unwrap();
        let mut fleet = Fleet::with_programs(&directory, programs).unwrap();
        let mut start = |name, kind| fleet.standin(name, kind, &Options::default()).unwrap();
        let platform = Platform {
            table: start("table", Kind::Table),
            objects: start("object", Kind::Object),
            vms: start("vm", Kind::Vm),
            weights: None,
        };
        let tls = certificate(&directory, "entry");
        let ca = tls.certificate.clone();
        let ready = fleet.entry(&settings(platform, tls)).unwrap();
        let entry = format!("https://{}", ready.listen);
        let bench = Self {
            directory,
            entry,
            ca,
            fleet,
        };
        // An entry accepts connections before it has read the configuration.
        while bench.json(&["status"])["ready"] != true {}
        bench
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let ca = self.ca.display().to_string();
        let mut command = Command::new(CLIENT);
        command
            .args(arguments)
            .args(["--entry", &self.entry, "--ca", &ca]);
        command.env("LINNETDRIFT_TOKEN", TOKEN).output().unwrap()
    }

    /// Runs a command and returns the JSON that it prints.
    fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["--format", "json"]].concat());
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {errors}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    fn write(&self, documents: &Value) -> String {
        let path = self.directory.join("records.json");
        std::fs::write(&path, documents.to_string()).unwrap();
        path.display().to_string()
    }

    fn operator(&self) -> OperatorClient {
        let common = Common {
            entries: vec![self.entry.parse().unwrap()],
            ca: Some(self.ca.clone()),
            token: Some(TOKEN.to_owned()),
            format: Format::Json,
        };
        OperatorClient::new(&common).unwrap()
    }

    fn stop(mut self) {
        self.fleet.stop().unwrap();
        std::fs::remove_dir_all(&self.directory).unwrap();
    }
}

fn settings(platform: Platform, tls: Tls) -> setting::Entry {
    setting::Entry {
        id: "entry-a1".to_owned(),
        place: Place {
            region: "ee-north".to_owned(),
            domain: "a".to_owned(),
        },
        listen: "127.0.0.1:0".parse().unwrap(),
        metrics: "127.0.0.1:0".parse().unwrap(),
        platform,
        key: "shared".to_owned(),
        operators: vec![setting::Operator {
            name: "maia".to_owned(),
            token: TOKEN.to_owned(),
        }],
        tls: Some(tls),
        policy: Policy::Shipped,
        vms_poll_ms: 50,
        head_poll_ms: 50,
        journal_beat_ms: 5_000,
        subset: 64,
        news: None,
        placement: setting::Placement::default(),
    }
}

fn certificate(directory: &Path, name: &str) -> Tls {
    let generated = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    let tls = Tls {
        certificate: directory.join(format!("{name}.pem")),
        key: directory.join(format!("{name}.key")),
        ca: None,
    };
    std::fs::write(&tls.certificate, generated.cert.pem()).unwrap();
    std::fs::write(&tls.key, generated.signing_key.serialize_pem()).unwrap();
    tls
}

fn workspace(share: u32) -> Value {
    json!({"schema": 1, "kind": "workspace", "name": "trial", "share": share})
}

#[test]
fn round_trip() {
    let bench = Bench::start("round-trip");
    let records = bench.write(&json!([workspace(3)]));
    assert_eq!(
        bench.json(&["plan", &records])["changes"][0]["action"],
        "create"
    );
    assert_eq!(bench.json(&["apply", &records])["revision"], 1);
    assert_eq!(
        bench.json(&["get", "workspace/trial"])["document"]["share"],
        3
    );
    assert_eq!(bench.json(&["drain", "vm-1"])["drained"], true);
    let pruned = bench.json(&["apply", "--prune", &bench.write(&json!([]))]);
    assert_eq!(pruned["changes"][0]["key"], "workspace/trial");
    assert_eq!(
        bench.json(&["get"])["records"][0]["document"]["kind"],
        "drain"
    );
    assert_eq!(bench.json(&["undrain", "vm-1"])["drained"], false);
    let history = bench.json(&["history", "--after", "1"]);
    let operators = history["changes"].as_array().unwrap().iter();
    let operators: Vec<&Value> = operators.map(|change| &change["operator"]).collect();
    assert_eq!(operators, ["maia", "maia", "maia"]);
    assert_eq!(bench.json(&["status"])["revision"], 4);
    bench.stop();
}

/// A client that knows only schema 1 raises a deadline. The pipeline stays durable, as a newer
/// client has set it; otherwise requests would silently no longer be journalled.
#[test]
fn older_client() {
    let bench = Bench::start("older-client");
    let service = json!({"schema": 1, "kind": "service", "name": "encoder", "runner": "pool",
        "concurrency": 4});
    let mut pipeline = json!({"schema": 2, "kind": "pipeline", "name": "review", "version": 1,
        "deadline_ms": 500, "durable": true,
        "stages": [{"name": "encode", "service": "encoder"}]});
    bench.json(&["apply", &bench.write(&json!([service, pipeline]))]);
    pipeline["schema"] = 1.into();
    pipeline["deadline_ms"] = 800.into();
    pipeline.as_object_mut().unwrap().remove("durable");
    bench.json(&["apply", &bench.write(&json!([pipeline]))]);
    let kept = &bench.json(&["get", "pipeline/review@1"])["document"];
    assert_eq!(kept["deadline_ms"], 800);
    assert_eq!(kept["durable"], true);
    assert_eq!(kept["schema"], 2);
    bench.stop();
}

/// Guards against a lost update: two operators change a record that both have read. The second one
/// gets a conflict with the revision of the accepted change.
#[tokio::test]
async fn race_lost() {
    let bench = Bench::start("race-lost");
    bench.json(&["apply", &bench.write(&json!([workspace(3)]))]);
    let records: Records = bench.operator().records().await.unwrap();
    let amend = |share| {
        let document: Document = serde_json::from_value(workspace(share)).unwrap();
        let mut change = Change::with_random_token();
        change.base = [(document.key(), Some(records.records[0].revision))].into();
        change.documents.push(document);
        change
    };
    bench.operator().apply(&amend(4)).await.unwrap();
    let error = bench.operator().apply(&amend(5)).await.unwrap_err();
    let Error::Conflicting { conflicts } = &error else {
        panic!("{error}");
    };
    assert_eq!(conflicts[0].revision, Some(2));
    assert_eq!(
        bench.json(&["get", "workspace/trial"])["document"]["share"],
        4
    );
    bench.stop();
}

/// Guards against a record that refers to an undefined service, which would fail every request. The
/// command detects it before anything is sent, and the entry rejects it if a client does not check.
#[tokio::test]
async fn unknown_service() {
    let bench = Bench::start("unknown-service");
    let pipeline = json!({"schema": schema::OLDEST, "kind": "pipeline", "name": "review",
        "version": 1, "deadline_ms": 500, "stages": [{"name": "encode", "service": "nobody"}]});
    let path = bench.write(&pipeline);
    let output = bench.run(&["apply", &path]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    insta::assert_snapshot!("by_command", errors.replace(&path, "records.json"));
    let document: Document = serde_json::from_value(pipeline).unwrap();
    let mut change = Change::with_random_token();
    change.base = [(document.key(), None)].into();
    change.documents.push(document);
    let error = bench.operator().apply(&change).await.unwrap_err();
    assert_eq!(error.exit(), 2);
    insta::assert_snapshot!("by_entry", error);
    assert_eq!(bench.json(&["status"])["revision"], 0);
    bench.stop();
}

/// A team applies a file that refers to a service of another team's file. The service is already in
/// force, and the plan is checked against all records that stay in force.
#[test]
fn part_of_records() {
    let bench = Bench::start("part-of-records");
    let service = json!({"schema": 1, "kind": "service", "name": "encoder", "runner": "pool",
        "concurrency": 4});
    let pipeline = json!({"schema": 1, "kind": "pipeline", "name": "review", "version": 1,
        "deadline_ms": 500, "stages": [{"name": "encode", "service": "encoder"}]});
    bench.json(&["apply", &bench.write(&service)]);
    bench.json(&["apply", &bench.write(&pipeline)]);
    let output = bench.run(&["plan", "--prune", &bench.write(&pipeline)]);
    assert_eq!(output.status.code(), Some(2));
    bench.stop();
}

/// A wrong token, and a certificate of another authority, lead to a clear message and no change.
#[test]
fn unauthorized_refused() {
    let mut bench = Bench::start("strangers-refused");
    let records = bench.write(&workspace(3));
    let output = bench.run(&["apply", &records, "--token", "token-of-nobody"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("401 Unauthorized"));
    let right = bench.ca.clone();
    bench.ca = certificate(&bench.directory, "other").certificate;
    let output = bench.run(&["apply", &records]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("certificate"));
    bench.ca = right;
    assert_eq!(bench.json(&["status"])["revision"], 0);
    bench.stop();
}
