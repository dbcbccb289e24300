//! Previews the change of a record and validates an invalid one: `cargo run -p record --example
//! plan`.

use record::{Document, Plan, check};
use serde_json::json;

fn main() -> Result<(), serde_json::Error> {
    let in_force: Document = serde_json::from_value(json!(
        {"schema": 2, "kind": "pipeline", "name": "review", "version": 1, "deadline_ms": 8000,
         "attainment": 0.3, "stages": [{"name": "generate", "service": "critic", "stream": true}]}
    ))?;

    // The writer knows only schema 1, so `attainment` keeps its value.
    let mut desired = in_force.clone();
    desired.schema = 1;
    desired.body.remove("attainment");
    desired.body.insert("deadline_ms".into(), 5000.into());
    println!("{}\n", Plan::new(&[in_force], &[desired.clone()], false));

    desired.body.insert("deadline_ms".into(), 0.into());
    desired.body.insert("stages".into(), json!([]));
    println!("{}", check::document(&desired));
    Ok(())
}
