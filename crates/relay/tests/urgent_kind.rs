//! A burst of one kind of request beside a more urgent kind that needs the same stage.
//!
//! Two runners take calls of four pieces; at two pieces per request they serve 14 requests a
//! second. For three seconds, eight urgent requests and thirty-two of the other kind arrive each
//! second.

mod common;

use common::{Fake, configuration, request, runner, unconfigured};
use relay::Relay;
use relay::configuration::{Configuration, Kind, Limits, Route, Service, Workspace};
use relay::runner::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

const URGENT: usize = 24;
const INTERVAL: Duration = Duration::from_millis(125);
const TARGET: Duration = Duration::from_secs(1);

/// A configuration in which `/urgent/` has priority over `/other/`, for a workspace whose rank all
/// others have.
fn ranked() -> Configuration {
    let shape = configuration(1);
    let staged = shape.route("host", "/staged/x").expect("listed");
    let route = |name: &str, rank| Route {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        kind: Kind::Safe,
        rank,
        ..Route::clone(staged)
    };
    let workspace = Workspace {
        homes: Default::default(),
        name: "coop".into(),
        rank: Some(1),
    };
    let services: Vec<Service> = shape.services.values().cloned().collect();
    Configuration::new(
        2,
        vec![route("urgent", 0), route("other", 2)],
        services,
        vec![(workspace, vec!["key".to_owned()])],
        Limits::default(),
    )
}

fn serving() -> Arc<Relay<Fake>> {
    let relay = unconfigured(Fake::default());
    relay.adopt(ranked());
    let runners = [("p-1", "plain"), ("s-1", "stage"), ("s-2", "stage")];
    let listed = runners.map(|(id, service)| Change::Listed(runner(id, service)));
    relay.update(listed.into());
    relay
}

/// Whether a request is served within the latency target.
async fn on_time(relay: Arc<Relay<Fake>>, id: String, route: &'static str) -> bool {
    let mut request = request(&id, route);
    request.pieces = vec![2];
    let arrived = request.arrived;
    let answer = relay.serve(request).await;
    answer.status == 200 && arrived.elapsed() <= TARGET
}

/// A burst of one kind of request fills the stage that an urgent kind needs as well. Clients of the
/// urgent kind would get late responses or none, although the stage has enough capacity for all of
/// them.
#[tokio::test(start_paused = true)]
async fn urgent_served() {
    let relay = serving();
    let (mut urgent, mut others) = (JoinSet::new(), JoinSet::new());
    for number in 0..URGENT {
        urgent.spawn(on_time(relay.clone(), format!("u-{number}"), "urgent"));
        for copy in 0..4 {
            let id = format!("o-{number}-{copy}");
            others.spawn(on_time(relay.clone(), id, "other"));
        }
        sleep(INTERVAL).await;
    }
    let served = |outcomes: Vec<bool>| outcomes.into_iter().filter(|on_time| *on_time).count();
    let (urgent, others) = (
        served(urgent.join_all().await),
        served(others.join_all().await),
    );
    assert_eq!(urgent, URGENT);
    assert!(
        others > 0,
        "what is left of the stage goes to the other kind"
    );
}
