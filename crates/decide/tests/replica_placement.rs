//! Placement orders over random fleets and demands.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::place::{Engine, Model, Order, Placement};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

const MAX_LOADS: usize = 2;

fn model(name: &str, min: u32, max: u32, demand: f64) -> Model {
    Model {
        name: name.into(),
        min,
        max,
        demand,
    }
}

fn engine(number: usize, model: Option<&str>) -> Engine {
    Engine {
        id: format!("e{number}").into(),
        model: model.map(Into::into),
        warm: model.is_some(),
        live: true,
    }
}

fn replicas(engines: &[Engine], model: &str, warm: bool) -> usize {
    let serves = |engine: &&Engine| engine.model.as_deref() == Some(model);
    let engines = engines.iter().filter(serves);
    engines.filter(|engine| engine.warm || !warm).count()
}

fn apply_orders(engines: &mut [Engine], orders: &[Order]) {
    for order in orders {
        let engine = engines
            .iter_mut()
            .find(|engine| engine.id == order.target)
            .unwrap();
        (engine.model, engine.warm) = (Some(order.model.clone()), false);
    }
}

/// Demand shifts between models while loads take long. No order may remove the last warm replica of a
/// model, since its users would get no response until a new one is loaded, and the number of
/// concurrent loads must stay within the capacity of the weight store.
#[test]
fn keeps_last_warm_replica() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let demand = (0.0..8.0_f64, 0.0..8.0_f64, any::<bool>());
    let outcome = runner.run(&prop::collection::vec(demand, 1..60), |demands| {
        let mut engines: Vec<Engine> = (0..6)
            .map(|number| engine(number, [Some("a"), Some("b"), None][number % 3]))
            .collect();
        let mut placement = Placement::new(MAX_LOADS as u32, Duration::from_secs(10));
        for (step, (a, b, loaded)) in demands.into_iter().enumerate() {
            let now = Duration::from_secs(10 * step as u64);
            let models = [model("a", 1, 4, a), model("b", 1, 4, b)];
            let warm = models
                .each_ref()
                .map(|model| replicas(&engines, &model.name, true));
            let orders = placement.plan(now, &models, &engines);
            prop_assert!(orders.len() <= MAX_LOADS);
            apply_orders(&mut engines, &orders);
            for (model, before) in models.iter().zip(warm) {
                prop_assert!(before == 0 || replicas(&engines, &model.name, true) > 0);
                prop_assert!(replicas(&engines, &model.name, false) <= model.max as usize);
            }
            if loaded {
                engines
                    .iter_mut()
                    .for_each(|engine| engine.warm = engine.model.is_some());
            }
        }
        Ok(())
    });
    outcome.unwrap();
}

/// A short dip in demand must not remove a replica, since loading it again takes minutes while users
/// wait. A lasting drop must remove one.
#[test]
fn waits_before_scaling_down() {
    let mut engines = [
        engine(0, Some("a")),
        engine(1, Some("a")),
        engine(2, Some("b")),
    ];
    let mut placement = Placement::new(1, Duration::from_secs(1));
    let models = [model("a", 1, 3, 0.2), model("b", 1, 3, 1.5)];
    let busy = [model("a", 1, 3, 1.5), model("b", 1, 3, 1.5)];
    let at = Duration::from_secs;
    assert_eq!(placement.plan(at(0), &models, &engines), []);
    assert_eq!(placement.plan(at(20), &busy, &engines), []);
    assert_eq!(placement.plan(at(40), &models, &engines), []);
    assert_eq!(placement.plan(at(69), &models, &engines), []);
    let orders = placement.plan(at(70), &models, &engines);
    assert_eq!(
        orders.iter().map(|order| &*order.model).collect::<Vec<_>>(),
        ["b"]
    );
    apply_orders(&mut engines, &orders);
    assert_eq!(placement.plan(at(200), &models, &engines), []);
}
