//! What is known of a service's targets.

use super::prefix::CacheIndex;
use super::target::{LoadReport, PoolMeans, ResponseStats, Target, TargetId};
use super::trust::Trust;
use super::{Block, Call, CallLoad};
use crate::Map;
use crate::retry::eject::EjectionPolicy;
use crate::smooth::Ewma;
use std::time::Duration;

/// Service time in seconds that is assumed before the first answer.
const FIRST_SERVICE: f64 = 0.05;
/// Weight of one answer in the pool's means.
const POOL_WEIGHT: f64 = 0.05;
/// Share of the service time that a whole prefix in cache is assumed to save before it is known.
const FIRST_SAVING: f64 = 0.5;
/// Largest share of the service time that a prefix in cache can be learnt to save.
const MOST_SAVING: f64 = 0.9;

/// Age up to which the word of other processes on their calls is believed. A prompt of thousands of
/// tokens is read in some tenths of a second.
const TOLD: Duration = Duration::from_millis(600);
/// Time after the last prompt for which a service counts as one that is sent prompts.
const PROMPTED: Duration = Duration::from_secs(2);

/// The targets of one service, as one process sees them.
///
/// Those that take new work stand first in the vector, so that a router can draw from them
/// without a look at the others.
///
/// # Examples
///
/// ```
/// use decide::route::{Pool, Target};
/// use std::time::Duration;
///
/// let mut pool = Pool::default();
/// pool.insert(Target::new("gen-1", "a", 8));
/// pool.sent("gen-1", Duration::ZERO);
/// assert_eq!(pool.get("gen-1").unwrap().in_flight(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Pool {
    targets: Vec<Target>,
    index: Map<TargetId, usize>,
    live: usize,
    capacity: u32,
    due: Option<Duration>,
    others: f64,
    service: Ewma,
    cold: Ewma,
    warm: Ewma,
    cache_index: CacheIndex,
    trust: Trust,
    /// When a prompt was last sent, and when other processes last told of their calls.
    prompted: Option<Duration>,
    told: Option<Duration>,
    ejection: EjectionPolicy,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(EjectionPolicy::default())
    }
}

impl Pool {
    /// An empty pool that ejects outliers as told.
    #[must_use]
    pub fn new(ejection: EjectionPolicy) -> Self {
        Self {
            targets: Vec::new(),
            index: Map::default(),
            live: 0,
            capacity: 0,
            due: None,
            others: 0.0,
            service: Ewma::new(POOL_WEIGHT),
            cold: Ewma::new(POOL_WEIGHT),
            warm: Ewma::new(POOL_WEIGHT),
            cache_index: CacheIndex::default(),
            trust: Trust::default(),
            prompted: None,
            told: None,
            ejection,
        }
    }

    /// Adds a target; one of that name keeps what is known of it.
    pub fn insert(&mut self, target: Target) {
        if self.index.contains_key(&target.id) {
            return;
        }
        let place = self.targets.len();
        self.index.insert(target.id.clone(), place);
        self.targets.push(target);
        self.enlist(place);
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) -> Option<Target> {
        let place = *self.index.get(id)?;
        let place = self.delist(place);
        let last = self.targets.len() - 1;
        self.swap(place, last);
        let target = self.targets.pop()?;
        self.index.remove(id);
        self.others -= target.others;
        self.readmit_last();
        Some(target)
    }

    /// The target of that name.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.index.get(id).map(|&place| &self.targets[place])
    }

    /// All targets.
    #[must_use]
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// The targets that take new work.
    #[must_use]
    pub fn live(&self) -> &[Target] {
        &self.targets[..self.live]
    }

    /// Calls that the runners of all targets that take new work are given at once at most.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// A call was sent to the target.
    pub fn sent(&mut self, id: &str, now: Duration) {
        self.readmit(now);
        let means = self.means();
        if let Some(target) = self.get_mut(id) {
            target.predicted = target.predict(means);
            target.in_flight += 1;
        }
    }

    /// A call that was sent has a prompt that takes this many seconds to read.
    pub fn prompt_sent(&mut self, id: &str, now: Duration, seconds: f64) {
        self.prompted = Some(now);
        if let Some(target) = self.get_mut(id) {
            target.reading += seconds;
        }
    }

    /// Whether prompts are sent to the targets these days.
    #[must_use]
    pub fn has_recent_prompts(&self, now: Duration) -> bool {
        let age = |then: Duration| now.saturating_sub(then);
        self.prompted.is_some_and(|then| age(then) < PROMPTED)
    }

    /// The calls that this process has at the targets.
    #[must_use]
    pub fn call_loads(&self) -> Vec<(TargetId, CallLoad)> {
        let loads = self.targets.iter();
        let loads = loads.map(|target| (target.id.clone(), target.call_load()));
        loads
            .filter(|(_, call_load)| !call_load.is_empty())
            .collect()
    }

    /// Other processes have told of all calls that they have at the targets.
    pub fn update_peer_loads(&mut self, now: Duration, loads: Vec<(TargetId, CallLoad)>) {
        self.told = Some(now);
        for target in &mut self.targets {
            target.peer_load = CallLoad::default();
        }
        for (id, call_load) in loads {
            if let Some(target) = self.get_mut(&id) {
                target.peer_load = call_load;
            }
        }
    }

    /// Calls of other processes at a target, unless they have not told for a while.
    #[must_use]
    pub fn peer_load(&self, target: &Target, now: Duration) -> Option<CallLoad> {
        (self.peer_loads_age(now)? < TOLD).then_some(target.peer_load)
    }

    /// Age of what other processes have told of their calls.
    #[must_use]
    pub fn peer_loads_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.told?))
    }

    /// A prompt has been read, or is not read any more.
    pub fn prompt_read(&mut self, id: &str, seconds: f64) {
        if let Some(target) = self.get_mut(id) {
            target.reading = (target.reading - seconds).max(0.0);
        }
    }

    /// A sent call was refused, revoked or cancelled, which says nothing about the target's health.
    pub fn returned(&mut self, id: &str) {
        if let Some(target) = self.get_mut(id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// A sent call was answered whole.
    pub fn answered(&mut self, id: &str, now: Duration, answer: &ResponseStats<'_>) {
        self.returned(id);
        self.readmit(now);
        self.learn_saving(answer);
        let Some(&place) = self.index.get(id) else {
            return;
        };
        let means = self.means();
        let believed = self.cache_index.overlap(id, answer.prefix, now);
        let target = &mut self.targets[place];
        self.trust.learn(target.predicted, answer, means);
        let service = target.learn_service(now, answer.elapsed, means);
        target.learn_hits(believed, answer.hits);
        target.health.succeeded();
        self.cache_index.stored(&target.id, answer.prefix, now);
        self.service.add(service);
    }

    /// A sent call failed, or its answer was lost; too many of these eject the target.
    pub fn failed(&mut self, id: &str, now: Duration) {
        self.returned(id);
        self.readmit(now);
        let Some(&place) = self.index.get(id) else {
            return;
        };
        let (live, all) = (self.live, self.targets.len());
        let target = &mut self.targets[place];
        if target.leaving || target.health.ejected() {
            return;
        }
        if let Some(until) = target.health.failed(&self.ejection, now, live, all) {
            self.due = Some(self.due.map_or(until, |due| due.min(until)));
            self.delist(place);
        }
    }

    /// The target's agent told its load, on an answer or on its own.
    pub fn reported(&mut self, id: &str, now: Duration, report: LoadReport) {
        let Some(&place) = self.index.get(id) else {
            return;
        };
        let target = &mut self.targets[place];
        let before = target.others;
        let limit = target.limit;
        target.learn_load(now, report);
        self.others += target.others - before;
        if place < self.live {
            self.capacity = self.capacity - limit + target.limit;
        }
    }

    /// Runners are given this many calls at once as far as no agent has said otherwise.
    pub fn assume_limit(&mut self, limit: u32) {
        let limit = limit.max(1);
        for (place, target) in self.targets.iter_mut().enumerate() {
            if target.reported.is_none() {
                let before = std::mem::replace(&mut target.limit, limit);
                if place < self.live {
                    self.capacity = self.capacity - before + limit;
                }
            }
        }
    }

    /// The target is leaving and gets no new work; no older news puts it back.
    pub fn leave(&mut self, id: &str) {
        let Some(&place) = self.index.get(id) else {
            return;
        };
        self.targets[place].leaving = true;
        self.delist(place);
        self.readmit_last();
    }

    /// The target's engine said that it has stored these blocks.
    pub fn stored(&mut self, id: &str, now: Duration, blocks: &[Block]) {
        if let Some(&place) = self.index.get(id) {
            let id = self.targets[place].id.clone();
            self.cache_index.stored(&id, blocks, now);
        }
    }

    /// The target's engine said that it has dropped this block.
    pub fn evicted(&mut self, id: &str, block: Block) {
        self.cache_index.evicted(id, block);
    }

    /// Puts targets whose ejection is over back to work, on probation.
    ///
    /// To be called before each choice: where an ejected target is the only one that a call can go to,
    /// no other call comes by that would end the ejection.
    pub fn readmit(&mut self, now: Duration) {
        if self.due.is_some_and(|due| due <= now) {
            self.readmit_due(now);
        }
    }

    /// Puts all ejected targets back to work if no other one is left: one that fails is better than
    /// none.
    fn readmit_last(&mut self) {
        if self.live == 0 && self.due.is_some() {
            self.readmit_due(Duration::MAX);
        }
    }

    fn readmit_due(&mut self, now: Duration) {
        for place in self.live..self.targets.len() {
            let target = &mut self.targets[place];
            if !target.leaving && target.health.due(now) {
                target.health.readmit();
                self.enlist(place);
            }
        }
        let out = &self.targets[self.live..];
        self.due = out.iter().filter_map(|target| target.health.until()).min();
    }

    /// Which prefixes the targets are believed to have in cache.
    #[must_use]
    pub fn cache_index(&self) -> &CacheIndex {
        &self.cache_index
    }

    /// Expected time in seconds until the target would answer the call.
    #[must_use]
    pub fn expected(&self, target: &Target, call: &Call<'_>) -> f64 {
        let means = self.means();
        let finish = target.finish(call.now, means);
        finish - target.service(call.now, means) * self.saving() * self.overlap(target, call)
    }

    /// Means over the pool.
    #[must_use]
    pub fn means(&self) -> PoolMeans {
        let count = self.targets.len().max(1) as f64;
        PoolMeans {
            service: self.service.get().unwrap_or(FIRST_SERVICE),
            others: (self.others / count).max(0.0),
            trust: self.trust.get(),
        }
    }

    /// Share of the call's prefix that the target is believed to hold, from 0 to 1.
    fn overlap(&self, target: &Target, call: &Call<'_>) -> f64 {
        if call.prefix.is_empty() {
            return 0.0;
        }
        let held = self.cache_index.overlap(&target.id, call.prefix, call.now);
        target.credit() * held as f64 / call.prefix.len() as f64
    }

    fn saving(&self) -> f64 {
        match (self.warm.get(), self.cold.get()) {
            (Some(warm), Some(cold)) if cold > 0.0 => (1.0 - warm / cold).clamp(0.0, MOST_SAVING),
            _ => FIRST_SAVING,
        }
    }

    fn learn_saving(&mut self, answer: &ResponseStats<'_>) {
        if answer.prefix.is_empty() {
            return;
        }
        let half_held = answer.hits as usize * 2 >= answer.prefix.len();
        let mean = if half_held {
            &mut self.warm
        } else {
            &mut self.cold
        };
        mean.add(answer.busy.as_secs_f64());
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.index.get(id).map(|&place| &mut self.targets[place])
    }

    fn enlist(&mut self, place: usize) {
        if place >= self.live {
            self.capacity += self.targets[place].limit;
            self.swap(place, self.live);
            self.live += 1;
        }
    }

    /// Moves a target behind those that take new work and gives its new place.
    fn delist(&mut self, place: usize) -> usize {
        if place >= self.live {
            return place;
        }
        self.capacity -= self.targets[place].limit;
        self.live -= 1;
        self.swap(place, self.live);
        self.live
    }

    fn swap(&mut self, one: usize, other: usize) {
        if one == other {
            return;
        }
        self.targets.swap(one, other);
        for place in [one, other] {
            let id = self.targets[place].id.clone();
            self.index.insert(id, place);
        }
    }
}
