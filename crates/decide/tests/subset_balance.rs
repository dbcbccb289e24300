//! Subsets of a pool are spread evenly and change little.

#![allow(clippy::unwrap_used, missing_docs)]

use decide::subset::{Candidate, choose};
use std::collections::{HashMap, HashSet};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("target-{index}")).collect()
}

fn pool(names: &[String]) -> Vec<Candidate<'_>> {
    let domains = DOMAINS.iter().cycle();
    let candidates = names.iter().zip(domains);
    candidates
        .map(|(id, domain)| Candidate { id, domain })
        .collect()
}

fn chosen(entry: usize, size: usize, pool: &[Candidate<'_>]) -> HashSet<String> {
    let own = format!("entry-{entry}");
    let chosen = choose(&own, size, pool);
    chosen.iter().map(|one| one.id.to_owned()).collect()
}

/// 75 entries each choose 9 of 333 targets. A target that nobody had chosen would stand idle, and
/// one that far more had chosen than others would be the first to queue.
#[test]
fn every_target_chosen() {
    let names = names(333);
    let pool = pool(&names);
    let mut times: HashMap<String, u32> = HashMap::new();
    let entries = 750;
    for entry in 0..entries {
        for id in chosen(entry, 9, &pool) {
            *times.entry(id).or_default() += 1;
        }
    }
    let mean = f64::from(entries as u32 * 9) / 333.0;
    assert_eq!(times.len(), 333);
    let most = f64::from(*times.values().max().unwrap());
    let least = f64::from(*times.values().min().unwrap());
    assert!(
        most < 2.0 * mean && least > 0.3 * mean,
        "{least} {mean} {most}"
    );
}

/// One target goes. If that changed more of an entry's subset than the one target, every failure
/// would break links, and the calls on them, all over the fleet.
#[test]
fn one_gone_one_changed() {
    let names = names(120);
    let all = pool(&names);
    for gone in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(gone);
        let before = chosen(7, 12, &all);
        let after = chosen(7, 12, &rest);
        assert!(before.difference(&after).count() <= 1);
    }
}

/// A failure domain is lost. The entry keeps two thirds of its subset.
#[test]
fn domain_lost() {
    let names = names(90);
    let subset = choose("entry-3", 12, &pool(&names));
    let lost = subset.iter().filter(|one| one.domain == "b").count();
    assert_eq!(lost, 4);
}
