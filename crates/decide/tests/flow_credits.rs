//! Credits, order and refusals of gates.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::Either;
use decide::flow::{Capacity, Demand, Gate, Paced, Ticket, Unlimited, Verdict, Window};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;

const CHAIN_TIME: Duration = Duration::from_secs(1);
/// Fills the window of 15 pieces of the gate that [`gate`] returns.
const FULL: u32 = 15;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn capacity(rates: &[f64]) -> Capacity {
    Capacity {
        rates: rates.to_vec(),
        chain_time: CHAIN_TIME,
    }
}

fn gate() -> Window {
    Window::new(capacity(&[10.0]))
}

fn demand(pieces: &[u32]) -> Demand {
    Demand {
        rank: 0,
        pieces: pieces.to_vec(),
        due: ms(20_000),
        expires_at: ms(30_000),
    }
}

fn waits(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Wait { .. })
}

fn retry_after(verdict: Verdict) -> Option<Duration> {
    match verdict {
        Verdict::Refuse { retry_after } => Some(retry_after),
        _ => None,
    }
}

fn started(verdicts: &[(Ticket, Verdict)]) -> Vec<Ticket> {
    let starts = verdicts.iter();
    let starts = starts.filter(|(_, verdict)| *verdict == Verdict::Start);
    starts.map(|(ticket, _)| *ticket).collect()
}

/// A request that ends without finishing must return its credit, or the gate closes for good.
#[test]
fn withdrawal_returns_credit() {
    let mut gate = gate();
    assert_eq!(gate.offer(ms(0), 1, demand(&[FULL])), Verdict::Start);
    assert!(waits(gate.offer(ms(0), 2, demand(&[1]))));
    assert!(waits(gate.offer(ms(0), 3, demand(&[1]))));
    gate.withdraw(ms(10), 2);
    assert_eq!(gate.waiting(), 1);
    gate.withdraw(ms(10), 1);
    gate.withdraw(ms(10), 1);
    assert_eq!(started(&gate.poll(ms(10))), [3]);
    assert_eq!(gate.started_pieces(0), 1);
}

/// The return of a credit may be lost. It must come back with the request's deadline and not before,
/// and the caller must be told to poll then.
#[test]
fn expired_credit_returns() {
    let mut gate = gate();
    let lost = Demand {
        due: ms(4_000),
        expires_at: ms(6_000),
        ..demand(&[FULL])
    };
    gate.offer(ms(0), 1, lost);
    assert_eq!(gate.next_wakeup(ms(0)), Some(ms(7_000)));
    gate.offer(ms(6_900), 2, demand(&[1]));
    assert_eq!(started(&gate.poll(ms(6_999))), []);
    assert_eq!(started(&gate.poll(ms(7_000))), [2]);
    gate.finish(ms(7_100), 1);
    assert_eq!(gate.started_pieces(0), 1);
    assert_eq!(gate.learnt_time(0), CHAIN_TIME);
}

/// Runners and services may come and go while requests are started and waiting.
#[test]
fn capacity_changes() {
    let mut gate = gate();
    gate.offer(ms(0), 1, demand(&[FULL]));
    gate.offer(ms(0), 2, demand(&[FULL, 5]));
    gate.set_capacity(capacity(&[20.0]));
    assert_eq!(started(&gate.poll(ms(0))), [2]);
    gate.set_capacity(capacity(&[20.0, 10.0]));
    assert!(waits(gate.offer(ms(0), 3, demand(&[0, 11]))));
    assert!(waits(gate.offer(ms(0), 4, demand(&[1]))));
    gate.withdraw(ms(0), 3);
    gate.set_capacity(capacity(&[]));
    assert_eq!(started(&gate.poll(ms(0))), [4]);
    gate.set_capacity(capacity(&[0.0, 10.0]));
    let refused = gate.offer(ms(0), 5, demand(&[1]));
    assert!(retry_after(refused) > Some(ms(60_000)), "{refused:?}");
    assert_eq!(gate.offer(ms(0), 6, demand(&[0, 1])), Verdict::Start);
}

/// Waiting requests start by rank, then by due time, and one that cannot be on time goes last.
#[test]
fn starts_in_order() {
    let mut gate = gate();
    gate.offer(ms(0), 1, demand(&[FULL]));
    let at = |rank, due| Demand {
        rank,
        due: ms(due),
        ..demand(&[1])
    };
    let late = gate.offer(ms(0), 2, at(0, 1_050));
    assert!(waits(late), "{late:?}");
    for (ticket, rank, due) in [(3, 1, 5_000), (4, 0, 9_000), (5, 1, 4_000), (6, 0, 8_000)] {
        assert!(waits(gate.offer(ms(0), ticket, at(rank, due))));
    }
    gate.finish(ms(100), 1);
    assert_eq!(started(&gate.poll(ms(100))), [6, 4, 5, 3, 2]);
}

/// Small requests must not pass a large one that does not fit, or it would never start.
#[test]
fn large_request_not_starved() {
    let mut gate = gate();
    gate.offer(ms(0), 1, demand(&[10]));
    assert!(waits(gate.offer(ms(0), 2, demand(&[12]))));
    let small = Demand {
        due: ms(21_000),
        ..demand(&[1])
    };
    assert!(waits(gate.offer(ms(0), 3, small)));
    assert_eq!(started(&gate.poll(ms(0))), []);
    gate.finish(ms(900), 1);
    assert_eq!(started(&gate.poll(ms(900))), [2, 3]);
}

/// A request larger than the window starts alone; otherwise it would never start.
#[test]
fn oversized_request_starts_alone() {
    let mut gate = gate();
    assert_eq!(gate.offer(ms(0), 1, demand(&[1])), Verdict::Start);
    assert!(waits(gate.offer(ms(0), 2, demand(&[100]))));
    gate.finish(ms(500), 1);
    assert_eq!(started(&gate.poll(ms(500))), [2]);
    assert!(waits(gate.offer(ms(500), 3, demand(&[1]))));
}

/// A request that cannot be on time is refused at once if it would wait long, but not if it starts
/// soon. One that cannot be done before it expires is refused even without a wait.
#[test]
fn refuses_hopeless() {
    let urgent = |pieces: u32| Demand {
        due: ms(1_200),
        expires_at: ms(4_000),
        ..demand(&[pieces])
    };
    let mut gate = gate();
    assert_eq!(gate.offer(ms(0), 1, demand(&[14])), Verdict::Start);
    // The window is 10.8 pieces for the remaining time of 1.2 s.
    assert!(waits(gate.offer(ms(0), 2, demand(&[2]))));
    let refused = gate.offer(ms(0), 3, urgent(1));
    assert!(retry_after(refused) >= Some(ms(420)), "{refused:?}");
    let expired = Demand {
        expires_at: ms(999),
        ..demand(&[1])
    };
    let refused = Window::new(capacity(&[10.0])).offer(ms(0), 1, expired);
    assert_eq!(retry_after(refused), Some(ms(200)));
}

/// Waiting requests are refused once they become hopeless, not when they expire.
#[test]
fn waiting_request_refused_when_hopeless() {
    let mut gate = gate();
    gate.offer(ms(0), 1, demand(&[FULL]));
    let waiting = Demand {
        due: ms(3_000),
        expires_at: ms(6_000),
        ..demand(&[10])
    };
    assert!(waits(gate.offer(ms(0), 2, waiting)));
    let mut now = ms(0);
    while gate.waiting() > 0 {
        now = gate.next_wakeup(now).unwrap();
        let verdicts = gate.poll(now);
        assert!(
            verdicts
                .iter()
                .all(|(_, verdict)| retry_after(*verdict).is_some())
        );
    }
    assert!(now < ms(2_100), "refused after {now:?}");
}

/// Callers that are refused at the same time must not come back at the same time, and the times
/// become shorter again as the work drains.
#[test]
fn retries_spread() {
    let mut gate = gate();
    gate.offer(ms(0), 1, demand(&[100]));
    let short = |now| Demand {
        due: now + ms(1_500),
        expires_at: now + ms(6_000),
        ..demand(&[5])
    };
    let mut refused = |now, ticket| retry_after(gate.offer(now, ticket, short(now))).unwrap();
    let times: Vec<Duration> = (2..12).map(|ticket| refused(ms(0), ticket)).collect();
    // 5 pieces at 10 a second take half a second.
    assert!(times.windows(2).all(|pair| pair[1] == pair[0] + ms(500)));
    assert_eq!(refused(ms(5_000), 12), times[0]);
}

/// The learnt chain time follows requests that take longer, and a gate that has learnt a time longer
/// than any request has left must not refuse all of them for ever.
#[test]
fn learnt_time_recovers() {
    let mut gate = gate();
    for ticket in 0..100 {
        let now = ms(10_000) * ticket as u32;
        let patient = Demand {
            due: now + ms(20_000),
            expires_at: now + ms(30_000),
            ..demand(&[1])
        };
        assert_eq!(gate.offer(now, ticket, patient), Verdict::Start);
        gate.finish(now + ms(8_000), ticket);
    }
    assert!(gate.learnt_time(0) > ms(7_500));
    let now = ms(1_000_000);
    let short = Demand {
        due: now + ms(4_000),
        expires_at: now + ms(6_000),
        ..demand(&[1])
    };
    assert_eq!(gate.offer(now, 1_000, short.clone()), Verdict::Start);
    assert!(retry_after(gate.offer(now, 1_001, short)).is_some());
}

/// The expected wait of a rank counts only requests that go before it.
#[test]
fn expected_wait_by_rank() {
    let mut gate = gate();
    assert_eq!(gate.expected_wait(ms(0), 0), Duration::ZERO);
    gate.offer(ms(0), 1, demand(&[FULL]));
    for ticket in 2..12 {
        let low = Demand {
            rank: 1,
            ..demand(&[1])
        };
        gate.offer(ms(0), ticket, low);
    }
    assert!(gate.expected_wait(ms(0), 0) <= ms(100));
    assert!(gate.expected_wait(ms(0), 1) >= ms(1_000));
}

/// A burst of waiting requests must cost about the same for each request: with work that grows with
/// the number of waiting ones, a relay stands still when it has the least time.
#[test]
fn burst_stays_cheap() {
    let mut gate = Window::new(capacity(&[10.0]));
    let far = |pieces| Demand {
        due: Duration::from_secs(100_000),
        expires_at: Duration::from_secs(200_000),
        ..demand(&[pieces])
    };
    let began = std::time::Instant::now();
    for ticket in 0..100_000 {
        gate.offer(ms(0), ticket, far(FULL));
    }
    gate.poll(ms(0));
    assert_eq!(gate.waiting(), 99_999);
    let elapsed = began.elapsed();
    // About 0.3 s unoptimised; work in proportion to the waiting requests takes minutes.
    assert!(elapsed < Duration::from_secs(20), "{elapsed:?}");
}

/// The alternative gate starts requests at the rate of the slowest service.
#[test]
fn paced_keeps_rate() {
    let mut gate = Paced::new(capacity(&[10.0, 5.0]));
    let mut starts = 0;
    for ticket in 0..40 {
        starts += u32::from(gate.offer(ms(0), ticket, demand(&[1, 1])) == Verdict::Start);
    }
    for step in 1..=50 {
        starts += started(&gate.poll(ms(100 * step))).len() as u32;
    }
    assert!((25..=27).contains(&starts), "{starts}");
    gate.withdraw(ms(5_000), 39);
    assert_eq!(gate.waiting() as u32, 40 - starts - 1);
}

/// The choice of a gate by a setting must not change its decisions.
#[test]
fn chosen_gate_decides() {
    let mut naive: Either<Unlimited, Window> = Either::Naive(Unlimited);
    let mut shipped: Either<Unlimited, Window> = Either::Shipped(gate());
    for gate in [&mut naive, &mut shipped] {
        assert_eq!(gate.offer(ms(0), 1, demand(&[FULL])), Verdict::Start);
    }
    assert_eq!(naive.offer(ms(0), 2, demand(&[1])), Verdict::Start);
    assert!(waits(shipped.offer(ms(0), 2, demand(&[1]))));
    shipped.finish(ms(1_000), 1);
    assert_eq!(shipped.poll(ms(1_000)), [(2, Verdict::Start)]);
}

/// An action on the gate.
#[derive(Clone, Debug)]
enum Action {
    Offer(Demand),
    Finish(usize),
    Withdraw(usize),
    Poll,
    SetCapacity(Vec<f64>),
}

fn any_action() -> impl Strategy<Value = (u64, Action)> {
    let pieces = prop::collection::vec(0..12_u32, 0..4);
    // Times relative to the offer, in milliseconds.
    let offer =
        (0..3_u8, pieces, 0..6_000_u64, 0..4_000_u64).prop_map(|(rank, pieces, due, margin)| {
            let (due, expires_at) = (ms(due), ms(due + margin));
            Action::Offer(Demand {
                rank,
                pieces,
                due,
                expires_at,
            })
        });
    let action = prop_oneof![
        6 => offer,
        2 => any::<usize>().prop_map(Action::Finish),
        1 => any::<usize>().prop_map(Action::Withdraw),
        2 => Just(Action::Poll),
        1 => prop::collection::vec(0.0..40.0_f64, 0..4).prop_map(Action::SetCapacity),
    ];
    (0..400_u64, action)
}

/// A naive model that knows the demands and recomputes all sums.
#[derive(Default)]
struct Twin {
    started: BTreeMap<Ticket, Demand>,
    waiting: BTreeMap<Ticket, Demand>,
    rates: Vec<f64>,
}

impl Twin {
    fn pieces(&self, service: usize) -> u64 {
        self.pieces_up_to(u8::MAX, service)
    }

    fn pieces_up_to(&self, rank: u8, service: usize) -> u64 {
        let started = self.started.values().filter(|demand| demand.rank <= rank);
        let pieces = started.map(|demand| demand.pieces.get(service));
        pieces.map(|pieces| u64::from(*pieces.unwrap_or(&0))).sum()
    }

    fn expire(&mut self, now: Duration) {
        self.started
            .retain(|_, demand| demand.expires_at + ms(1_000) > now);
    }

    fn apply(&mut self, now: Duration, ticket: Ticket, verdict: Verdict) {
        let demand = self.waiting.remove(&ticket).unwrap();
        match verdict {
            Verdict::Start => {
                let is_alone = self.started.is_empty();
                self.started.insert(ticket, demand.clone());
                assert!(
                    is_alone || self.is_within_window(now, &demand),
                    "{demand:?}"
                );
            }
            Verdict::Wait { .. } => {
                self.waiting.insert(ticket, demand);
            }
            Verdict::Refuse { retry_after } => assert!(retry_after >= ms(200)),
        }
    }

    fn is_within_window(&self, now: Duration, demand: &Demand) -> bool {
        let longest = CHAIN_TIME.as_secs_f64() * 1.5;
        let horizon = (demand.due.saturating_sub(now).as_secs_f64() * 0.9).min(longest);
        let horizon = if horizon < 1.0 { longest } else { horizon };
        let mut services = demand.pieces.iter().zip(&self.rates).enumerate();
        services.all(|(service, (own, rate))| {
            let ahead = self.pieces_up_to(demand.rank, service) as f64;
            let all = self.pieces(service) as f64;
            *own == 0 || ahead <= rate * horizon + 1e-6 && all <= rate * longest * 1.25 + 1e-6
        })
    }
}

fn play(actions: &[(u64, Action)]) {
    let mut gate = gate();
    let mut twin = Twin {
        rates: vec![10.0],
        ..Twin::default()
    };
    let mut now = ms(0);
    for (ticket, (elapsed, action)) in actions.iter().enumerate() {
        let ticket = ticket as Ticket;
        now += ms(*elapsed);
        let nth = |index: usize| Some(index % ticket.max(1) as usize).map(|other| other as Ticket);
        match action {
            Action::Offer(relative) => {
                let mut demand = relative.clone();
                demand.due += now;
                demand.expires_at += now;
                twin.expire(now);
                twin.waiting.insert(ticket, demand.clone());
                twin.apply(now, ticket, gate.offer(now, ticket, demand));
            }
            Action::Finish(index) => {
                let other = nth(*index).unwrap();
                gate.finish(now, other);
                twin.started.remove(&other);
            }
            Action::Withdraw(index) => {
                let other = nth(*index).unwrap();
                gate.withdraw(now, other);
                twin.started.remove(&other);
                twin.waiting.remove(&other);
            }
            Action::Poll => {
                twin.expire(now);
                for (ticket, verdict) in gate.poll(now) {
                    twin.apply(now, ticket, verdict);
                }
            }
            Action::SetCapacity(rates) => {
                gate.set_capacity(capacity(rates));
                twin.rates.clone_from(rates);
            }
        }
        assert_eq!(gate.started(), twin.started.len());
        assert_eq!(gate.waiting(), twin.waiting.len());
        for service in 0..4 {
            assert_eq!(gate.started_pieces(service), twin.pieces(service));
        }
    }
}

/// Whatever happens, a request starts only if it is alone or within the window, and the gate's
/// numbers agree with those of a model that adds up everything anew.
#[test]
fn started_pieces_within_window() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let actions = prop::collection::vec(any_action(), 1..200);
    TestRunner::new_with_rng(config, rng)
        .run(&actions, |actions| {
            play(&actions);
            Ok(())
        })
        .unwrap();
}
