//! Rate limits that runners ask for in their responses.

mod common;

use common::{Fake, body, ready, request, runner};
use relay::limit::LimitNotice;
use relay::member::{Member, Members};
use relay::runner::Change;
use relay::{Relay, Runner, peer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Delay between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Serves requests one after the other for some time, and returns how many were sent to runners.
async fn load(relay: &Arc<Relay<Fake>>, time: Duration) -> usize {
    let before = relay.downstream.sent().len();
    for _ in 0..time.as_millis() / REQUEST_INTERVAL.as_millis() {
        body(relay.serve(request("a", "safe")).await).await;
        sleep(REQUEST_INTERVAL).await;
    }
    relay.downstream.sent().len() - before
}

/// Both runners ask for a limit of one request per second. Neither gets more than that on average, whatever
/// the load.
#[tokio::test(start_paused = true)]
async fn limit_kept() {
    let relay = limited().await;
    assert!(load(&relay, Duration::from_secs(10)).await <= 2 * 11);
}

fn set_limit(relay: &Relay<Fake>, spacing: Option<Duration>) {
    *relay.downstream.spacing.lock().expect("free") = spacing;
}

/// A relay both of whose runners have just asked for a limit of one request per second.
async fn limited() -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    relay.peers.members(Members::mark_listed);
    set_limit(&relay, Some(Duration::from_secs(1)));
    load(&relay, Duration::from_secs(1)).await;
    relay
}

/// The runners no longer ask for a limit. A limit that stayed in force would leave them idle.
#[tokio::test(start_paused = true)]
async fn limit_ends() {
    let relay = limited().await;
    set_limit(&relay, None);
    load(&relay, Duration::from_secs(2)).await;
    assert!(load(&relay, Duration::from_secs(1)).await >= 20);
}

/// Requests that no runner may be sent now are refused at once, as not run.
#[tokio::test(start_paused = true)]
async fn refused_at_once() {
    let relay = limited().await;
    // Uses up what both runners accept in this second.
    load(&relay, REQUEST_INTERVAL * 2).await;
    let begun = Instant::now();
    let answer = relay.serve(request("a", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(begun.elapsed() < Duration::from_millis(50));
}

/// A restarted runner has no limit until it asks for one.
#[tokio::test(start_paused = true)]
async fn forgotten_at_restart() {
    let relay = limited().await;
    set_limit(&relay, None);
    let restarted = |id| Runner {
        started: Some(2),
        ..runner(id, "plain")
    };
    for id in ["p-1", "p-2"] {
        relay.update(vec![Change::Gone(id.into()), Change::Listed(restarted(id))]);
    }
    assert!(load(&relay, Duration::from_secs(1)).await >= 20);
}

/// In a large fleet only a few processes send to a limited runner. The others learn from these that the
/// limit has ended, since they get no responses from the runner.
#[tokio::test]
async fn announced_by_peers() {
    let relay = ready(Fake::default());
    relay.peers.members(Members::mark_listed);
    let (sender, mut receiver) = common::link::open(&relay).await;
    let mut status = Vec::new();
    let notices = [
        (Some(Duration::from_secs(1_000)), Duration::from_millis(20)),
        // This notice is older than the known limit and must not replace it.
        (None, Duration::from_secs(50)),
        (None, Duration::ZERO),
    ];
    for (spacing, ago) in notices {
        for id in ["p-1", "p-2"] {
            let notice = LimitNotice {
                runner: id.into(),
                spacing,
                ago,
            };
            sender
                .send(peer::Frame::Limit(notice))
                .await
                .expect("linked");
        }
        // Frames are processed in order, so the answer shows that both notices have been applied.
        let question = peer::Frame::AskPart {
            version: 1,
            offset: 0,
        };
        sender.send(question).await.expect("linked");
        let answered = async {
            while !matches!(
                receiver.recv().await.expect("linked"),
                Some(peer::Frame::Part(_))
            ) {}
        };
        timeout(Duration::from_secs(60), answered)
            .await
            .expect("an answer");
        status.push(relay.serve(request("a", "safe")).await.status);
    }
    assert_eq!(status, [503, 503, 200]);
}

/// Of twenty processes, only a few may send to a limited runner.
#[tokio::test(start_paused = true)]
async fn few_senders() {
    let mut sent = 0;
    let mut senders = 0;
    for own in 0..20 {
        let member = |number: usize| Member {
            id: format!("relay-{number}").into(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 1).into(),
            weight: 1.0,
            domain: "a".into(),
            since: None,
        };
        let relay = common::unconfigured_member(Fake::default(), member(own));
        relay.adopt(common::configuration(1));
        relay.update(vec![Change::Listed(runner("p-1", "plain"))]);
        relay.peers.members(|members| {
            for number in 0..20 {
                members.put(member(number), number as u64 + 1);
            }
            members.mark_listed();
        });
        set_limit(&relay, Some(Duration::from_secs(1)));
        load(&relay, REQUEST_INTERVAL).await;
        let after = load(&relay, Duration::from_secs(20)).await;
        sent += after;
        senders += usize::from(after > 0);
    }
    assert_eq!(senders, 4);
    assert!((16..=24).contains(&sent), "{sent}");
}

/// Runners of a stage ask for a limit as well. The process that forms their calls keeps to it.
#[tokio::test(start_paused = true)]
async fn stage_limit_kept() {
    let relay = ready(Fake::default());
    set_limit(&relay, Some(Duration::from_secs(1)));
    let serving = (0..40).map(|number| {
        let relay = relay.clone();
        tokio::spawn(async move {
            sleep(REQUEST_INTERVAL * number).await;
            relay.serve(request(&format!("q{number}"), "staged")).await;
        })
    });
    let serving: Vec<_> = serving.collect();
    sleep(Duration::from_secs(4)).await;
    let calls = relay.downstream.stage_calls().len();
    assert!((6..=2 * 5).contains(&calls), "{calls}");
    serving.iter().for_each(tokio::task::JoinHandle::abort);
}
