//! Writers of an old schema that change records of a newer one.

#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use record::{Document, merge};
use serde_json::{Map, Value, json};

/// Seed of the generated cases, so that each run checks the same ones.
const SEED: u64 = 0x11_4e_e7;

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    }
}

fn pipeline(schema: u32, deadline_ms: u64, body: Map<String, Value>) -> Document {
    Document {
        schema,
        kind: record::Kind::Pipeline,
        name: "review".to_owned(),
        version: 1,
        body: [("deadline_ms".to_owned(), deadline_ms.into())]
            .into_iter()
            .chain(body)
            .collect(),
    }
}

/// Fields that schema 1 does not have: those of schema 2 and ones of future schemas.
fn newer_fields() -> impl Strategy<Value = Map<String, Value>> {
    let name = prop_oneof![Just("durable".to_owned()), "x_[a-z]{1,6}"];
    let value = prop_oneof![
        any::<bool>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from)
    ];
    prop::collection::btree_map(name, value, 0..6).prop_map(|fields| fields.into_iter().collect())
}

proptest! {
    #![proptest_config(config())]

    /// An outdated writer changes a record that a newer one wrote. Without the merge, the record
    /// would keep only the fields that the outdated writer knows.
    #[test]
    fn nothing_lost(fields in newer_fields(), newer in 2_u32..5, old in 1_u64..9, new in 1_u64..9) {
        let merged = merge(&pipeline(newer, old, fields.clone()), &pipeline(1, new, Map::new()));
        prop_assert_eq!(merged, pipeline(newer, new, fields));
    }

    /// A writer that knows a field and omits it intends to remove it; keeping it would override the
    /// operator's change.
    #[test]
    fn removal_kept(fields in newer_fields(), old in 1_u64..9, new in 1_u64..9) {
        let written = pipeline(2, new, Map::new());
        prop_assert_eq!(merge(&pipeline(2, old, fields), &written), written);
    }
}

/// A newer schema adds a field to stages, and an old writer reorders them. The field stays with the
/// stage of the same name and does not move to another.
#[test]
fn list_elements() {
    let stages = |stages: Value| Map::from_iter([("stages".to_owned(), stages)]);
    let stored = json!([{"name": "a", "service": "x", "hedge": 1}, {"name": "b", "service": "y"}]);
    let written = json!([{"name": "b", "service": "y"}, {"name": "a", "service": "z"}]);
    let merged = merge(
        &pipeline(3, 1, stages(stored)),
        &pipeline(1, 1, stages(written)),
    );
    let kept = json!([{"name": "b", "service": "y"}, {"name": "a", "service": "z", "hedge": 1}]);
    assert_eq!(merged.body["stages"], kept);
}

/// An old writer removes a field that it knows. The field stays removed, although the stored schema
/// is newer.
#[test]
fn known_field_removed() {
    let stored = json!([{"name": "a", "service": "x", "repeatable": false}]);
    let written = json!([{"name": "a", "service": "x"}]);
    let stages = |stages: Value| Map::from_iter([("stages".to_owned(), stages)]);
    let merged = merge(
        &pipeline(2, 1, stages(stored)),
        &pipeline(1, 1, stages(written.clone())),
    );
    assert_eq!(merged.body["stages"], written);
}
