//! Runners from which nothing comes while they hold a request unanswered.

use protocol::quarantine::{Admission, CRASH_THRESHOLD, Merge, Quarantine, Report};
use std::time::Duration;

type Known = Quarantine<&'static str>;

const SECOND: Duration = Duration::from_secs(1);
const RUNNERS: [&str; 3] = ["a", "b", "c"];

/// The request has waited for a second at each of these runners, one after the other.
fn waited(known: &mut Known, runners: &[&'static str]) -> Option<Report<&'static str>> {
    let mut last = None;
    for (number, runner) in (0..).zip(runners) {
        let sent = SECOND * number;
        last = known.runner_unresponsive(7, runner, sent, sent + SECOND);
    }
    last
}

/// Guards against a request that silences one runner after the other before the list tells of the first.
#[test]
fn held_at_three() {
    let mut known = Known::default();
    waited(&mut known, &RUNNERS[..2]);
    assert_eq!(known.admission(7, 0, SECOND * 3), Admission::Free);
    waited(&mut known, &RUNNERS);
    assert!(matches!(
        known.admission(7, 0, SECOND * 3),
        Admission::Held(_)
    ));
    assert_eq!(known.admission(8, 0, SECOND * 3), Admission::Free);
    assert_eq!(known.admission(7, 0, SECOND * 9), Admission::Free);
}

/// Guards against a request that is held back since runners were slow for it and answered others.
#[test]
fn signs_of_life() {
    let mut known = Known::default();
    waited(&mut known, &RUNNERS);
    known.runner_observed(&"b", SECOND * 3);
    assert_eq!(known.admission(7, 0, SECOND * 3), Admission::Free);
    assert_eq!(known.exposure(7, SECOND * 3), CRASH_THRESHOLD - 1);
}

/// Guards against a request that stays held back although a runner has answered it.
#[test]
fn answer_clears() {
    let mut known = Known::default();
    waited(&mut known, &RUNNERS);
    let merged = known.answered(7, &"d", SECOND * 3);
    assert!(matches!(merged, Merge::New { .. }));
    assert_eq!(known.exposure(7, SECOND * 3), 0);
}

/// Guards against reports that processes announce to one another without end.
#[test]
fn announced_once() {
    let mut known = Known::default();
    let report = waited(&mut known, &RUNNERS).expect("new");
    let mut other = Known::default();
    assert!(matches!(
        other.merge(&report, SECOND * 3),
        Merge::New { .. }
    ));
    assert_eq!(other.merge(&report, SECOND * 3), Merge::Known);
    known.answered(7, &"d", SECOND * 3);
    let cleared = known.report(7, SECOND * 3).expect("known");
    other.merge(&cleared, SECOND * 3);
    assert_eq!(other.merge(&cleared, SECOND * 3), Merge::Known);
    assert_eq!(other.merge(&report, SECOND * 3), Merge::Known);
    assert_eq!(other.exposure(7, SECOND * 3), 0);
    // One that learns of the answer first.
    let mut newcomer = Known::default();
    newcomer.merge(
        &Report {
            silences: Vec::new(),
            ..cleared
        },
        SECOND * 3,
    );
    assert_eq!(newcomer.merge(&report, SECOND * 3), Merge::Known);
}

/// Guards against the blame of requests that came to a runner which another one had silenced.
#[test]
fn came_later() {
    let mut known = Known::default();
    known.runner_unresponsive(7, &"a", Duration::ZERO, SECOND);
    known.runner_unresponsive(8, &"a", SECOND, SECOND * 2);
    assert_eq!(known.exposure(7, SECOND * 2), 1);
    assert_eq!(known.exposure(8, SECOND * 2), 0);
}

/// Guards against attempts that are on their way to further runners while one is silent already.
#[test]
fn attempts_in_progress() {
    let mut known = Known::default();
    known.attempt_started(7, "b");
    known.attempt_started(7, "c");
    assert!(known.may_spread(7, SECOND));
    known.runner_unresponsive(7, &"a", Duration::ZERO, SECOND);
    assert!(!known.may_spread(7, SECOND));
    known.attempt_ended(7, &"b");
    assert!(known.may_spread(7, SECOND));
}

/// Guards against the end of a runner that nobody is blamed for, since the request still waited there.
#[test]
fn ends_unanswered() {
    let mut known = Known::default();
    known.runner_unresponsive(7, &"a", Duration::ZERO, SECOND);
    assert_eq!(known.runner_exited(&"a", SECOND * 3).len(), 1);
    assert_eq!(known.crashes(7), 1);
    assert_eq!(known.exposure(7, SECOND * 3), 0);
}

/// Guards against a wait that moves the end of its runner to before what ended it.
#[test]
fn wait_then_crash() {
    let mut known = Known::default();
    known.runner_unresponsive(8, &"a", Duration::ZERO, SECOND);
    known.answer_lost(7, "a", SECOND * 3 - SECOND / 10, SECOND * 3);
    let reports = known.runner_exited(&"a", SECOND * 3);
    assert!(reports.iter().any(|report| report.content == 7));
}
