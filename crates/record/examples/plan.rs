//! What applying a record would change, and what is wrong with one: `cargo run -p record --example
//! plan`.

use record::{Document, Plan, check};
use serde_json::json;

fn main() -> Result<(), serde_json::Error> {
    let in_force: Document = serde_json::from_value(json!(
        {"schema": 2, "kind": "pipeline", "name": "review", "version": 1, "deadline_ms": 8000,
         "attainment": 0.3, "stages": [{"name": "generate", "service": "critic", "stream": true}]}
    ))?;

    // This writer knows schema 1 only; `attainment` stays as it is.
    let mut wanted = in_force.clone();
    wanted.schema = 1;
    wanted.body.remove("attainment");
    wanted.body.insert("deadline_ms".into(), 5000.into());
    println!("{}\n", Plan::new(&[in_force], &[wanted.clone()], false));

    wanted.body.insert("deadline_ms".into(), 0.into());
    wanted.body.insert("stages".into(), json!([]));
    println!("{}", check::document(&wanted));
    Ok(())
}
