//! The shipped follower and members beside naive twins that keep every word and go through all of
//! them for each verdict. The seed is fixed, so that the verdict is the same every run.
#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::follower::{self, Follower};
use protocol::member::{MemberUpdate, Members, State};
use protocol::{Incarnation, Revision};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_260_705),
        ..ProptestConfig::default()
    }
}

/// What is told about a VM.
#[derive(Clone, Copy, Debug)]
enum Word {
    Heard(Incarnation, bool),
    Listed(Incarnation, bool),
    Unlisted,
    Silent(Incarnation),
    Drain(bool),
}

fn word() -> impl Strategy<Value = Word> {
    let life = 1..4_u64;
    prop_oneof![
        (life.clone(), any::<bool>()).prop_map(|(life, leaving)| Word::Heard(life, leaving)),
        (life.clone(), any::<bool>()).prop_map(|(life, leaving)| Word::Listed(life, leaving)),
        Just(Word::Unlisted),
        life.prop_map(Word::Silent),
        any::<bool>().prop_map(Word::Drain),
    ]
}

/// Goes through all words about a VM.
fn judge(words: &[Word]) -> State {
    let about = |word: &Word| match *word {
        Word::Heard(life, leaving) | Word::Listed(life, leaving) => Some((life, leaving)),
        _ => None,
    };
    let Some(life) = words.iter().filter_map(about).map(|(life, _)| life).max() else {
        return State::Gone;
    };
    let since = words
        .iter()
        .position(|word| about(word).is_some_and(|(l, _)| l == life));
    let contact = words[since.unwrap()..]
        .iter()
        .rev()
        .find_map(|word| match *word {
            Word::Heard(l, _) if l == life => Some(true),
            Word::Silent(l) if l == life => Some(false),
            _ => None,
        });
    let listed = words.iter().rev().find_map(|word| match word {
        Word::Listed(..) => Some(true),
        Word::Unlisted => Some(false),
        _ => None,
    });
    let drained = words.iter().rev().find_map(|word| match word {
        Word::Drain(drained) => Some(*drained),
        _ => None,
    });
    let leaving = words
        .iter()
        .filter_map(about)
        .any(|(l, leaving)| l == life && leaving);
    match contact.or(listed) {
        Some(true) if leaving || drained == Some(true) => State::Leaving,
        Some(true) => State::Live,
        _ => State::Gone,
    }
}

fn news() -> impl Strategy<Value = follower::Event> {
    let revision = 1..6_u64;
    prop_oneof![
        revision.clone().prop_map(follower::Event::Head),
        revision.clone().prop_map(follower::Event::Push),
        revision.clone().prop_map(follower::Event::Peers),
        revision.clone().prop_map(follower::Event::Entry),
        revision.prop_map(follower::Event::Snapshot),
        Just(follower::Event::Down),
    ]
}

/// Revision whose changes are all in force, and whether the process may serve, by going through
/// all news.
fn follow(news: &[follower::Event]) -> (Revision, bool) {
    let (mut applied, mut down, mut ready) = (0, false, false);
    let mut goals = Vec::new();
    for event in news {
        match *event {
            follower::Event::Entry(revision) if revision == applied + 1 => applied = revision,
            follower::Event::Snapshot(revision) => applied = applied.max(revision),
            follower::Event::Head(revision) => {
                goals.push(revision);
                down = false;
            }
            follower::Event::Peers(revision) if down => goals.push(revision),
            follower::Event::Down => down = true,
            _ => {}
        }
        ready |= goals.iter().max().is_some_and(|goal| applied >= *goal);
    }
    (applied, ready)
}

proptest! {
    #![proptest_config(config())]

    /// News of the configuration comes late, twice and out of order.
    #[test]
    fn follower_twin(all in prop::collection::vec(news(), 0..40)) {
        let mut follower = Follower::new();
        for (i, event) in all.iter().enumerate() {
            follower.on(*event);
            let shipped = (follower.applied(), follower.is_ready());
            prop_assert_eq!(shipped, follow(&all[..=i]));
        }
    }

    /// Words about a VM from itself, the list, operators and silence come in any order.
    #[test]
    fn member_twin(words in prop::collection::vec(word(), 0..40)) {
        let mut members = Members::new();
        for (i, word) in words.iter().enumerate() {
            let news = |incarnation, leaving| MemberUpdate { incarnation, leaving };
            match *word {
                Word::Heard(life, leaving) => members.observe("vm", news(life, leaving)),
                Word::Listed(life, leaving) => members.set_listed([("vm", news(life, leaving))]),
                Word::Unlisted => members.set_listed([]),
                Word::Silent(life) => members.mark_unresponsive("vm", life),
                Word::Drain(drained) => members.set_drained("vm", drained),
            }
            prop_assert_eq!(members.state("vm"), judge(&words[..=i]));
        }
    }
}
