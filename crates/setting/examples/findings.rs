//! Prints all faults of a settings file at once: `cargo run -p setting --example findings`.

/// Settings with three mistakes and some missing fields.
const TEXT: &str = r#"{
  // A name may not hold spaces.
  "id": "entry a1",
  "place": {"region": "ee-north", "domain": "a"},
  "listen": "10.20.1.11",
  "head_pol_ms": 1000
}"#;

fn main() {
    match setting::entry::parse(TEXT, "entry.jsonc") {
        Ok(entry) => println!("{} would listen on {}", entry.id, entry.listen),
        Err(findings) => println!("{findings}"),
    }
}
