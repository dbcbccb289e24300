//! How the configuration applies to a request, and which configuration is in force.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, body, configuration, ready, request, runner, unconfigured};
use relay::configuration::{Configuration, LAST_RANK, Limits, Route, Workspace};
use relay::follow;
use relay::runner::Change;
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

/// An older configuration arrives late, from a slow store or a peer. It must not replace the newer one:
/// revoked keys would work again.
#[tokio::test(start_paused = true)]
async fn older_version_ignored() {
    let replies = vec![
        FeedReply::Rows(vec![("config", Some(json!(5)))]),
        FeedReply::Rows(vec![("config", Some(json!(3)))]),
        FeedReply::Rows(vec![("config", Some(json!("rubbish")))]),
        FeedReply::Rows(vec![("config", None)]),
    ];
    let relay = unconfigured(Fake::default());
    let following = tokio::spawn(follow::operator_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
    sleep(Duration::from_secs(5)).await;
    following.abort();
    assert_eq!(
        relay
            .configuration()
            .map(|configuration| configuration.version),
        Some(5)
    );
}

/// A process that has just started has no configuration. It must not respond that a route or key does not
/// exist, since clients would not retry.
#[tokio::test(start_paused = true)]
async fn not_ready() {
    let relay = unconfigured(Fake::default());
    let answer = relay.serve(request("a", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    relay.adopt(configuration(1));
    assert!(!relay.is_ready(), "runners are not known yet");
    relay.update(vec![Change::Listed(runner("p-1", "plain"))]);
    assert!(relay.is_ready());
}

/// Requests with unknown keys or routes are refused with their own statuses, and nothing is sent to a runner.
#[tokio::test(start_paused = true)]
async fn refusals() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let mut wrong_key = request("a", "safe");
    wrong_key.key = Some("other".to_owned());
    let mut no_key = request("b", "safe");
    no_key.key = None;
    for (request, status) in [
        (wrong_key, 401),
        (no_key, 401),
        (request("c", "nowhere"), 404),
    ] {
        assert_eq!(body(relay.serve(request).await).await.0, status);
    }
    assert!(fake.sent().is_empty());
}

/// A runner is replies the workspace of a request and its remaining time, whatever the client stated.
#[tokio::test(start_paused = true)]
async fn passed_to_runner() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let mut request = request("a", "safe");
    request.timeout = Some(Duration::from_secs(60));
    relay.serve(request).await;
    let sent = &fake.sent()[0];
    assert_eq!(sent.workspace.as_deref(), Some("coop"));
    assert_eq!(
        sent.remaining,
        Duration::from_secs(5),
        "the route's own limit"
    );
}

/// A request whose pieces cannot be made before its deadline is refused at once rather than at its timeout,
/// so that the client can go elsewhere.
#[tokio::test(start_paused = true)]
async fn refused_at_once() {
    let relay = ready(Fake::default());
    let mut request = request("a", "staged");
    request.timeout = Some(Duration::from_millis(100));
    let begun = tokio::time::Instant::now();
    let answer = relay.serve(request).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(begun.elapsed(), Duration::ZERO);
}

/// Host names are case-insensitive, and among routes whose prefixes match, the one with the longest prefix is
/// used.
#[test]
fn longest_prefix() {
    let configuration = configuration(1);
    let found = configuration
        .route("HOST", "/safe/x")
        .map(|route| route.name.clone());
    assert_eq!(found.as_deref(), Some("safe"));
    assert!(configuration.route("host", "/safe").is_none());
}

/// A client that retries after a refusal has a shorter timeout than others of its route. Its request is
/// already late, so its pieces come after those of requests that can still be on time.
#[tokio::test(start_paused = true)]
async fn retry_detected() {
    let relay = ready(Fake::default());
    let whole = Duration::from_secs(4);
    assert_eq!(relay.waited_before("staged", whole), Duration::ZERO);
    let left = Duration::from_secs(3);
    assert_eq!(relay.waited_before("staged", left), Duration::from_secs(1));
    assert_eq!(relay.waited_before("other", left), Duration::ZERO);
}

/// Clients state their remaining time in milliseconds, and one that has just connected has a few less than
/// one with an open connection. It must not count as a retry: nearly all first attempts would come after
/// the few with the longest timeout.
#[tokio::test(start_paused = true)]
async fn first_attempts_differ() {
    let relay = ready(Fake::default());
    let whole = Duration::from_secs(4);
    relay.waited_before("staged", whole);
    let connected = Duration::from_millis(3_994);
    assert_eq!(relay.waited_before("staged", connected), Duration::ZERO);
}

/// Timeouts of clients on one route differ by a seventh. If the difference counted as time already waited,
/// every second request would be late on arrival, and refused in a burst although there is capacity for it.
#[tokio::test(start_paused = true)]
async fn timeouts_differ() {
    let relay = ready(Fake::default());
    relay.waited_before("staged", Duration::from_secs(6));
    for patience in [5_100, 5_400, 5_900] {
        let patience = Duration::from_millis(patience);
        assert_eq!(relay.waited_before("staged", patience), Duration::ZERO);
    }
    let refused_once = Duration::from_secs(4);
    let waited = relay.waited_before("staged", refused_once);
    assert_eq!(waited, Duration::from_secs(2));
}

/// Two workspaces send requests on routes of different ranks. Without the route's rank, all requests of
/// workspaces of one rank would be equally urgent. If the workspace's rank did not come first, an urgent
/// workspace would wait behind the urgent routes of others.
#[test]
fn ranks_combine() {
    let route = |name: &str, rank| Route {
        rank,
        ..Route::clone(
            configuration(1)
                .route("host", &format!("/{name}/"))
                .expect("listed"),
        )
    };
    let (urgent, normal) = (route("safe", 0), route("stream", 2));
    let workspace = |rank| Workspace {
        homes: Default::default(),
        name: "coop".into(),
        rank,
    };
    let workspaces = [Some(0), Some(1)].map(workspace);
    let keys = workspaces.clone().map(|workspace| (workspace, Vec::new()));
    let routes = vec![urgent.clone(), normal.clone()];
    let configuration = Configuration::new(1, routes, Vec::new(), keys.into(), Limits::default());
    let [first, second] = workspaces.each_ref().map(Some);
    let ranks = [
        configuration.rank(first, &urgent),
        configuration.rank(first, &normal),
        configuration.rank(second, &urgent),
        configuration.rank(second, &normal),
    ];
    assert_eq!(ranks, [0, 1, 2, 3]);
}

/// A configuration has more pairs of ranks than there are ranks. Their order must be preserved, and no rank
/// may exceed the last one, since runners would not understand it.
#[test]
fn many_ranks() {
    let shape = configuration(1);
    let route = |rank: u8| Route {
        name: format!("route-{rank}"),
        prefix: format!("/{rank}/"),
        rank,
        ..Route::clone(shape.route("host", "/safe/").expect("listed"))
    };
    let routes: Vec<Route> = (0..30).map(route).collect();
    let workspace = Workspace {
        homes: Default::default(),
        name: "coop".into(),
        rank: Some(3),
    };
    let keys = vec![(workspace.clone(), Vec::new())];
    let configuration = Configuration::new(1, routes.clone(), Vec::new(), keys, Limits::default());
    let ranks = routes
        .iter()
        .map(|route| configuration.rank(Some(&workspace), route));
    let ranks: Vec<u8> = ranks.collect();
    assert!(ranks.is_sorted(), "{ranks:?}");
    assert_eq!((ranks.first(), ranks.last()), (Some(&0), Some(&LAST_RANK)));
}

/// The process is about to exit while a request still waits for its stages. The client must be replies that
/// the request has not run, which a closed connection would not tell.
#[tokio::test(start_paused = true)]
async fn process_exits() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let waiting = tokio::spawn({
        let relay = relay.clone();
        async move { relay.serve(request("a", "staged")).await }
    });
    sleep(Duration::from_millis(50)).await;
    relay.ending.cancel();
    let answer = waiting.await.expect("no panic");
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(fake.sent().is_empty());
}
