//! Separate calls for groups that were being processed when runners exited.

use decide::batch::{CallCapacity, Group, Isolation, Portion, Suspect};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Number of runners in the cell.
const RUNNERS: usize = 8;
const CAPACITY: CallCapacity = CallCapacity {
    pieces: 16,
    room: 1_000,
};

fn suspect(group_id: u64, content: u64, crashes: u32) -> Suspect {
    Suspect {
        group: Group {
            group_id,
            pieces: 1,
            result_bytes: 10,
            due: SECOND,
            expires_at: SECOND * 4,
            rank: 0,
            domain: None,
            arrived_at: Duration::ZERO,
            max_domain_wait: Duration::ZERO,
        },
        content,
        crashes,
        max_suspects: 4,
        since: Duration::ZERO,
    }
}

fn isolation(suspects: impl IntoIterator<Item = Suspect>) -> Isolation {
    let mut isolation = Isolation::default();
    suspects
        .into_iter()
        .for_each(|suspect| isolation.push(suspect));
    isolation
}

/// Number of suspects in each call that may start now.
fn call_sizes(isolation: &mut Isolation, runners: usize, may_run: fn(u32) -> bool) -> Vec<usize> {
    let take = || isolation.take(runners, CAPACITY, may_run);
    let calls = std::iter::repeat_with(take).take_while(|call: &Vec<Portion>| !call.is_empty());
    calls.map(|call| call.len()).collect()
}

/// Guards against a poison request that keeps sharing calls with all groups of its first call.
#[test]
fn suspects_halved() {
    let mut isolation = isolation((0..8).map(|number| suspect(number, number, 1)));
    assert_eq!(call_sizes(&mut isolation, RUNNERS, |_| true), [4, 4]);
}

/// Guards against a poison request that cannot be distinguished from the groups of its second call.
#[test]
fn alone_after_second_crash() {
    let mut isolation = isolation((0..4).map(|number| suspect(number, number, 2)));
    assert_eq!(call_sizes(&mut isolation, RUNNERS, |_| true), [1, 1, 1, 1]);
}

/// Guards against attempts of one poison request that crash several runners at the same time.
#[test]
fn same_content_on_one_runner() {
    let mut isolation = isolation((0..4).map(|number| suspect(number, 7, 1)));
    assert_eq!(call_sizes(&mut isolation, RUNNERS, |_| true), [1]);
    isolation.ended(&[7]);
    assert_eq!(call_sizes(&mut isolation, RUNNERS, |_| true), [1]);
}

/// Guards against suspects that occupy all runners of a cell.
#[test]
fn at_most_half_of_runners() {
    let mut isolation = isolation((0..8).map(|number| suspect(number, number, 2)));
    assert_eq!(call_sizes(&mut isolation, 3, |_| true).len(), 2);
    isolation.ended(&[0]);
    assert_eq!(call_sizes(&mut isolation, 3, |_| true).len(), 1);
}

/// Guards against suspects that crash the last running runner, and against suspects that wait too long
/// for other runners.
#[test]
fn waits_for_runners() {
    let mut isolation = isolation([suspect(1, 1, 1), suspect(2, 2, 2)]);
    assert_eq!(
        call_sizes(&mut isolation, RUNNERS, |crashes| crashes < 2),
        [1]
    );
    assert_eq!(isolation.give_up(SECOND, |crashes| crashes < 2), []);
    assert_eq!(isolation.give_up(SECOND * 2, |crashes| crashes < 2), [2]);
    assert!(isolation.is_empty());
}

/// Guards against processing pieces of requests that have expired.
#[test]
fn expired_removed() {
    let mut isolation = isolation([suspect(1, 1, 1)]);
    assert_eq!(isolation.expire(SECOND * 3, SECOND), []);
    assert_eq!(isolation.expire(SECOND * 4, SECOND), [1]);
}

/// Guards against a runner that comes back and is crashed by a likely poison request, while requests that
/// merely shared one call with it wait for the same runner.
#[test]
fn least_suspected_first() {
    let likely = suspect(1, 1, 2);
    let unlikely = Suspect {
        group: Group {
            due: SECOND * 2,
            ..suspect(2, 2, 1).group
        },
        ..suspect(2, 2, 1)
    };
    let mut isolation = isolation([likely, unlikely]);
    let first = isolation.take(2, CAPACITY, |_| true);
    assert_eq!(
        first.iter().map(|one| one.group_id).collect::<Vec<_>>(),
        [2]
    );
}
