//! The cases of the second review that are shown by a script: `lab CASE FOLDER`, run in the repository.

mod base;
mod leave;
mod poison;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: lab CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    base::begin_record(&folder.join("record.txt"));
    std::panic::set_hook(Box::new(|panic| base::cannot_run(&panic.to_string())));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    base::note(&format!("case {case}, trouble {has_trouble}"));
    let temporary = std::env::temp_dir().join(format!("linnetdrift-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        base::cannot_run("no temporary folder");
    }
    let held = match case.as_str() {
        "leave" => leave::run(&temporary, has_trouble),
        "poison" => poison::run(&temporary, has_trouble),
        _ => base::cannot_run("no such case"),
    };
    base::kill_all();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    base::note(if held { "the rule held" } else { "the rule was broken" });
    std::process::exit(if held { 0 } else { 1 });
}
