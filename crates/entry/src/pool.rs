//! The targets that an entry knows, by service.

use crate::target::Target;
use foldhash::fast::RandomState;
use platform::Vm;
use rand::Rng;
use record::Set;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLock};

/// Targets sampled for one choice.
const SAMPLE: usize = 2;

type Targets = HashMap<String, Vec<Arc<Target>>, RandomState>;

/// The targets that an entry knows.
#[derive(Debug, Default)]
pub struct Pool {
    by_service: RwLock<Targets>,
}

impl Pool {
    /// Takes in the platform's list; `start` opens the link to a target that is new.
    ///
    /// The list lags, so that a target that is missing from it stays as long as its link is up,
    /// and a mark of leaving is never taken back within one life of the VM.
    pub fn update(&self, listed: &[Vm], start: impl Fn(Vm) -> Arc<Target>) {
        let mut by_service = self
            .by_service
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        for vm in listed {
            let targets = by_service.entry(vm.service.clone()).or_default();
            take_in(targets, vm, &start);
        }
        for targets in by_service.values_mut() {
            targets.retain(|target| keep(target, listed));
        }
    }

    /// Chooses a target for a call: the least busy of a sample of those that may get new work.
    pub fn choose(
        &self,
        service: &str,
        set: &Set,
        tried: &[String],
        rng: &mut impl Rng,
    ) -> Option<Arc<Target>> {
        let by_service = self
            .by_service
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let open: Vec<&Arc<Target>> = by_service
            .get(service)?
            .iter()
            .filter(|target| target.is_open() && !set.drained(&target.vm.id))
            .filter(|target| !tried.contains(&target.vm.id))
            .collect();
        if open.is_empty() {
            return None;
        }
        (0..SAMPLE)
            .map(|_| open[rng.random_range(0..open.len())])
            .min_by_key(|target| target.in_flight.load(Ordering::Relaxed))
            .cloned()
    }

    /// All targets.
    pub fn all(&self) -> Vec<Arc<Target>> {
        let by_service = self
            .by_service
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        by_service.values().flatten().cloned().collect()
    }
}

fn take_in(targets: &mut Vec<Arc<Target>>, vm: &Vm, start: &impl Fn(Vm) -> Arc<Target>) {
    match targets.iter_mut().find(|target| target.vm.id == vm.id) {
        Some(target) if target.vm.incarnation < vm.incarnation => {
            target.stop();
            *target = start(vm.clone());
        }
        Some(target) if target.vm.incarnation == vm.incarnation && vm.leaving => target.leave(),
        Some(_) => {}
        None => targets.push(start(vm.clone())),
    }
}

fn keep(target: &Target, listed: &[Vm]) -> bool {
    let keep = target.is_linked() || listed.iter().any(|vm| vm.id == target.vm.id);
    if !keep {
        target.stop();
    }
    keep
}
