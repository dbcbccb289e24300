//! Requests that may run in some regions only.

mod common;

use common::{Fake, configuration, request, runner, with_regions};
use relay::configuration::{AllowedRegions, Configuration, Limits, Route, Service, Workspace};
use relay::runner::{Change, Runner};
use relay::{Answer, Body};

/// A relay with a runner in each of two regions, `north` and `south`, and one whose region is not
/// known.
async fn serve(route: &[&str], workspace: &[&str]) -> (Fake, Answer) {
    let fake = Fake::default();
    let relay = with_regions(fake.clone(), &[("a", "north"), ("b", "south")]);
    relay.adopt(confined(route, workspace));
    let listed = [("p-n", "a"), ("p-s", "b"), ("p-u", "c")].map(|(id, domain)| {
        Change::Listed(Runner {
            domain: domain.into(),
            ..runner(id, "plain")
        })
    });
    relay.update(listed.into());
    let answer = relay.serve(request("q", "safe")).await;
    (fake, answer)
}

fn homes(regions: &[&str]) -> AllowedRegions {
    regions.iter().map(|region| (*region).into()).collect()
}

/// Routes of [`configuration`] with these homes of route and workspace.
fn confined(route: &[&str], workspace: &[&str]) -> Configuration {
    let whole = configuration(2);
    let safe = whole.route("host", "/safe/x").expect("there");
    let route = Route {
        homes: homes(route),
        ..Route::clone(safe)
    };
    let service = Service {
        name: "plain".into(),
        connections: 64,
        batches: None,
        warmup: None,
    };
    let workspace = Workspace {
        name: "coop".into(),
        rank: None,
        homes: homes(workspace),
    };
    let keys = vec![(workspace, vec!["key".to_owned()])];
    Configuration::new(2, vec![route], vec![service], keys, Limits::default())
}

fn ran_at(fake: &Fake) -> Vec<String> {
    fake.sent().into_iter().map(|sent| sent.runner).collect()
}

/// A workspace's data may not leave its region. A request that ran elsewhere would break the law that
/// its owner is under, whoever is idle there.
#[tokio::test]
async fn stays_home() {
    for (route, workspace) in [
        (&["south"][..], &[][..]),
        (&[], &["south"]),
        (&["north", "south"], &["south"]),
    ] {
        let (fake, answer) = serve(route, workspace).await;
        assert_eq!(answer.status, 200);
        assert_eq!(ran_at(&fake), ["p-s"], "{route:?} {workspace:?}");
    }
}

/// Route and workspace have no home in common, or none that has a runner. The caller is told so and
/// that the request has not run.
#[tokio::test]
async fn no_home() {
    for (route, workspace) in [(&["north"][..], &["south"][..]), (&["west"], &[])] {
        let (fake, answer) = serve(route, workspace).await;
        assert!(ran_at(&fake).is_empty());
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some());
        let Body::Full(text) = answer.body else {
            panic!("a refusal has a whole body");
        };
        let text = String::from_utf8(text.to_vec()).expect("text");
        assert!(text.contains("regions that it may run in"), "{text}");
    }
}

/// Requests without homes run anywhere, also where the region is not known.
#[tokio::test]
async fn no_homes_named() {
    let (fake, answer) = serve(&[], &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(ran_at(&fake).len(), 1);
}
