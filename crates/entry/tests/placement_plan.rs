//! Orders planned from the models that a service's engines hold.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::place::Model;
use entry::engine::{EngineView, Order, Verb};
use entry::placement::fleet::{Engine, Fleet};
use entry::placement::plan::{PlannedOrder, Planner};
use entry::target::{Change, Observer, Target};
use setting::Placement;
use slog::{Discard, Logger, o};
use std::sync::Arc;
use std::time::Duration;
use store::{Role, Vm};
use tokio::time::{advance, sleep};

const SPAN: Duration = Duration::from_secs(5);
/// More rounds than a surplus must last before a replica is unloaded.
const SURPLUS_ROUNDS: usize = 40;

struct NoObserver;

impl Observer for NoObserver {
    fn target_changed(&self, _: &Arc<Target>, _: Change) {}
}

fn target(id: &str) -> Arc<Target> {
    let vm = Vm {
        id: id.to_owned(),
        incarnation: 1,
        role: Role::Target,
        service: "assistant".to_owned(),
        region: "ee-north".to_owned(),
        domain: "a".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        news: None,
        leaving: false,
    };
    let target = Target::start(
        vm,
        wire::Key::new("k"),
        Logger::root(Discard, o!()),
        Arc::new(NoObserver),
    );
    target.stop();
    target
}

/// Creates engines that hold these models, with the ids `e0`, `e1` and so on.
fn fleet(held: &[&[&str]]) -> Fleet {
    let engine = |(number, warm): (usize, &&[&str])| {
        let id = format!("e{number}");
        let warm = warm.iter().map(|model| (*model).to_owned()).collect();
        let view = EngineView {
            warm,
            ..EngineView::default()
        };
        Engine {
            id: id.as_str().into(),
            target: target(&id),
            view: Some(view),
        }
    };
    Fleet {
        engines: held.iter().enumerate().map(engine).collect(),
    }
}

fn model(name: &str, min: u32) -> Model {
    Model {
        name: name.into(),
        min,
        max: 8,
        demand: 0.0,
    }
}

fn planner(fence: u64) -> Planner {
    let mut planner = Planner::new(&Placement {
        loads: 1,
        every_ms: 5_000,
        lease_ms: 10_000,
    });
    planner.set_fence(Some(fence));
    planner
}

fn text(orders: &[PlannedOrder]) -> Vec<String> {
    let text = |(target, Order { verb, model }): &PlannedOrder| {
        format!("{verb:?} {model} {}", target.vm.id)
    };
    orders.iter().map(text).collect()
}

/// An engine has loaded the new version and still holds the old one, and the holder that ordered
/// the load has crashed. The next holder must complete the swap, or the engine's memory stays
/// divided permanently.
#[tokio::test(start_paused = true)]
async fn swap_ended() {
    let models = [model("old", 1), model("new", 1)];
    let fleet = fleet(&[&["new", "old"], &["old"]]);
    assert_eq!(
        text(&planner(2).plan("assistant", &models, &fleet)),
        ["Unload old e0"]
    );
}

/// Two engines hold both versions and no other engine has the old one. If both unloaded it at once,
/// its callers would have no engine, so one must keep it.
#[tokio::test(start_paused = true)]
async fn last_kept() {
    let models = [model("old", 1), model("new", 1)];
    let both = fleet(&[&["new", "old"], &["new", "old"]]);
    let orders = planner(2).plan("assistant", &models, &both);
    assert_eq!(orders.len(), 2);
    assert_ne!(orders[0].1.model, orders[1].1.model);
    let single = fleet(&[&["new", "old"]]);
    assert!(planner(2).plan("assistant", &models, &single).is_empty());
}

/// A new version is accepted while all engines serve the old one. The old version must not lose its
/// engines at once: a replica is unloaded only after a lasting surplus.
#[tokio::test(start_paused = true)]
async fn surplus_lasts() {
    let models = [model("old", 1), model("new", 1)];
    let fleet = fleet(&[&["old"], &["old"]]);
    let mut planner = planner(1);
    assert!(planner.plan("assistant", &models, &fleet).is_empty());
    let mut orders = Vec::new();
    for _ in 0..SURPLUS_ROUNDS {
        sleep(Duration::from_secs(1)).await;
        orders.extend(planner.plan("assistant", &models, &fleet));
    }
    assert_eq!(text(&orders[..1]), ["Load new e0"]);
}

/// Two services need models at the same time. Together, they must not start more loads than the
/// weight store allows.
#[tokio::test(start_paused = true)]
async fn shared_rate() {
    let models = [model("new", 2)];
    let fleet = fleet(&[&[], &[]]);
    let mut planner = planner(1);
    let mut names = ["one".to_owned(), "other".to_owned()];
    let mut served = Vec::new();
    for _ in 0..4 {
        planner.rotate(&mut names);
        let loads = names
            .iter()
            .filter(|name| !planner.plan(name, &models, &fleet).is_empty());
        let loads: Vec<_> = loads.cloned().collect();
        assert_eq!(loads.len(), 1);
        served.extend(loads);
        advance(SPAN).await;
    }
    assert_eq!(served, ["one", "other", "one", "other"]);
}

/// A holder takes over right after the previous one has started a load. It does not know of that
/// load, so it must wait one time span before its own first load.
#[tokio::test(start_paused = true)]
async fn rate_after_takeover() {
    let models = [model("new", 1)];
    let fleet = fleet(&[&[]]);
    assert_eq!(planner(1).plan("assistant", &models, &fleet).len(), 1);
    let mut planner = planner(2);
    assert!(planner.plan("assistant", &models, &fleet).is_empty());
    advance(SPAN * 2).await;
    assert_eq!(
        text(&planner.plan("assistant", &models, &fleet)),
        ["Load new e0"]
    );
}

/// A new holder has no report from one engine yet. That engine may already have the model, and a
/// load would then go to another engine needlessly, so the holder must wait for the report.
#[tokio::test(start_paused = true)]
async fn unreported_engine() {
    let models = [model("new", 1)];
    let mut fleet = fleet(&[&[], &["new"]]);
    fleet.engines[1].view = None;
    assert!(planner(1).plan("assistant", &models, &fleet).is_empty());
}

/// An engine that is loading a model or has an open order must not receive another order until it
/// is finished.
#[tokio::test(start_paused = true)]
async fn busy_engine() {
    let models = [model("old", 1), model("new", 1), model("other", 1)];
    let mut fleet = fleet(&[&["old", "new"], &["old"]]);
    fleet.engines[0].view.as_mut().unwrap().loading = Some("other".to_owned());
    fleet.engines[1].view.as_mut().unwrap().busy = true;
    assert!(planner(1).plan("assistant", &models, &fleet).is_empty());
    let order = Order {
        verb: Verb::Load,
        model: "new".to_owned(),
    };
    let engine = &fleet.engines[0].target.engine;
    let first = engine.open_order(order.clone());
    assert!(first.is_some() && engine.open_order(order).is_none());
}

/// A query was sent before an order ended. Its answer may show the state before the order, and two
/// engines that unload a model based on outdated answers could be the last two that have it.
#[tokio::test(start_paused = true)]
async fn answer_overtaken() {
    let target = target("e0");
    let engine = &target.engine;
    let models = |warm: &str| {
        Some(wire::Models {
            warm: vec![warm.to_owned()],
            loading: None,
            wanted: Vec::new(),
        })
    };
    let number = engine.next_query(Some(1)).unwrap();
    engine.record_models(number, models("old"));
    assert!(engine.view(1).is_some() && engine.view(2).is_none());
    let order = Order {
        verb: Verb::Unload,
        model: "old".to_owned(),
    };
    let open = engine.open_order(order).unwrap();
    assert!(engine.view(1).unwrap().warm.is_empty());
    let number = engine.next_query(Some(1)).unwrap();
    advance(SPAN).await;
    engine.close_order(Some(200));
    assert_eq!(open.await.unwrap(), 200);
    engine.record_models(number, models("old"));
    assert_eq!(engine.view(1), None);
}

/// An agent is linked but its engine never reports its models. If the entry waited for it without a
/// limit, every call for a model that no engine has would be accepted and would wait in vain.
#[tokio::test(start_paused = true)]
async fn no_first_report() {
    let target = target("e0");
    assert!(!target.engine.is_pending());
    target.engine.record_link_up();
    assert!(target.engine.is_pending());
    advance(SPAN * 2).await;
    assert!(!target.engine.is_pending());
}
