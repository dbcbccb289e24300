//! Runners that ask for fewer requests in their answers.

mod common;

use common::{Fake, body, ready, request, runner};
use relay::limit::LimitNotice;
use relay::member::{Member, Members};
use relay::runner::Change;
use relay::{Relay, Runner, peer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time between two requests of the load.
const PAUSE: Duration = Duration::from_millis(50);

/// Serves requests one after the other for so long, and gives how many runners got.
async fn load(relay: &Arc<Relay<Fake>>, time: Duration) -> usize {
    let before = relay.downstream.sent().len();
    for _ in 0..time.as_millis() / PAUSE.as_millis() {
        body(relay.serve(request("a", "safe")).await).await;
        sleep(PAUSE).await;
    }
    relay.downstream.sent().len() - before
}

/// Both runners name a limit of one request a second. Neither gets more than that on average, however
/// many callers ask.
#[tokio::test(start_paused = true)]
async fn kept_alone() {
    let relay = limited().await;
    assert!(load(&relay, Duration::from_secs(10)).await <= 2 * 11);
}

fn limit(relay: &Relay<Fake>, spacing: Option<Duration>) {
    *relay.downstream.spacing.lock().expect("free") = spacing;
}

/// A relay both of whose runners have just named a limit of one request a second.
async fn limited() -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    relay.peers.members(Members::mark_listed);
    limit(&relay, Some(Duration::from_secs(1)));
    load(&relay, Duration::from_secs(1)).await;
    relay
}

/// The runner says no more that it is in need. Kept to for ever, the limit would leave it idle.
#[tokio::test(start_paused = true)]
async fn over() {
    let relay = limited().await;
    limit(&relay, None);
    load(&relay, Duration::from_secs(2)).await;
    assert!(load(&relay, Duration::from_secs(1)).await >= 20);
}

/// Requests that no runner takes now are refused at once, as not run.
#[tokio::test(start_paused = true)]
async fn refused_at_once() {
    let relay = limited().await;
    // What both runners take in this second.
    load(&relay, PAUSE * 2).await;
    let begun = Instant::now();
    let answer = relay.serve(request("a", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(begun.elapsed() < Duration::from_millis(50));
}

/// A runner that starts anew has no limit until it names one.
#[tokio::test(start_paused = true)]
async fn forgotten_at_restart() {
    let relay = limited().await;
    limit(&relay, None);
    let restarted = |id| Runner {
        started: Some(2),
        ..runner(id, "plain")
    };
    for id in ["p-1", "p-2"] {
        relay.update(vec![Change::Gone(id.into()), Change::Listed(restarted(id))]);
    }
    assert!(load(&relay, Duration::from_secs(1)).await >= 20);
}

/// In a large fleet a few processes send to such a runner. Those that do not would never hear from it
/// that the limit is over: the others tell.
#[tokio::test]
async fn told_by_peers() {
    let relay = ready(Fake::default());
    relay.peers.members(Members::mark_listed);
    let (sender, mut receiver) = common::link::open(&relay).await;
    let mut status = Vec::new();
    let turns = [
        (Some(Duration::from_secs(1_000)), Duration::from_millis(20)),
        // Older than what is known: it must not undo it.
        (None, Duration::from_secs(50)),
        (None, Duration::ZERO),
    ];
    for (spacing, ago) in turns {
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
        // Answered in their order, so that both have been taken in.
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

/// Twenty processes are there: a few of them have a place at the runner, and the others leave it alone.
#[tokio::test(start_paused = true)]
async fn few_places() {
    let mut sent = 0;
    let mut places = 0;
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
        limit(&relay, Some(Duration::from_secs(1)));
        load(&relay, PAUSE).await;
        let after = load(&relay, Duration::from_secs(20)).await;
        sent += after;
        places += usize::from(after > 0);
    }
    assert_eq!(places, 4);
    assert!((16..=24).contains(&sent), "{sent}");
}

/// Runners of a stage name a limit as well. The process that forms their calls keeps to it.
#[tokio::test(start_paused = true)]
async fn stage_limit_kept() {
    let relay = ready(Fake::default());
    limit(&relay, Some(Duration::from_secs(1)));
    let serving = (0..40).map(|number| {
        let relay = relay.clone();
        tokio::spawn(async move {
            sleep(PAUSE * number).await;
            relay.serve(request(&format!("q{number}"), "staged")).await;
        })
    });
    let serving: Vec<_> = serving.collect();
    sleep(Duration::from_secs(4)).await;
    let calls = relay.downstream.stage_calls().len();
    assert!((6..=2 * 5).contains(&calls), "{calls}");
    serving.iter().for_each(tokio::task::JoinHandle::abort);
}
