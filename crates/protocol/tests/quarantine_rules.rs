//! What one process believes of requests that end runners.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::quarantine::{Admission, Crash, Merge, Quarantine, Report, TRIAL_STAGGER};
use std::time::Duration;

const POISON: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

/// Three runners ended under the request, one a second; the last one just now.
fn held() -> Quarantine<u32> {
    let mut quarantine = Quarantine::default();
    for runner in 1..=3 {
        let now = SECOND * runner;
        quarantine.answer_lost(POISON, runner, now, now);
        quarantine.runner_exited(&runner, now);
    }
    quarantine
}

/// Time from the last crash of [`held`] until the request is due for a trial.
fn due(quarantine: &Quarantine<u32>) -> Duration {
    match quarantine.admission(POISON, 0, SECOND * 3) {
        Admission::Held(left) => SECOND * 3 + left,
        admission => panic!("{admission:?}"),
    }
}

/// Guards against a request that stays held back since the process which would try it is gone.
#[test]
fn trial_passes_on() {
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

/// Guards against a trial at each process in turn: one that is under way is known to all.
#[test]
fn one_trial() {
    let (mut one, mut other) = (held(), held());
    let due = due(&one);
    let report = one.begin_trial(POISON, due).unwrap();
    assert!(matches!(other.merge(&report, due), Merge::New { .. }));
    assert!(matches!(
        other.admission(POISON, 1, due + TRIAL_STAGGER),
        Admission::Held(_)
    ));
}

/// Guards against long holds after trials that were lost for other reasons.
#[test]
fn trial_without_outcome() {
    let mut quarantine = held();
    let due = due(&quarantine);
    quarantine.begin_trial(POISON, due);
    assert_eq!(
        quarantine.admission(POISON, 0, due + SECOND * 4),
        Admission::Trial
    );
    // One that ends a runner makes the next hold four times as long.
    quarantine.answer_lost(POISON, 4, due, due + SECOND);
    quarantine.runner_exited(&4, due + SECOND);
    let left = quarantine.admission(POISON, 0, due + SECOND);
    assert_eq!(left, Admission::Held(SECOND * 20));
}

/// Guards against blame for the end of a runner that had ended before the request came.
#[test]
fn came_later() {
    let mut quarantine: Quarantine<u32> = Quarantine::default();
    quarantine.answer_lost(POISON, 1, SECOND, SECOND * 2);
    quarantine.answer_lost(8, 1, SECOND * 3, SECOND * 3);
    let blamed = quarantine.runner_exited(&1, SECOND * 4);
    let blamed: Vec<u64> = blamed.iter().map(|report| report.content).collect();
    assert_eq!(blamed, [POISON]);
}

/// Guards against a poison request that goes free since an answer was lost before, at a runner that
/// lived on.
#[test]
fn lost_before() {
    let mut quarantine: Quarantine<u32> = Quarantine::default();
    quarantine.answer_lost(8, 1, SECOND, SECOND);
    quarantine.answered(9, &1, SECOND * 2);
    quarantine.answer_lost(POISON, 1, SECOND * 3, SECOND * 3);
    let blamed = quarantine.runner_exited(&1, SECOND * 4);
    assert_eq!(blamed.first().map(|report| report.content), Some(POISON));
}

/// Guards against a crash that is told late, after the answer which voids it.
#[test]
fn late_report() {
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
    };
    let late = Report {
        crashes: vec![crash],
        ..Report::new(POISON)
    };
    assert_eq!(quarantine.merge(&late, now), Merge::Known);
    assert_eq!(quarantine.admission(POISON, 0, now), Admission::Free);
}

/// Guards against messages that go round for ever: what is known is not told again, and processes that
/// know the same compare as such.
#[test]
fn merged_again() {
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

/// What was kept holds without the runners' names, until it is kept no more.
#[test]
fn kept() {
    let mut quarantine: Quarantine<u32> = Quarantine::default();
    quarantine.restore(POISON, 3, SECOND);
    assert!(matches!(
        quarantine.admission(POISON, 0, SECOND),
        Admission::Held(_)
    ));
    quarantine.discard_restored(POISON, SECOND, SECOND * 2);
    assert_eq!(quarantine.admission(POISON, 0, SECOND * 2), Admission::Free);
}

/// Guards against a request that ends its runner and is taken for one that came after the end: shortly
/// before, the runner lost the answer of another one and lived on.
#[test]
fn loss_before_end() {
    let mut quarantine = Quarantine::default();
    let half = SECOND / 2;
    quarantine.answer_lost(8, 1, SECOND, SECOND + half);
    quarantine.answer_lost(POISON, 1, SECOND * 2, SECOND * 2 + half);
    quarantine.runner_exited(&1, SECOND * 2 + half);
    assert_eq!(quarantine.crashes(POISON), 1);
}
