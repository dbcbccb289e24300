//! The state of a service's targets.

use super::prefix::CacheIndex;
use super::target::{LoadReport, PoolMeans, ResponseStats, Target, TargetId};
use super::trust::Trust;
use super::{Block, Call, CallLoad};
use crate::Map;
use crate::retry::eject::EjectionPolicy;
use crate::smooth::Ewma;
use std::time::Duration;

/// Service time in seconds that is assumed before the first response.
const INITIAL_SERVICE_TIME_S: f64 = 0.05;
/// Weight of one response in the pool's means.
const POOL_WEIGHT: f64 = 0.05;
/// Fraction of the service time that a fully cached prefix is assumed to save before it is measured.
const INITIAL_SAVING: f64 = 0.5;
/// Upper bound of the fraction of the service time that a cached prefix is estimated to save.
const MAX_SAVING: f64 = 0.9;

/// Age up to which the loads reported by other processes are used. A prompt of thousands of tokens is
/// read in some tenths of a second.
const PEER_LOADS_MAX_AGE: Duration = Duration::from_millis(600);
/// Time after the last prompt for which a service counts as one that receives prompts.
const PROMPT_WINDOW: Duration = Duration::from_secs(2);

/// The targets of one service, as one process sees them.
///
/// Targets that accept new work come first in the vector, so that a router can sample from them
/// without checking the others.
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
    next_readmission: Option<Duration>,
    other_calls: f64,
    service_time: Ewma,
    cold_time: Ewma,
    warm_time: Ewma,
    cache_index: CacheIndex,
    trust: Trust,
    /// Times at which a prompt was last sent and at which other processes last reported their loads.
    last_prompt: Option<Duration>,
    peer_loads_updated: Option<Duration>,
    ejection: EjectionPolicy,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(EjectionPolicy::default())
    }
}

impl Pool {
    /// An empty pool with this ejection policy.
    #[must_use]
    pub fn new(ejection: EjectionPolicy) -> Self {
        Self {
            targets: Vec::new(),
            index: Map::default(),
            live: 0,
            capacity: 0,
            next_readmission: None,
            other_calls: 0.0,
            service_time: Ewma::new(POOL_WEIGHT),
            cold_time: Ewma::new(POOL_WEIGHT),
            warm_time: Ewma::new(POOL_WEIGHT),
            cache_index: CacheIndex::default(),
            trust: Trust::default(),
            last_prompt: None,
            peer_loads_updated: None,
            ejection,
        }
    }

    /// Adds a target. An existing target of the same name keeps its state.
    pub fn insert(&mut self, target: Target) {
        if self.index.contains_key(&target.id) {
            return;
        }
        let position = self.targets.len();
        self.index.insert(target.id.clone(), position);
        self.targets.push(target);
        self.activate(position);
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) -> Option<Target> {
        let position = *self.index.get(id)?;
        let position = self.deactivate(position);
        let last = self.targets.len() - 1;
        self.swap(position, last);
        let target = self.targets.pop()?;
        self.index.remove(id);
        self.other_calls -= target.other_calls;
        self.readmit_if_none_live();
        Some(target)
    }

    /// The target of that name.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.index.get(id).map(|&position| &self.targets[position])
    }

    /// All targets.
    #[must_use]
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// The targets that accept new work.
    #[must_use]
    pub fn live(&self) -> &[Target] {
        &self.targets[..self.live]
    }

    /// Maximum number of concurrent calls at all targets that accept new work.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Records that a call was sent to the target.
    pub fn sent(&mut self, id: &str, now: Duration) {
        self.readmit(now);
        let means = self.means();
        if let Some(target) = self.get_mut(id) {
            target.predicted = target.predict(means);
            target.in_flight += 1;
        }
    }

    /// Records that a sent call has a prompt that takes this many seconds to read.
    pub fn prompt_sent(&mut self, id: &str, now: Duration, seconds: f64) {
        self.last_prompt = Some(now);
        if let Some(target) = self.get_mut(id) {
            target.reading += seconds;
        }
    }

    /// Whether prompts have been sent to the targets recently.
    #[must_use]
    pub fn has_recent_prompts(&self, now: Duration) -> bool {
        let age = |then: Duration| now.saturating_sub(then);
        self.last_prompt
            .is_some_and(|then| age(then) < PROMPT_WINDOW)
    }

    /// Loads of this process's calls on the targets.
    #[must_use]
    pub fn call_loads(&self) -> Vec<(TargetId, CallLoad)> {
        let loads = self.targets.iter();
        let loads = loads.map(|target| (target.id.clone(), target.call_load()));
        loads
            .filter(|(_, call_load)| !call_load.is_empty())
            .collect()
    }

    /// Replaces the loads of other processes' calls on all targets.
    pub fn update_peer_loads(&mut self, now: Duration, loads: Vec<(TargetId, CallLoad)>) {
        self.peer_loads_updated = Some(now);
        for target in &mut self.targets {
            target.peer_load = CallLoad::default();
        }
        for (id, call_load) in loads {
            if let Some(target) = self.get_mut(&id) {
                target.peer_load = call_load;
            }
        }
    }

    /// Load of other processes' calls on a target, unless their report is too old.
    #[must_use]
    pub fn peer_load(&self, target: &Target, now: Duration) -> Option<CallLoad> {
        (self.peer_loads_age(now)? < PEER_LOADS_MAX_AGE).then_some(target.peer_load)
    }

    /// Age of the last report of other processes' loads.
    #[must_use]
    pub fn peer_loads_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.peer_loads_updated?))
    }

    /// Records that a prompt has been read, or will not be read any more.
    pub fn prompt_read(&mut self, id: &str, seconds: f64) {
        if let Some(target) = self.get_mut(id) {
            target.reading = (target.reading - seconds).max(0.0);
        }
    }

    /// Records that a sent call was refused, revoked or cancelled, which does not affect the target's
    /// health.
    pub fn returned(&mut self, id: &str) {
        if let Some(target) = self.get_mut(id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Records the complete response to a sent call.
    pub fn answered(&mut self, id: &str, now: Duration, stats: &ResponseStats<'_>) {
        self.returned(id);
        self.readmit(now);
        self.update_saving(stats);
        let Some(&position) = self.index.get(id) else {
            return;
        };
        let means = self.means();
        let believed = self.cache_index.overlap(id, stats.prefix, now);
        let target = &mut self.targets[position];
        self.trust.update(target.predicted, stats, means);
        let service_time = target.update_service_time(now, stats.elapsed, means);
        target.update_hit_rate(believed, stats.hits);
        target.health.succeeded();
        self.cache_index.stored(&target.id, stats.prefix, now);
        self.service_time.add(service_time);
    }

    /// Records that a sent call failed or its response was lost. Too many failures eject the target.
    pub fn failed(&mut self, id: &str, now: Duration) {
        self.returned(id);
        self.readmit(now);
        let Some(&position) = self.index.get(id) else {
            return;
        };
        let (live, all) = (self.live, self.targets.len());
        let target = &mut self.targets[position];
        if target.leaving || target.health.ejected() {
            return;
        }
        if let Some(until) = target.health.failed(&self.ejection, now, live, all) {
            self.next_readmission =
                Some(self.next_readmission.map_or(until, |time| time.min(until)));
            self.deactivate(position);
        }
    }

    /// Records a load report of the target's agent, sent with a response or by itself.
    pub fn reported(&mut self, id: &str, now: Duration, report: LoadReport) {
        let Some(&position) = self.index.get(id) else {
            return;
        };
        let target = &mut self.targets[position];
        let before = target.other_calls;
        let limit = target.limit;
        target.update_load(now, report);
        self.other_calls += target.other_calls - before;
        if position < self.live {
            self.capacity = self.capacity - limit + target.limit;
        }
    }

    /// Sets the concurrency limit of all targets whose agents have not reported one.
    pub fn assume_limit(&mut self, limit: u32) {
        let limit = limit.max(1);
        for (position, target) in self.targets.iter_mut().enumerate() {
            if target.reported.is_none() {
                let before = std::mem::replace(&mut target.limit, limit);
                if position < self.live {
                    self.capacity = self.capacity - before + limit;
                }
            }
        }
    }

    /// Marks the target as leaving: it gets no new work, and no older update reverts this.
    pub fn leave(&mut self, id: &str) {
        let Some(&position) = self.index.get(id) else {
            return;
        };
        self.targets[position].leaving = true;
        self.deactivate(position);
        self.readmit_if_none_live();
    }

    /// Records that the target's engine reported these blocks as stored.
    pub fn stored(&mut self, id: &str, now: Duration, blocks: &[Block]) {
        if let Some(&position) = self.index.get(id) {
            let id = self.targets[position].id.clone();
            self.cache_index.stored(&id, blocks, now);
        }
    }

    /// Records that the target's engine reported this block as evicted.
    pub fn evicted(&mut self, id: &str, block: Block) {
        self.cache_index.evicted(id, block);
    }

    /// Readmits the targets whose ejection has expired, on probation.
    ///
    /// Must be called before each selection: if an ejected target is the only one that a call can go
    /// to, no other call would end the ejection.
    pub fn readmit(&mut self, now: Duration) {
        if self.next_readmission.is_some_and(|time| time <= now) {
            self.readmit_due(now);
        }
    }

    /// Readmits all ejected targets if no other one is left: a failing target is better than none.
    fn readmit_if_none_live(&mut self) {
        if self.live == 0 && self.next_readmission.is_some() {
            self.readmit_due(Duration::MAX);
        }
    }

    fn readmit_due(&mut self, now: Duration) {
        for position in self.live..self.targets.len() {
            let target = &mut self.targets[position];
            if !target.leaving && target.health.is_expired(now) {
                target.health.readmit();
                self.activate(position);
            }
        }
        let out = &self.targets[self.live..];
        self.next_readmission = out.iter().filter_map(|target| target.health.until()).min();
    }

    /// Index of the prefixes that the targets probably have cached.
    #[must_use]
    pub fn cache_index(&self) -> &CacheIndex {
        &self.cache_index
    }

    /// Expected time in seconds until the target would answer the call, taking cached prefixes into
    /// account.
    #[must_use]
    pub fn expected_response_time(&self, target: &Target, call: &Call<'_>) -> f64 {
        let means = self.means();
        let expected_finish = target.expected_finish(call.now, means);
        expected_finish
            - target.service_time(call.now, means) * self.saving() * self.overlap(target, call)
    }

    /// Means over the pool.
    #[must_use]
    pub fn means(&self) -> PoolMeans {
        let count = self.targets.len().max(1) as f64;
        PoolMeans {
            service_time: self.service_time.get().unwrap_or(INITIAL_SERVICE_TIME_S),
            other_calls: (self.other_calls / count).max(0.0),
            trust: self.trust.get(),
        }
    }

    /// Fraction of the call's prefix that the target probably has cached, from 0 to 1.
    fn overlap(&self, target: &Target, call: &Call<'_>) -> f64 {
        if call.prefix.is_empty() {
            return 0.0;
        }
        let held = self.cache_index.overlap(&target.id, call.prefix, call.now);
        target.hit_rate() * held as f64 / call.prefix.len() as f64
    }

    fn saving(&self) -> f64 {
        match (self.warm_time.get(), self.cold_time.get()) {
            (Some(warm_time), Some(cold_time)) if cold_time > 0.0 => {
                (1.0 - warm_time / cold_time).clamp(0.0, MAX_SAVING)
            }
            _ => INITIAL_SAVING,
        }
    }

    fn update_saving(&mut self, stats: &ResponseStats<'_>) {
        if stats.prefix.is_empty() {
            return;
        }
        let mostly_cached = stats.hits as usize * 2 >= stats.prefix.len();
        let mean = if mostly_cached {
            &mut self.warm_time
        } else {
            &mut self.cold_time
        };
        mean.add(stats.busy.as_secs_f64());
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.index
            .get(id)
            .map(|&position| &mut self.targets[position])
    }

    fn activate(&mut self, position: usize) {
        if position >= self.live {
            self.capacity += self.targets[position].limit;
            self.swap(position, self.live);
            self.live += 1;
        }
    }

    /// Moves a target behind those that accept new work and returns its new position.
    fn deactivate(&mut self, position: usize) -> usize {
        if position >= self.live {
            return position;
        }
        self.capacity -= self.targets[position].limit;
        self.live -= 1;
        self.swap(position, self.live);
        self.live
    }

    fn swap(&mut self, one: usize, other: usize) {
        if one == other {
            return;
        }
        self.targets.swap(one, other);
        for position in [one, other] {
            let id = self.targets[position].id.clone();
            self.index.insert(id, position);
        }
    }
}
