//! Runners that become unresponsive under a request.

use protocol::quarantine::{Admission, CRASH_THRESHOLD, Merge, Quarantine, Report};
use std::time::Duration;

type Known = Quarantine<&'static str>;

const SECOND: Duration = Duration::from_secs(1);
const RUNNERS: [&str; 3] = ["a", "b", "c"];

/// Lets the request wait for a second at each of these runners, one after another.
fn wait_at_runners(known: &mut Known, runners: &[&'static str]) -> Option<Report<&'static str>> {
    let mut last = None;
    for (number, runner) in (0..).zip(runners) {
        let sent = SECOND * number;
        last = known.runner_unresponsive(7, runner, sent, sent + SECOND);
    }
    last
}

/// Guards against a request that makes one runner after another unresponsive before the platform's list
/// shows the exit of the first.
#[test]
fn three_silent_runners_quarantine() {
    let mut known = Known::default();
    wait_at_runners(&mut known, &RUNNERS[..2]);
    assert_eq!(
        known.admission(7, 0, SECOND * 3),
        Admission::Deferred(SECOND / 4)
    );
    wait_at_runners(&mut known, &RUNNERS);
    assert!(matches!(
        known.admission(7, 0, SECOND * 3),
        Admission::Held(_)
    ));
    assert_eq!(known.admission(8, 0, SECOND * 3), Admission::Free);
    assert_eq!(known.admission(7, 0, SECOND * 9), Admission::Free);
}

/// Guards against quarantining a request for which runners are slow while they answer others.
#[test]
fn signs_of_life_end_silence() {
    let mut known = Known::default();
    wait_at_runners(&mut known, &RUNNERS);
    known.runner_observed(&"b", SECOND * 3);
    assert_eq!(
        known.admission(7, 0, SECOND * 3),
        Admission::Deferred(SECOND + SECOND / 4)
    );
    assert_eq!(known.exposure(7, SECOND * 3), CRASH_THRESHOLD - 1);
    known.runner_observed(&"c", SECOND * 3);
    assert_eq!(known.admission(7, 0, SECOND * 3), Admission::Free);
}

/// Guards against a request that stays quarantined although a runner has answered it.
#[test]
fn response_clears() {
    let mut known = Known::default();
    wait_at_runners(&mut known, &RUNNERS);
    let merged = known.answered(7, &"d", SECOND * 3);
    assert!(matches!(merged, Merge::New { .. }));
    assert_eq!(known.exposure(7, SECOND * 3), 0);
}

/// Guards against reports that processes announce to one another endlessly.
#[test]
fn reports_are_announced_once() {
    let mut known = Known::default();
    let report = wait_at_runners(&mut known, &RUNNERS).expect("new");
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
    // A process that learns of the response first.
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

/// Guards against blaming requests that reached a runner that was already unresponsive.
#[test]
fn later_requests_are_not_blamed() {
    let mut known = Known::default();
    known.runner_unresponsive(7, &"a", Duration::ZERO, SECOND);
    known.runner_unresponsive(8, &"a", SECOND, SECOND * 2);
    assert_eq!(known.exposure(7, SECOND * 2), 1);
    assert_eq!(known.exposure(8, SECOND * 2), 0);
}

/// Guards against further attempts while others are in progress and one runner is unresponsive already.
#[test]
fn attempts_in_progress_count() {
    let mut known = Known::default();
    known.attempt_started(7, "b");
    known.attempt_started(7, "c");
    assert!(known.may_spread(7, SECOND));
    known.runner_unresponsive(7, &"a", Duration::ZERO, SECOND);
    assert!(!known.may_spread(7, SECOND));
    known.attempt_ended(7, &"b");
    assert!(known.may_spread(7, SECOND));
}

/// Guards against an exit that is not attributed to any request, because the request was still waiting.
#[test]
fn exit_of_silent_runner_is_attributed() {
    let mut known = Known::default();
    known.runner_unresponsive(7, &"a", Duration::ZERO, SECOND);
    assert_eq!(known.runner_exited(&"a", SECOND * 3).len(), 1);
    assert_eq!(known.crashes(7), 1);
    assert_eq!(known.exposure(7, SECOND * 3), 0);
}

/// Guards against a wait that dates the exit of its runner before the request that crashed it.
#[test]
fn wait_does_not_predate_crash() {
    let mut known = Known::default();
    known.runner_unresponsive(8, &"a", Duration::ZERO, SECOND);
    known.answer_lost(7, "a", SECOND * 3 - SECOND / 10, SECOND * 3);
    let reports = known.runner_exited(&"a", SECOND * 3);
    assert!(reports.iter().any(|report| report.content == 7));
}

/// Guards against attempts that are sent while others are in progress that were sent before two runners
/// were known to be unresponsive, and against several attempts at once after that.
#[test]
fn next_attempt_waits_for_those_in_progress() {
    let mut known = Known::default();
    wait_at_runners(&mut known, &RUNNERS[..1]);
    assert_eq!(known.admission(7, 0, SECOND * 2), Admission::Free);
    wait_at_runners(&mut known, &RUNNERS[..2]);
    let settled = SECOND * 3 + SECOND / 4;
    assert_eq!(
        known.admission(7, 0, SECOND * 2),
        Admission::Deferred(settled - SECOND * 2)
    );
    assert!(known.grant_trial(7, 0, SECOND * 3).is_none());
    assert!(known.grant_trial(7, 0, settled).is_some());
    assert!(known.grant_trial(7, 0, settled).is_none());
}

/// Guards against a silence that no longer counts at a process which learns of the runner's exit before
/// the process that sent the request there.
#[test]
fn exit_counts_as_silence_until_attributed() {
    let (mut known, mut other) = (Known::default(), Known::default());
    let report = wait_at_runners(&mut known, &RUNNERS[..1]).expect("new");
    other.merge(&report, SECOND);
    other.runner_exited(&"a", SECOND * 2);
    assert_eq!(other.risk(7, SECOND * 2), 1);
    for crash in known.runner_exited(&"a", SECOND * 3) {
        other.merge(&crash, SECOND * 3);
    }
    assert_eq!(other.risk(7, SECOND * 3), 1);
    other.merge(&report, SECOND * 3);
    assert_eq!((other.crashes(7), other.exposure(7, SECOND * 3)), (1, 0));
}

/// Guards against blaming an attempt for a silent runner although the request was answered after it was
/// sent there.
#[test]
fn answered_meanwhile() {
    let mut known = Known::default();
    known.request_answered(7, SECOND / 2);
    assert!(
        known
            .runner_unresponsive(7, &"a", Duration::ZERO, SECOND)
            .is_none()
    );
    assert!(
        known
            .runner_unresponsive(7, &"a", SECOND, SECOND * 2)
            .is_some()
    );
}

/// Guards against a busy process that forgets its latest responses because of the older ones.
#[test]
fn answered_meanwhile_by_busy_process() {
    let mut known = Known::default();
    for content in 100..20_000 {
        known.request_answered(content, SECOND / 4);
    }
    known.request_answered(7, SECOND / 2);
    assert!(
        known
            .runner_unresponsive(7, &"a", Duration::ZERO, SECOND)
            .is_none()
    );
}
