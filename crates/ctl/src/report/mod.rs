//! `report`: draws the results of experiments.
//!
//! * [`chart`]: grouped bar charts

pub mod chart;

use crate::command::{Command, Help};
use crate::error::FileSnafu;
use crate::experiment::outcome::{ArmOutcome, Outcome};
use crate::{Common, Error, output};
use chart::{Bars, Group};
use getopts::{Matches, Options};
use snafu::ResultExt;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Draws one SVG file for each output of `experiment`.
#[derive(Debug)]
pub struct Report {
    files: Vec<PathBuf>,
    out: PathBuf,
}

impl Command for Report {
    const HELP: Help = Help {
        name: "report",
        arguments: "FILE...",
        about: "Draw the results of experiments, one SVG for each",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "out", "directory for the drawings (.)", "DIR");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        if matches.free.is_empty() {
            return Err(Error::usage("FILE is missing"));
        }
        Ok(Self {
            files: matches.free.iter().map(PathBuf::from).collect(),
            out: matches.opt_str("out").unwrap_or(".".to_owned()).into(),
        })
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        for file in &self.files {
            let outcome = read_outcome(file)?;
            let name = format!("{}-{}.svg", outcome.scenario, outcome.seed);
            let path = self.out.join(name);
            chart::draw(&path, &title(&outcome), &panels(&outcome))?;
            output::line(path.display())?;
        }
        Ok(())
    }
}

fn read_outcome(path: &Path) -> Result<Outcome, Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    serde_json::from_str(&text).map_err(|error| {
        Error::usage(format!(
            "{} is not the output of `experiment`: {error}",
            path.display()
        ))
    })
}

fn title(outcome: &Outcome) -> String {
    format!("{}, seed {}", outcome.scenario, outcome.seed)
}

/// Creates the panels: requests by outcome, attainment by workspace, and times.
fn panels(outcome: &Outcome) -> Vec<Bars> {
    let arms: Vec<String> = outcome.arms.iter().map(|arm| arm.name.clone()).collect();
    let bars = |title: &str, unit: &str, groups| Bars {
        title: title.to_owned(),
        unit: unit.to_owned(),
        arms: arms.clone(),
        groups,
    };
    vec![
        bars(
            "Requests",
            "share of offered",
            request_outcomes(&outcome.arms),
        ),
        bars(
            "Attainment by workspace",
            "share on time",
            workspaces(&outcome.arms),
        ),
        bars("Times", "ms", times(&outcome.arms)),
    ]
}

fn request_outcomes(arms: &[ArmOutcome]) -> Vec<Group> {
    let share = |name: &str, count: fn(&ArmOutcome) -> u64| Group {
        name: name.to_owned(),
        values: arms
            .iter()
            .map(|arm| count(arm) as f64 / arm.counts.offered.max(1) as f64)
            .collect(),
    };
    vec![
        share("on time", |arm| arm.counts.on_time),
        share("late", |arm| arm.counts.late),
        share("not run", |arm| arm.counts.not_run),
        share("unknown", |arm| arm.counts.unknown),
        share("failed", |arm| arm.counts.failed),
        share("lost", |arm| arm.counts.lost),
    ]
}

fn workspaces(arms: &[ArmOutcome]) -> Vec<Group> {
    let names = arms.iter().flat_map(|arm| arm.by_workspace.keys());
    let names: BTreeSet<&String> = names.collect();
    let group = |name: &String| Group {
        name: name.clone(),
        values: arms
            .iter()
            .map(|arm| {
                let counts = arm.by_workspace.get(name);
                counts.map_or(0.0, |counts| counts.attainment)
            })
            .collect(),
    };
    names.into_iter().map(group).collect()
}

fn times(arms: &[ArmOutcome]) -> Vec<Group> {
    let group = |name: &str, time: fn(&ArmOutcome) -> f64| Group {
        name: name.to_owned(),
        values: arms.iter().map(time).collect(),
    };
    vec![
        group("answer p50", |arm| arm.latency_ms.p50),
        group("answer p95", |arm| arm.latency_ms.p95),
        group("answer p99", |arm| arm.latency_ms.p99),
        group("first token p50", |arm| arm.ttft_ms.p50),
        group("first token p99", |arm| arm.ttft_ms.p99),
        group("between tokens p99", |arm| arm.itl_ms.p99),
    ]
}
