//! Rules by which one process quarantines requests that crash runners.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::quarantine::{Admission, Crash, Merge, Quarantine, Report, TRIAL_STAGGER};
use std::time::Duration;

const POISON: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

/// Three runners crashed under the request, one per second; the last one just now.
fn held() -> Quarantine<u32> {
    let mut quarantine = Quarantine::default();
    for runner in 1..=3 {
        let now = SECOND * runner;
        quarantine.answer_lost(POISON, runner, now, now);
        quarantine.runner_exited(&runner, now);
    }
    quarantine
}

/// When the request of [`held`] is due for a trial.
fn due(quarantine: &Quarantine<u32>) -> Duration {
    match quarantine.admission(POISON, 0, SECOND * 3) {
        Admission::Held(left) => SECOND * 3 + left,
        admission => panic!("{admission:?}"),
    }
}

/// Guards against processes that announce a clear to each other for ever: reported times become later with
/// each process that passes them on, and a clear that voids nothing is no news.
#[test]
fn repeated_clear_is_no_news() {
    let mut quarantine = held();
    let clear = Report {
        cleared: Some(Duration::ZERO),
        ..Report::new(POISON)
    };
    let first = quarantine.merge(&clear, SECOND * 4);
    assert!(matches!(first, Merge::New { was_held: true, .. }));
    assert_eq!(quarantine.merge(&clear, SECOND * 8), Merge::Known);
    quarantine.answer_lost(POISON, 9, SECOND * 12, SECOND * 12);
    quarantine.runner_exited(&9, SECOND * 12);
    assert!(matches!(
        quarantine.merge(&clear, SECOND * 14),
        Merge::New { .. }
    ));
}

/// Guards against a hold that starts over because the row of the quarantined request arrives late: it says
/// nothing that the process does not know.
#[test]
fn late_row_extends_no_hold() {
    let mut quarantine = held();
    let due = due(&quarantine);
    let arrival = due - SECOND / 2;
    assert_eq!(quarantine.restore(POISON, 3, arrival), Merge::Known);
    assert_eq!(quarantine.admission(POISON, 0, due), Admission::Trial);
    assert!(matches!(
        quarantine.restore(POISON, 4, arrival),
        Merge::New { .. }
    ));
}

/// Guards against a request that stays quarantined because the process that would try it is gone.
#[test]
fn next_process_makes_trial() {
    let quarantine = held();
    let due = due(&quarantine);
    assert_eq!(quarantine.admission(POISON, 0, due), Admission::Trial);
    assert!(matches!(
        quarantine.admission(POISON, 3, due),
        Admission::Held(_)
    ));
    assert_eq!(
        quarantine.admission(POISON, 3, due + TRIAL_STAGGER * 3),
        Admission::Trial
    );
}

/// Guards against a trial by each process in turn: all processes know of a trial in progress.
#[test]
fn trial_is_known_to_others() {
    let (mut one, mut other) = (held(), held());
    let due = due(&one);
    let report = one.begin_trial(POISON, due).unwrap();
    assert!(matches!(other.merge(&report, due), Merge::New { .. }));
    assert!(matches!(
        other.admission(POISON, 1, due + TRIAL_STAGGER),
        Admission::Held(_)
    ));
}

/// Guards against long holds after trials that failed for other reasons.
#[test]
fn trial_without_outcome_is_repeated() {
    let mut quarantine = held();
    let due = due(&quarantine);
    quarantine.begin_trial(POISON, due);
    assert_eq!(
        quarantine.admission(POISON, 0, due + SECOND * 4),
        Admission::Trial
    );
    // A trial that crashes a runner makes the next hold four times as long.
    quarantine.answer_lost(POISON, 4, due, due + SECOND);
    quarantine.runner_exited(&4, due + SECOND);
    let left = quarantine.admission(POISON, 0, due + SECOND);
    assert_eq!(left, Admission::Held(SECOND * 20));
}

/// Guards against attributing the exit of a runner to a request that was sent after the exit.
#[test]
fn later_request_is_not_blamed() {
    let mut quarantine: Quarantine<u32> = Quarantine::default();
    quarantine.answer_lost(POISON, 1, SECOND, SECOND * 2);
    quarantine.answer_lost(8, 1, SECOND * 3, SECOND * 3);
    let suspects = quarantine.runner_exited(&1, SECOND * 4);
    let suspects: Vec<u64> = suspects.iter().map(|report| report.content).collect();
    assert_eq!(suspects, [POISON]);
}

/// Guards against a poison request that is not blamed because a response was lost before, at a runner
/// that kept running.
#[test]
fn loss_before_response_is_forgotten() {
    let mut quarantine: Quarantine<u32> = Quarantine::default();
    quarantine.answer_lost(8, 1, SECOND, SECOND);
    quarantine.answered(9, &1, SECOND * 2);
    quarantine.answer_lost(POISON, 1, SECOND * 3, SECOND * 3);
    let suspects = quarantine.runner_exited(&1, SECOND * 4);
    assert_eq!(suspects.first().map(|report| report.content), Some(POISON));
}

/// Guards against a crash that is reported late, after the response that voids it.
#[test]
fn late_report_is_void() {
    let mut quarantine = held();
    let now = SECOND * 4;
    assert!(matches!(
        quarantine.answered(POISON, &9, now),
        Merge::New {
            was_held: true,
            is_held: false
        }
    ));
    let crash = Crash {
        runner: 5,
        sent: SECOND * 2,
        lost: SECOND * 2,
        isolated: false,
        is_trial: false,
        is_silence: false,
    };
    let late = Report {
        crashes: vec![crash],
        ..Report::new(POISON)
    };
    assert_eq!(quarantine.merge(&late, now), Merge::Known);
    assert_eq!(quarantine.admission(POISON, 0, now), Admission::Free);
}

/// Guards against reports that circulate forever: known facts are not reported again, and processes with
/// equal views have equal digests.
#[test]
fn merging_twice_changes_nothing() {
    let one = held();
    let mut other = Quarantine::default();
    let report = one.report(POISON, SECOND * 3).unwrap();
    assert!(matches!(
        other.merge(&report, SECOND * 50),
        Merge::New { .. }
    ));
    assert_eq!(other.merge(&report, SECOND * 50), Merge::Known);
    assert_eq!(one.digest(), other.digest());
}

/// Stored crashes whose runners are unknown quarantine a request until they are discarded.
#[test]
fn restored_crashes_hold_until_discarded() {
    let mut quarantine: Quarantine<u32> = Quarantine::default();
    quarantine.restore(POISON, 3, SECOND);
    assert!(matches!(
        quarantine.admission(POISON, 0, SECOND),
        Admission::Held(_)
    ));
    quarantine.discard_restored(POISON, SECOND, SECOND * 2);
    assert_eq!(quarantine.admission(POISON, 0, SECOND * 2), Admission::Free);
}

/// Guards against a request that crashes its runner but is treated as sent after the exit, because the
/// runner had lost the response to another request shortly before and had kept running.
#[test]
fn loss_before_exit_is_not_the_exit() {
    let mut quarantine = Quarantine::default();
    let half = SECOND / 2;
    quarantine.answer_lost(8, 1, SECOND, SECOND + half);
    quarantine.answer_lost(POISON, 1, SECOND * 2, SECOND * 2 + half);
    quarantine.runner_exited(&1, SECOND * 2 + half);
    assert_eq!(quarantine.crashes(POISON), 1);
}

/// Guards against the same because another process has found the runner silent before and takes that for the
/// time of its exit.
#[test]
fn silence_before_exit_is_not_the_exit() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    one.runner_unresponsive(8, &1, SECOND, SECOND * 2);
    other.answer_lost(POISON, 1, SECOND * 3, SECOND * 4);
    other.runner_exited(&1, SECOND * 4);
    for report in one.runner_exited(&1, SECOND * 4) {
        other.merge(&report, SECOND * 4);
    }
    assert_eq!(other.crashes(POISON), 1);
    assert_eq!(other.crashes(8), 1);
}
