//! A few processes read the platform's tables and tell the others.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, entry, unconfigured_member};
use relay::follow::{self, TableSource};
use relay::member::{Member, Members};
use relay::peer::{self, Frame, TableUpdate};
use std::net::SocketAddr;
use std::time::Duration;
use store::RowRevision;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener, Receiver, Sender};

/// Longer than any step takes, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);

fn member(number: usize) -> Member {
    Member {
        id: format!("relay-{number}").into(),
        incarnation: 1,
        // Nothing listens there.
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        weight: 1.0,
        domain: "a".into(),
        since: None,
    }
}

/// What a process of so many knows of the others.
fn members(own: usize, count: usize) -> Members {
    let mut members = Members::new(member(own));
    for number in 0..count {
        members.put(member(number), number as u64 + 1);
    }
    members.mark_registered(Duration::ZERO, own as u64 + 1);
    members.mark_listed();
    members
}

/// Asks a process that follows the list of runners, as another process does.
struct Asking {
    address: SocketAddr,
    sender: Sender<Frame>,
    receiver: Receiver<Frame>,
}

impl Asking {
    async fn new(told: Vec<FeedReply>) -> Self {
        let any = "127.0.0.1:0".parse().expect("an address");
        let key = Key::new("key");
        let listener = Listener::bind(any, key.clone()).await.expect("bound");
        let address = listener.address().expect("bound");
        let teller = Member {
            address,
            ..member(0)
        };
        let relay = unconfigured_member(Fake::default(), teller);
        tokio::spawn(peer::serve(relay.clone(), listener));
        tokio::spawn(follow::runner_table(relay, ScriptedFeed::new(told)));
        let (sender, receiver) = wire::connect(address, &key).await.expect("linked");
        Self {
            address,
            sender,
            receiver,
        }
    }

    async fn news(&mut self, after: impl Into<Option<RowRevision>>) -> TableUpdate {
        let after = after.into();
        let question = Frame::AskNews {
            ticket: 1,
            table: ScriptedFeed::RUNNER_TABLE.to_owned(),
            after,
        };
        self.sender.send(question).await.expect("linked");
        let answer = async {
            loop {
                let frame = self.receiver.recv().await.expect("linked").expect("open");
                if let Frame::News { news, .. } = frame {
                    return news.expect("the table is known");
                }
            }
        };
        timeout(LONG, answer).await.expect("an answer")
    }
}

/// A runner leaves. The process that reads the list tells those that ask it; they would go on to send
/// work there until the runner ends with it.
#[tokio::test]
async fn change_told() {
    let told = vec![
        FeedReply::At(5, vec![("r-1", entry("plain"))]),
        FeedReply::At(6, vec![("r-1", None)]),
    ];
    let mut asking = Asking::new(told).await;
    let news = asking.news(5).await;
    assert_eq!((news.before, news.revision), (Some(5), 6));
    let rows = news.changes().rows;
    assert_eq!((rows.len(), &rows[0].value), (1, &None));
}

/// The process that tells has started anew and lacks the changes that came before. The other one would
/// take what it is told for all there was, and keep a runner that has left: it is told the whole table,
/// and that it is.
#[tokio::test]
async fn history_lacking() {
    let told = vec![FeedReply::At(7, vec![("r-2", entry("plain"))])];
    let mut asking = Asking::new(told).await;
    let news = asking.news(4).await;
    assert_eq!((news.is_whole(), news.revision), (true, 7));
    let rows = news.changes().rows;
    assert_eq!((rows.len(), &*rows[0].key), (1, "r-2"));
}

/// A change is too large to be told to others by a small VM, whose callers would wait behind it. Those
/// that ask read it from the table.
#[tokio::test]
async fn large_change() {
    let long = "x".repeat(2_000_000);
    let told = vec![
        FeedReply::At(5, vec![]),
        FeedReply::At(6, vec![("r-1", entry(&long))]),
    ];
    let mut asking = Asking::new(told).await;
    let news = asking.news(5).await;
    assert_eq!((news.before, news.revision), (Some(6), 6));
    assert!(news.changes().rows.is_empty());
}

/// Guards against calls of each process that starts: one that knows nothing is told the whole table.
#[tokio::test]
async fn whole_table() {
    let told = vec![
        FeedReply::At(5, vec![("r-1", entry("plain")), ("r-2", entry("plain"))]),
        FeedReply::At(6, vec![("r-1", None)]),
    ];
    let mut asking = Asking::new(told).await;
    asking.news(5).await;
    let news = asking.news(None).await;
    assert_eq!((news.is_whole(), news.revision), (true, 6));
    let rows = news.changes().rows;
    assert_eq!((rows.len(), &*rows[0].key), (1, "r-2"));
}

/// Processes that ask must be told when nothing is new, too, and how old that word is: the reader may
/// have been cut off since.
#[tokio::test]
async fn nothing_new() {
    let told = vec![FeedReply::At(9, vec![("r-1", entry("plain"))])];
    let mut asking = Asking::new(told).await;
    let news = asking.news(9).await;
    assert_eq!((news.before, news.revision), (Some(9), 9));
    assert!(news.changes().rows.is_empty());
}

/// Guards against a start that takes a table as it was long ago for the one that is: whoever was asked
/// is cut off from the table service, and would have the newcomer send work to runners that have left.
#[tokio::test]
async fn old_table() {
    let quiet = FeedReply::Unavailable(LONG);
    let told = vec![FeedReply::At(5, vec![("r-old", entry("plain"))]), quiet];
    let asking = Asking::new(told).await;
    sleep(Duration::from_secs(2)).await;
    let relay = unconfigured_member(Fake::default(), member(39));
    relay.peers.members(|known| {
        *known = members(39, 40);
        let upstream = known.upstream().expect("one of forty");
        let address = asking.address;
        known.put(
            Member {
                address,
                ..upstream
            },
            5,
        );
    });
    let told = [FeedReply::At(7, vec![("r-new", entry("plain"))])];
    let following = tokio::spawn(follow::runner_table(relay.clone(), ScriptedFeed::new(told)));
    let listed = async {
        while relay.fleet(|_| ()).is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONG, listed).await.expect("a list");
    following.abort();
    let known = ["r-old", "r-new"].map(|id| relay.runner(id).is_some());
    assert_eq!(known, [false, true]);
}

/// The process that should tell is gone, and with it all others that might. This one reads the list
/// itself before what it knows is too old.
#[tokio::test(start_paused = true)]
async fn tellers_gone() {
    let relay = unconfigured_member(Fake::default(), member(39));
    relay.peers.members(|known| *known = members(39, 40));
    assert!(relay.peers.members(|known| known.upstream()).is_some());
    let quiet = (0..4).map(|_| FeedReply::NoChanges);
    let told = [FeedReply::At(5, vec![("r-1", entry("plain"))])];
    let told = told
        .into_iter()
        .chain(quiet)
        .chain([FeedReply::At(6, vec![("r-1", None)])]);
    let following = tokio::spawn(follow::runner_table(relay.clone(), ScriptedFeed::new(told)));
    sleep(Duration::from_secs(12)).await;
    following.abort();
    assert!(relay.runner("r-1").is_none());
}

/// The one that tells each of so many processes; none for those that read.
fn upstreams(count: usize) -> Vec<Option<usize>> {
    let number = |member: Member| member.id["relay-".len()..].parse().expect("a number");
    let teller = |own: usize| members(own, count).upstream().map(number);
    (0..count).map(teller).collect()
}

/// Each process of a large fleet would ask the table service every few seconds, and once more for each
/// change. Whatever the size, two ask; a small fleet has nothing to gain.
#[test]
fn few_readers() {
    let readers = |count: usize| {
        upstreams(count)
            .iter()
            .filter(|teller| teller.is_none())
            .count()
    };
    assert_eq!([4, 30, 70, 300, 1_000].map(readers), [4, 2, 2, 2, 2]);
}

/// Guards against a process that tells so many others that its link or its processor is taken up, and
/// against news that pass through so many that they come too late.
#[test]
fn short_ways() {
    for (count, most) in [(30, 2), (300, 3), (1_000, 3)] {
        let tellers = upstreams(count);
        let mut told = vec![0; count];
        tellers
            .iter()
            .flatten()
            .for_each(|teller| told[*teller] += 1);
        assert!(told.iter().all(|told| *told <= 8), "{count}");
        let steps = |own: usize| {
            let way = std::iter::successors(Some(own), |at| tellers[*at]);
            way.take(count).count() - 1
        };
        let longest = (0..count).map(steps).max();
        assert_eq!(longest, Some(most), "{count}");
        let depths = (0..count).map(|own| members(own, count).tree.depth() as usize);
        assert_eq!(depths.max(), Some(most));
    }
}

/// Guards against a fleet that relies on its smallest VMs, and on processes that have just started and
/// know nothing.
#[test]
fn weak_and_new_last() {
    let weak = Member {
        weight: 0.1,
        ..member(0)
    };
    let reads = |own: &usize| {
        let mut known = match own {
            0 => Members::new(weak.clone()),
            own => Members::new(member(*own)),
        };
        for number in 2..40 {
            known.put(member(number), number as u64 + 1);
        }
        known.put(weak.clone(), 1);
        // It has written its row anew.
        known.put(member(1), 99);
        let revision = if *own == 1 { 99 } else { *own as u64 + 1 };
        known.mark_registered(Duration::ZERO, revision);
        known.mark_listed();
        known.upstream().is_none()
    };
    let readers = (0..40).filter(reads);
    assert_eq!(readers.collect::<Vec<_>>(), [2, 3]);
}

/// Guards against calls of all that a process tells, when that has nothing new to tell.
#[tokio::test(start_paused = true)]
async fn stale_upstream() {
    let mut known = members(39, 40);
    let teller = known.upstream().expect("one of forty");
    known.tree.note_stale(&teller.id);
    let next = known.upstream().expect("another one");
    assert_ne!(next.id, teller.id);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(known.upstream(), Some(teller));
}

/// The process that tells is asked to stop, and ends with what it knows. The others turn to the next
/// one at once, not when they miss it.
#[test]
fn teller_leaves() {
    let mut known = members(39, 40);
    let teller = known.upstream().expect("one of forty");
    known.mark_left(teller.id.clone(), teller.incarnation);
    let next = known.upstream();
    assert!(next.is_none_or(|next| next.id != teller.id));
}
