//! Distribution of the platform's tables from a few readers to the other processes.

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

/// Timeout of each step, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

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

/// The list of `count` processes, as process `own` knows it.
fn members(own: usize, count: usize) -> Members {
    let mut members = Members::new(member(own));
    for number in 0..count {
        members.put(member(number), number as u64 + 1);
    }
    members.mark_registered(Duration::ZERO, own as u64 + 1);
    members.mark_listed();
    members
}

/// Requests updates from a process that follows the runner table, as another process does.
struct Requester {
    address: SocketAddr,
    sender: Sender<Frame>,
    receiver: Receiver<Frame>,
}

impl Requester {
    async fn new(replies: Vec<FeedReply>) -> Self {
        let any = "127.0.0.1:0".parse().expect("an address");
        let key = Key::new("key");
        let listener = Listener::bind(any, key.clone()).await.expect("bound");
        let address = listener.address().expect("bound");
        let upstream = Member {
            address,
            ..member(0)
        };
        let relay = unconfigured_member(Fake::default(), upstream);
        tokio::spawn(peer::serve(relay.clone(), listener));
        tokio::spawn(follow::runner_table(relay, ScriptedFeed::new(replies)));
        let (sender, receiver) = wire::connect(address, &key).await.expect("linked");
        Self {
            address,
            sender,
            receiver,
        }
    }

    async fn update(&mut self, after: impl Into<Option<RowRevision>>) -> TableUpdate {
        let after = after.into();
        let request = Frame::AskNews {
            ticket: 1,
            table: ScriptedFeed::RUNNER_TABLE.to_owned(),
            after,
        };
        self.sender.send(request).await.expect("linked");
        let response = async {
            loop {
                let frame = self.receiver.recv().await.expect("linked").expect("open");
                if let Frame::News { news, .. } = frame {
                    return news.expect("the table is known");
                }
            }
        };
        timeout(TIMEOUT, response).await.expect("a response")
    }
}

/// A runner leaves. The reader of the table must send the change to processes that request it. Otherwise
/// they would send work to that runner until it exits, and the work would be lost.
#[tokio::test]
async fn change_sent() {
    let replies = vec![
        FeedReply::At(5, vec![("r-1", entry("plain"))]),
        FeedReply::At(6, vec![("r-1", None)]),
    ];
    let mut requester = Requester::new(replies).await;
    let update = requester.update(5).await;
    assert_eq!((update.before, update.revision), (Some(5), 6));
    let rows = update.changes().rows;
    assert_eq!((rows.len(), &rows[0].value), (1, &None));
}

/// The upstream process has restarted and lacks the changes that came before. If it sent only the
/// changes that it has, the other process would keep a runner that has left. It must send the whole
/// table, marked as such.
#[tokio::test]
async fn history_missing() {
    let replies = vec![FeedReply::At(7, vec![("r-2", entry("plain"))])];
    let mut requester = Requester::new(replies).await;
    let update = requester.update(4).await;
    assert_eq!((update.is_whole(), update.revision), (true, 7));
    let rows = update.changes().rows;
    assert_eq!((rows.len(), &*rows[0].key), (1, "r-2"));
}

/// A change is too large to be sent to others by a small VM, since it would delay the responses to
/// clients. The requesting processes read it from the table.
#[tokio::test]
async fn large_change_withheld() {
    let long = "x".repeat(2_000_000);
    let replies = vec![
        FeedReply::At(5, vec![]),
        FeedReply::At(6, vec![("r-1", entry(&long))]),
    ];
    let mut requester = Requester::new(replies).await;
    let update = requester.update(5).await;
    assert_eq!((update.before, update.revision), (Some(6), 6));
    assert!(update.changes().rows.is_empty());
}

/// Guards against calls to the table service by each process that starts: a process that has read
/// nothing yet must get the whole table.
#[tokio::test]
async fn whole_table() {
    let replies = vec![
        FeedReply::At(5, vec![("r-1", entry("plain")), ("r-2", entry("plain"))]),
        FeedReply::At(6, vec![("r-1", None)]),
    ];
    let mut requester = Requester::new(replies).await;
    requester.update(5).await;
    let update = requester.update(None).await;
    assert_eq!((update.is_whole(), update.revision), (true, 6));
    let rows = update.changes().rows;
    assert_eq!((rows.len(), &*rows[0].key), (1, "r-2"));
}

/// Processes must get a response even if nothing has changed. It must tell how recent it is, since the
/// reader may have been cut off in the meantime.
#[tokio::test]
async fn no_changes_sent() {
    let replies = vec![FeedReply::At(9, vec![("r-1", entry("plain"))])];
    let mut requester = Requester::new(replies).await;
    let update = requester.update(9).await;
    assert_eq!((update.before, update.revision), (Some(9), 9));
    assert!(update.changes().rows.is_empty());
}

/// Guards against a starting process that accepts an outdated table from a process which is cut off from
/// the table service. It would send work to runners that have left.
#[tokio::test]
async fn outdated_table_rejected() {
    let outage = FeedReply::Unavailable(TIMEOUT);
    let replies = vec![FeedReply::At(5, vec![("r-old", entry("plain"))]), outage];
    let requester = Requester::new(replies).await;
    sleep(Duration::from_secs(2)).await;
    let relay = unconfigured_member(Fake::default(), member(39));
    relay.peers.members(|list| {
        *list = members(39, 40);
        let upstream = list.upstream().expect("one of forty");
        let address = requester.address;
        list.put(
            Member {
                address,
                ..upstream
            },
            5,
        );
    });
    let replies = [FeedReply::At(7, vec![("r-new", entry("plain"))])];
    let following = tokio::spawn(follow::runner_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
    let listed = async {
        while relay.fleet(|_| ()).is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, listed).await.expect("a list");
    following.abort();
    let is_known = ["r-old", "r-new"].map(|id| relay.runner(id).is_some());
    assert_eq!(is_known, [false, true]);
}

/// The upstream process and all its replacements are gone. This process must read the table itself
/// before its contents are too old.
#[tokio::test(start_paused = true)]
async fn upstreams_unreachable() {
    let relay = unconfigured_member(Fake::default(), member(39));
    relay.peers.members(|list| *list = members(39, 40));
    assert!(relay.peers.members(|list| list.upstream()).is_some());
    let no_changes = (0..4).map(|_| FeedReply::NoChanges);
    let replies = [FeedReply::At(5, vec![("r-1", entry("plain"))])];
    let replies = replies
        .into_iter()
        .chain(no_changes)
        .chain([FeedReply::At(6, vec![("r-1", None)])]);
    let following = tokio::spawn(follow::runner_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
    sleep(Duration::from_secs(12)).await;
    following.abort();
    assert!(relay.runner("r-1").is_none());
}

/// The upstream process of each of `count` processes; `None` for readers.
fn upstreams(count: usize) -> Vec<Option<usize>> {
    let number = |member: Member| member.id["relay-".len()..].parse().expect("a number");
    let upstream = |own: usize| members(own, count).upstream().map(number);
    (0..count).map(upstream).collect()
}

/// Guards against requests to the table service by every process of a large fleet, every few seconds and
/// once more for each change. Two processes must read, whatever the size; in a small fleet, sharing
/// saves nothing.
#[test]
fn few_readers() {
    let readers = |count: usize| {
        upstreams(count)
            .iter()
            .filter(|upstream| upstream.is_none())
            .count()
    };
    assert_eq!([4, 30, 70, 300, 1_000].map(readers), [4, 2, 2, 2, 2]);
}

/// Guards against a process that updates so many others that its link or its processor is saturated, and
/// against updates that arrive too late after too many hops.
#[test]
fn short_paths() {
    for (count, most) in [(30, 2), (300, 3), (1_000, 3)] {
        let chosen = upstreams(count);
        let mut fan_out = vec![0; count];
        chosen
            .iter()
            .flatten()
            .for_each(|upstream| fan_out[*upstream] += 1);
        assert!(fan_out.iter().all(|fan_out| *fan_out <= 8), "{count}");
        let path_length = |own: usize| {
            let path = std::iter::successors(Some(own), |at| chosen[*at]);
            path.take(count).count() - 1
        };
        let longest = (0..count).map(path_length).max();
        assert_eq!(longest, Some(most), "{count}");
        let depths = (0..count).map(|own| members(own, count).tree.depth() as usize);
        assert_eq!(depths.max(), Some(most));
    }
}

/// Guards against readers on the smallest VMs, and against readers that have just started and have no
/// contents yet.
#[test]
fn weak_and_new_processes_last() {
    let weak = Member {
        weight: 0.1,
        ..member(0)
    };
    let is_reader = |own: &usize| {
        let mut list = match own {
            0 => Members::new(weak.clone()),
            own => Members::new(member(*own)),
        };
        for number in 2..40 {
            list.put(member(number), number as u64 + 1);
        }
        list.put(weak.clone(), 1);
        // Process 1 has rewritten its row.
        list.put(member(1), 99);
        let revision = if *own == 1 { 99 } else { *own as u64 + 1 };
        list.mark_registered(Duration::ZERO, revision);
        list.mark_listed();
        list.upstream().is_none()
    };
    let readers = (0..40).filter(is_reader);
    assert_eq!(readers.collect::<Vec<_>>(), [2, 3]);
}

/// Guards against calls to the table service by all processes below one that has no updates.
#[tokio::test(start_paused = true)]
async fn stale_upstream_replaced() {
    let mut list = members(39, 40);
    let upstream = list.upstream().expect("one of forty");
    list.tree.mark_stale(&upstream.id);
    let next = list.upstream().expect("another one");
    assert_ne!(next.id, upstream.id);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(list.upstream(), Some(upstream));
}

/// The upstream process has to stop. The others must switch to the next one at once, not only when
/// requests fail.
#[test]
fn stopping_upstream_replaced() {
    let mut list = members(39, 40);
    let upstream = list.upstream().expect("one of forty");
    list.mark_left(upstream.id.clone(), upstream.incarnation);
    let next = list.upstream();
    assert!(next.is_none_or(|next| next.id != upstream.id));
}
