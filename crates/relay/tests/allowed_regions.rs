//! Requests that may run only in some regions.

mod common;

use common::{Fake, configuration, request, runner, with_regions};
use relay::configuration::{AllowedRegions, Configuration, Limits, Route, Service, Workspace};
use relay::runner::{Change, Runner};
use relay::{Answer, Body};

/// Serves a request at a relay with a runner in each of the regions `north` and `south` and one whose
/// region is unknown. `route` and `workspace` list the regions that they allow.
async fn serve(route: &[&str], workspace: &[&str]) -> (Fake, Answer) {
    let fake = Fake::default();
    let relay = with_regions(fake.clone(), &[("a", "north"), ("b", "south")]);
    relay.adopt(restricted(route, workspace));
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

fn regions(names: &[&str]) -> AllowedRegions {
    names.iter().map(|name| (*name).into()).collect()
}

/// A configuration in which a route of [`configuration`] and a workspace allow only these regions.
fn restricted(route: &[&str], workspace: &[&str]) -> Configuration {
    let whole = configuration(2);
    let safe = whole.route("host", "/safe/x").expect("there");
    let route = Route {
        homes: regions(route),
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
        homes: regions(workspace),
    };
    let keys = vec![(workspace, vec!["key".to_owned()])];
    Configuration::new(2, vec![route], vec![service], keys, Limits::default())
}

fn ran_at(fake: &Fake) -> Vec<String> {
    fake.sent().into_iter().map(|sent| sent.runner).collect()
}

/// Guards against requests that run outside their allowed regions because runners are idle there: the
/// workspace's owner may be legally bound to keep its data in the region.
#[tokio::test]
async fn runs_in_allowed_region() {
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

/// Route and workspace have no allowed region in common, or none that has a runner. The client must be
/// notified of this, and that the request has not run.
#[tokio::test]
async fn no_common_region() {
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

/// Requests without allowed regions run anywhere, even where the region is unknown.
#[tokio::test]
async fn unrestricted() {
    let (fake, answer) = serve(&[], &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(ran_at(&fake).len(), 1);
}
