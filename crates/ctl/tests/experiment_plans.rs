//! Requests that experiments send, and their reports.
#![allow(clippy::unwrap_used, missing_docs)]

use ctl::experiment::deployment::DEPLOYMENTS;
use ctl::experiment::outcome::{ArmOutcome, Outcome};
use ctl::experiment::scenario::Scenario;
use ctl::load::arrival::draw;
use ctl::load::caller::{RequestOutcome, RequestResult};
use ctl::load::tally::Tally;
use std::time::Duration;

const NAMES: [&str; 9] = [
    "steady",
    "flash",
    "straggler",
    "failstop",
    "stale",
    "prefix",
    "retrystorm",
    "storedown",
    "mixed",
];

#[test]
fn same_requests() {
    for name in NAMES {
        let scenario: Scenario = name.parse().unwrap();
        assert_eq!(scenario.to_string(), name);
        for deployment in &DEPLOYMENTS {
            let [one, other] =
                [7, 7].map(|seed| draw(&scenario.plan(deployment, seed).sources, seed));
            let texts = |arrivals: &[ctl::load::arrival::Arrival]| {
                let texts = arrivals.iter().map(|one| (one.at, one.text.clone()));
                texts.collect::<Vec<_>>()
            };
            assert_eq!(texts(&one), texts(&other));
            assert!(one.is_sorted_by_key(|arrival| arrival.at));
        }
    }
    assert!("swop".parse::<Scenario>().is_err());
}

/// In the `flash` scenario streamed requests reach twice the capacity, while the rate of the others
/// is unchanged. A smaller load would not show the effects of overload.
#[test]
fn twice_the_capacity() {
    for deployment in &DEPLOYMENTS {
        let plan = Scenario::Flash.plan(deployment, 1);
        let crowded = Duration::from_secs(8);
        let rates = plan.sources.iter().filter(|source| source.work.stream);
        let rate: f64 = rates
            .flat_map(|source| &source.phases)
            .filter(|(span, _)| span.contains(&crowded))
            .map(|(_, rate)| rate)
            .sum();
        assert!((rate / deployment.capacity() - 2.0).abs() < 1e-6);
    }
}

/// A complete answer that arrives just after its deadline counts as late, and a refused request
/// counts as offered, so that refusals do not raise the attainment.
#[test]
fn attainment_of_offered() {
    let arrivals = draw(&Scenario::Steady.plan(&DEPLOYMENTS[0], 1).sources, 1);
    let arrival = arrivals.iter().find(|one| one.work.stream).unwrap();
    let mut tally = Tally::default();
    for (outcome, millis) in [
        (RequestOutcome::Complete, 900),
        (RequestOutcome::Complete, 1_001),
        (RequestOutcome::NotRun(None), 1),
        (RequestOutcome::Lost, 1),
    ] {
        tally.add(
            arrival,
            &RequestResult {
                outcome,
                elapsed: Duration::from_millis(millis),
                time_to_first: None,
                intervals: Vec::new(),
                submissions: 1,
                finished_at: tokio::time::Instant::now(),
            },
            Duration::from_secs(4),
        );
    }
    let counts = tally.summary().counts;
    assert_eq!(
        (counts.on_time, counts.late, counts.not_run, counts.lost),
        (1, 1, 1, 1)
    );
    assert!((counts.attainment - 0.25).abs() < 1e-9);
}

#[test]
fn drawn_as_svg() {
    let arms = ["naive", "shipped"].map(|name| ArmOutcome::new(name, Vec::new()));
    let outcome = Outcome {
        scenario: "steady".to_owned(),
        seed: 1,
        arms: arms.into(),
    };
    let directory = std::env::temp_dir().join(format!("linnetdrift-report-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("steady.json");
    std::fs::write(&file, serde_json::to_string(&outcome).unwrap()).unwrap();
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_linnetdrift"))
        .args([
            "report",
            file.to_str().unwrap(),
            "--out",
            directory.to_str().unwrap(),
        ])
        .output()
        .unwrap();
    assert!(
        run.status.success(),
        "{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let drawing = std::fs::read_to_string(directory.join("steady-1.svg")).unwrap();
    std::fs::remove_dir_all(directory).unwrap();
    assert!(drawing.starts_with("<svg") && drawing.contains("shipped"));
}
