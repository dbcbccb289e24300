//! Findings in settings files, with their positions.

#![allow(clippy::unwrap_used, missing_docs)]

const ENTRY: &str = r#"{
  // an entry with the required fields only
  "id": "entry-1",
  "place": {"region": "ee-north", "domain": "a"},
  "listen": "127.0.0.1:0",
  "metrics": "127.0.0.1:0",
  "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:2", "vms": "127.0.0.1:3"},
  "key": "shared"
}"#;

const BAD_ENTRY: &str = r#"{
  "id": "entry 1",
  "palce": {"region": "ee-north"},
  "listen": "localhost:80",
  "metrics": "127.0.0.1:0",
  "metrics": "127.0.0.1:1",
  "platform": {"table": "127.0.0.1:0", "objects": "127.0.0.1:2", "vms": 3},
  "key": "",
  "operators": [{"name": "maia"}],
  "tls": {"certificate": "a.pem", "kye": "b.pem"},
  "policy": "clever",
  "head_poll_ms": 5
}"#;

#[test]
fn defaults_filled() {
    let entry = setting::entry::parse(ENTRY, "entry.jsonc").unwrap();
    assert_eq!(entry.head_poll_ms, 1_000);
    assert_eq!(entry.policy, setting::Policy::Shipped);
    assert_eq!(entry.news, None);
    assert_eq!(
        (entry.placement.loads, entry.placement.every_ms),
        (1, 5_000)
    );
}

/// Guards against a relay that does not start because its settings name a policy that the validator
/// does not know.
#[test]
fn policies_known() {
    let policy = serde_json::to_string(&setting::relay::Policies::default()).unwrap();
    let text = format!(
        r#"{{"id": "relay-1", "place": {{"region": "ee-north", "domain": "a"}},
        "listen": "127.0.0.1:0", "ready": "127.0.0.1:0", "metrics": "127.0.0.1:0",
        "peers": "127.0.0.1:0", "key": "shared", "store": "127.0.0.1:1", "policy": {policy}}}"#
    );
    setting::relay::parse(&text, "relay.jsonc").unwrap();
}

/// All faults of a file are reported at once. If only the first were, an operator would need one
/// start per fault, and the fleet would stay down longer than necessary.
#[test]
fn all_at_once() {
    let findings = setting::entry::parse(BAD_ENTRY, "entry.jsonc").unwrap_err();
    insta::assert_snapshot!(findings);
}

/// A file with a missing brace is rejected with the line on which parsing stopped.
#[test]
fn broken_text() {
    let findings = setting::agent::parse("{\n  \"id\": \"a\",\n  \"place\": ]\n", "agent.jsonc");
    insta::assert_snapshot!(findings.unwrap_err());
}

/// Two operators must not share a token, for example after copy and paste: the change log would
/// attribute the second operator's changes to the first.
#[test]
fn shared_token() {
    let operators = r#""operators": [
    {"name": "maia", "token": "t"},
    {"name": "juhan", "token": "t"}], "key""#;
    let text = ENTRY.replace("\"key\"", operators);
    insta::assert_snapshot!(setting::entry::parse(&text, "entry.jsonc").unwrap_err());
}
