//! Even distribution and stability of the subsets of a pool.

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

fn subset_of(entry: usize, size: usize, pool: &[Candidate<'_>]) -> HashSet<String> {
    let own = format!("entry-{entry}");
    let subset = choose(&own, size, pool);
    subset.iter().map(|one| one.id.to_owned()).collect()
}

/// 750 entry processes each choose 9 of 333 targets. A target that no process chose would stay idle,
/// and one that far more processes chose than others would be the first to queue.
#[test]
fn every_target_chosen() {
    let names = names(333);
    let pool = pool(&names);
    let mut counts: HashMap<String, u32> = HashMap::new();
    let entries = 750;
    for entry in 0..entries {
        for id in subset_of(entry, 9, &pool) {
            *counts.entry(id).or_default() += 1;
        }
    }
    let mean = f64::from(entries as u32 * 9) / 333.0;
    assert_eq!(counts.len(), 333);
    let most = f64::from(*counts.values().max().unwrap());
    let least = f64::from(*counts.values().min().unwrap());
    assert!(
        most < 2.0 * mean && least > 0.3 * mean,
        "{least} {mean} {most}"
    );
}

/// One target leaves. If that changed more than this target in the subsets, every failure would break
/// links, and the calls on them, in the whole fleet.
#[test]
fn one_removed_one_changed() {
    let names = names(120);
    let all = pool(&names);
    for removed in 0..all.len() {
        let mut remaining = all.clone();
        remaining.remove(removed);
        let before = subset_of(7, 12, &all);
        let after = subset_of(7, 12, &remaining);
        assert!(before.difference(&after).count() <= 1);
    }
}

/// A failure domain is lost. The entry process keeps two thirds of its subset.
#[test]
fn domain_lost() {
    let names = names(90);
    let subset = choose("entry-3", 12, &pool(&names));
    let lost = subset.iter().filter(|one| one.domain == "b").count();
    assert_eq!(lost, 4);
}
