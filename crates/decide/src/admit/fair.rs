//! A queue that shares capacity fairly among workspaces and orders each workspace's calls by slack.
//!
//! Start-time fair queueing: each workspace has a virtual time that advances by the cost of the
//! calls it has started divided by its share, and the workspace with the lowest virtual time goes
//! next. Among workspaces with nearly the same virtual time, the most urgent call goes first.

use super::Call;
use crate::{Map, WorkspaceId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Virtual time: cost divided by share, in nanoseconds of a runner's work.
type VirtualTime = u64;

/// Maximum number of workspaces considered for the most urgent call.
const MAX_CANDIDATES: usize = 4;
/// Number of workspaces at which idle ones are dropped.
const MAX_FLOWS: usize = 16_384;

/// A waiting call. The most urgent call compares as the greatest.
#[derive(Clone, Debug)]
struct Waiting<T> {
    latest_start: Duration,
    sequence: u64,
    item: T,
}

impl<T> Waiting<T> {
    fn priority(&self) -> Reverse<(Duration, u64)> {
        Reverse((self.latest_start, self.sequence))
    }
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Waiting<T> {}

impl<T> PartialOrd for Waiting<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Waiting<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.priority().cmp(&other.priority())
    }
}

#[derive(Clone, Debug)]
struct Flow<T> {
    workspace: WorkspaceId,
    share: u64,
    virtual_time: VirtualTime,
    calls: BinaryHeap<Waiting<T>>,
}

/// Waiting calls by workspace.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    index: Map<WorkspaceId, usize>,
    flows: Vec<Flow<T>>,
    active: BinaryHeap<Reverse<(VirtualTime, usize)>>,
    active_share: u64,
    system_virtual_time: VirtualTime,
    lookahead: u64,
    sequence: u64,
    queued: usize,
}

impl<T> FairQueue<T> {
    /// An empty queue in which a workspace may exceed its share by `lookahead` calls if one of its
    /// calls is urgent.
    #[must_use]
    pub fn new(lookahead: u64) -> Self {
        Self {
            index: Map::default(),
            flows: Vec::new(),
            active: BinaryHeap::new(),
            active_share: 0,
            system_virtual_time: 0,
            lookahead,
            sequence: 0,
            queued: 0,
        }
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Whether no call is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Number of waiting calls of the workspace.
    #[must_use]
    pub fn queued(&self, workspace: &str) -> usize {
        let flow = self
            .index
            .get(workspace)
            .map(|&position| &self.flows[position]);
        flow.map_or(0, |flow| flow.calls.len())
    }

    /// Sum of the shares of the workspaces that have waiting calls.
    #[must_use]
    pub fn active_share(&self) -> u64 {
        self.active_share
    }

    /// Adds a call to its workspace's queue.
    pub fn push(&mut self, call: Call<T>) {
        let position = self.flow(&call.workspace, call.share);
        let system_virtual_time = self.system_virtual_time;
        let flow = &mut self.flows[position];
        if flow.calls.is_empty() {
            flow.virtual_time = flow.virtual_time.max(system_virtual_time);
            self.active.push(Reverse((flow.virtual_time, position)));
            self.active_share += flow.share;
        }
        flow.calls.push(Waiting {
            latest_start: call.latest_start,
            sequence: self.sequence,
            item: call.item,
        });
        self.sequence += 1;
        self.queued += 1;
    }

    /// Removes and returns the next call, which must be charged if it starts. `cost` is the cost of an
    /// average call.
    pub fn pop(&mut self, cost: Duration) -> Option<Call<T>> {
        let position = self.select(cost)?;
        let flow = &mut self.flows[position];
        let waiting = flow.calls.pop()?;
        let share = flow.share;
        self.queued -= 1;
        let workspace = flow.workspace.clone();
        self.reactivate(position);
        Some(Call {
            workspace,
            share: u32::try_from(share).unwrap_or(u32::MAX),
            latest_start: waiting.latest_start,
            item: waiting.item,
        })
    }

    /// Charges a workspace for a call that starts.
    pub fn charge(&mut self, workspace: &WorkspaceId, share: u32, cost: Duration) {
        let position = self.flow(workspace, share);
        let flow = &self.flows[position];
        let start = flow.virtual_time.max(self.system_virtual_time);
        let end = start + virtual_cost(cost, flow.share);
        if self.queued == 0 {
            self.system_virtual_time = start;
        }
        self.set_virtual_time(position, end);
    }

    /// Corrects a workspace's charge once the actual cost is known.
    pub fn correct(&mut self, workspace: &str, charged: Duration, cost: Duration) {
        let Some(&position) = self.index.get(workspace) else {
            return;
        };
        let flow = &self.flows[position];
        let more = virtual_cost(cost, flow.share);
        let less = virtual_cost(charged, flow.share);
        self.set_virtual_time(position, (flow.virtual_time + more).saturating_sub(less));
    }

    /// Removes, from the active workspaces with nearly the lowest virtual time, the one with the most
    /// urgent call.
    fn select(&mut self, cost: Duration) -> Option<usize> {
        let earliest = self.drop_stale()?;
        self.system_virtual_time = self.system_virtual_time.max(earliest);
        let mut candidates = [0; MAX_CANDIDATES];
        let mut count = 0;
        while count < MAX_CANDIDATES {
            let Some(position) = self.take_within_lookahead(earliest, cost) else {
                break;
            };
            if !candidates[..count].contains(&position) {
                candidates[count] = position;
                count += 1;
            }
        }
        let candidates = &candidates[..count];
        let urgency =
            |&&position: &&usize| self.flows[position].calls.peek().map(Waiting::priority);
        let selected = *candidates.iter().max_by_key(urgency)?;
        for &position in candidates.iter().filter(|&&position| position != selected) {
            self.active
                .push(Reverse((self.flows[position].virtual_time, position)));
        }
        Some(selected)
    }

    /// Removes the first active workspace if its virtual time is at most the lookahead after `earliest`.
    fn take_within_lookahead(&mut self, earliest: VirtualTime, cost: Duration) -> Option<usize> {
        let virtual_time = self.drop_stale()?;
        let Reverse((_, position)) = *self.active.peek()?;
        let ahead = virtual_cost(cost, self.flows[position].share) * self.lookahead;
        if virtual_time > earliest + ahead {
            return None;
        }
        self.active.pop();
        Some(position)
    }

    /// Drops stale entries from the front of the heap and returns the first valid virtual time.
    fn drop_stale(&mut self) -> Option<VirtualTime> {
        loop {
            let &Reverse((virtual_time, position)) = self.active.peek()?;
            let flow = &self.flows[position];
            if flow.virtual_time == virtual_time && !flow.calls.is_empty() {
                return Some(virtual_time);
            }
            self.active.pop();
        }
    }

    /// Sets a workspace's virtual time, which makes its existing heap entry stale.
    fn set_virtual_time(&mut self, position: usize, virtual_time: VirtualTime) {
        let flow = &mut self.flows[position];
        let changed = flow.virtual_time != virtual_time;
        flow.virtual_time = virtual_time;
        if changed && !flow.calls.is_empty() {
            self.active.push(Reverse((virtual_time, position)));
        }
    }

    fn reactivate(&mut self, position: usize) {
        let flow = &self.flows[position];
        if flow.calls.is_empty() {
            self.active_share -= flow.share;
        } else {
            self.active.push(Reverse((flow.virtual_time, position)));
        }
    }

    fn flow(&mut self, workspace: &WorkspaceId, share: u32) -> usize {
        let share = u64::from(share.max(1));
        if let Some(&position) = self.index.get(workspace) {
            self.set_share(position, share);
            return position;
        }
        if self.flows.len() >= MAX_FLOWS {
            self.forget_idle();
        }
        let position = self.flows.len();
        self.flows.push(Flow {
            workspace: workspace.clone(),
            share,
            virtual_time: self.system_virtual_time,
            calls: BinaryHeap::new(),
        });
        self.index.insert(workspace.clone(), position);
        position
    }

    fn set_share(&mut self, position: usize, share: u64) {
        let flow = &mut self.flows[position];
        if !flow.calls.is_empty() {
            self.active_share = self.active_share - flow.share + share;
        }
        flow.share = share;
    }

    /// Drops workspaces without waiting calls; one that returns starts at the current virtual time.
    /// Names come from callers, so the map would grow without bound otherwise.
    fn forget_idle(&mut self) {
        self.flows.retain(|flow| !flow.calls.is_empty());
        let entries = self.flows.iter().enumerate();
        self.index = entries
            .clone()
            .map(|(position, flow)| (flow.workspace.clone(), position))
            .collect();
        self.active = entries
            .map(|(position, flow)| Reverse((flow.virtual_time, position)))
            .collect();
    }
}

fn virtual_cost(cost: Duration, share: u64) -> VirtualTime {
    u64::try_from(cost.as_nanos()).unwrap_or(u64::MAX) / share
}
