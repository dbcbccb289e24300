//! The list of tests that fail for a known fault.

#![allow(clippy::unwrap_used, missing_docs)]

use std::fs::{read_dir, read_to_string};
use std::path::{Path, PathBuf};

/// Returns all files below a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    entries
        .flat_map(|path| {
            if path.is_dir() {
                files(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

/// Returns the sources of all tests.
fn tests(root: &Path) -> Vec<String> {
    let all = files(&root.join("crates"))
        .into_iter()
        .chain(files(&root.join("platform")));
    let tests = all.filter(|path| {
        let in_tests = path.iter().any(|part| part == "tests");
        in_tests && path.extension().is_some_and(|extension| extension == "rs")
    });
    tests.map(|path| read_to_string(path).unwrap()).collect()
}

/// Guards against entries for tests that do not exist, which would make a fault look covered. Each
/// entry names a test that exists once, its command, the observed failure and an issue.
#[test]
fn entries_name_tests() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .unwrap();
    let list = read_to_string(root.join("KNOWN-RED.txt")).unwrap();
    let tests = tests(root);
    let entries = list
        .lines()
        .filter(|line| !line.starts_with('#') && !line.trim().is_empty());
    for entry in entries {
        let fields: Vec<&str> = entry.split('|').map(str::trim).collect();
        assert_eq!(fields.len(), 4, "{entry}");
        assert!(fields.iter().all(|field| !field.is_empty()), "{entry}");
        let name = fields[0].rsplit("::").next().unwrap();
        let function = format!("fn {name}(");
        let found: usize = tests
            .iter()
            .map(|test| test.matches(&function).count())
            .sum();
        assert_eq!(found, 1, "{name}");
        assert!(fields[1].contains("cargo test"), "{entry}");
    }
}
