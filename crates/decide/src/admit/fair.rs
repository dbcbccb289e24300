//! A queue that gives each workspace its share and orders each share by slack.
//!
//! Start-time fair queueing: each workspace has a virtual time that advances by the cost of what it
//! has started divided by its share, and the one that is furthest behind goes next. Among those
//! nearly equally far behind, the most urgent call goes first.

use super::Call;
use crate::{Map, WorkspaceId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Cost divided by share, in nanoseconds of a runner's work.
type Virtual = u64;

/// Workspaces looked at for the most urgent call.
const CANDIDATES: usize = 4;
/// Workspaces remembered before idle ones are forgotten.
const REMEMBERED: usize = 16_384;

/// A call that waits; the most urgent one is the greatest.
#[derive(Clone, Debug)]
struct Waiting<T> {
    latest_start: Duration,
    number: u64,
    item: T,
}

impl<T> Waiting<T> {
    fn order(&self) -> Reverse<(Duration, u64)> {
        Reverse((self.latest_start, self.number))
    }
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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
        self.order().cmp(&other.order())
    }
}

#[derive(Clone, Debug)]
struct Flow<T> {
    workspace: WorkspaceId,
    share: u64,
    tag: Virtual,
    calls: BinaryHeap<Waiting<T>>,
}

/// Calls that wait, by workspace.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    index: Map<WorkspaceId, usize>,
    flows: Vec<Flow<T>>,
    active: BinaryHeap<Reverse<(Virtual, usize)>>,
    active_share: u64,
    clock: Virtual,
    lookahead: u64,
    number: u64,
    queued: usize,
}

impl<T> FairQueue<T> {
    /// An empty queue in which a workspace may run ahead of its share by `lookahead` calls for the
    /// sake of an urgent one.
    #[must_use]
    pub fn new(lookahead: u64) -> Self {
        Self {
            index: Map::default(),
            flows: Vec::new(),
            active: BinaryHeap::new(),
            active_share: 0,
            clock: 0,
            lookahead,
            number: 0,
            queued: 0,
        }
    }

    /// Calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Calls of the workspace that wait.
    #[must_use]
    pub fn queued(&self, workspace: &str) -> usize {
        let flow = self.index.get(workspace).map(|&place| &self.flows[place]);
        flow.map_or(0, |flow| flow.calls.len())
    }

    /// Sum of the shares of the workspaces that have calls waiting.
    #[must_use]
    pub fn active_share(&self) -> u64 {
        self.active_share
    }

    /// Puts a call into its workspace's queue.
    pub fn push(&mut self, call: Call<T>) {
        let place = self.flow(&call.workspace, call.share);
        let clock = self.clock;
        let flow = &mut self.flows[place];
        if flow.calls.is_empty() {
            flow.tag = flow.tag.max(clock);
            self.active.push(Reverse((flow.tag, place)));
            self.active_share += flow.share;
        }
        flow.calls.push(Waiting {
            latest_start: call.latest_start,
            number: self.number,
            item: call.item,
        });
        self.number += 1;
        self.queued += 1;
    }

    /// Takes out the call whose turn it is; to be charged if it starts. `cost` is that of a usual
    /// call.
    pub fn pop(&mut self, cost: Duration) -> Option<Call<T>> {
        let place = self.choose(cost)?;
        let flow = &mut self.flows[place];
        let waiting = flow.calls.pop()?;
        let share = flow.share;
        self.queued -= 1;
        let workspace = flow.workspace.clone();
        self.reinstate(place);
        Some(Call {
            workspace,
            share: u32::try_from(share).unwrap_or(u32::MAX),
            latest_start: waiting.latest_start,
            item: waiting.item,
        })
    }

    /// Charges a workspace for a call that starts.
    pub fn charge(&mut self, workspace: &WorkspaceId, share: u32, cost: Duration) {
        let place = self.flow(workspace, share);
        let flow = &self.flows[place];
        let start = flow.tag.max(self.clock);
        let end = start + virtual_cost(cost, flow.share);
        if self.queued == 0 {
            self.clock = start;
        }
        self.retag(place, end);
    }

    /// Corrects what a workspace was charged once the true cost is known.
    pub fn correct(&mut self, workspace: &str, charged: Duration, cost: Duration) {
        let Some(&place) = self.index.get(workspace) else {
            return;
        };
        let flow = &self.flows[place];
        let more = virtual_cost(cost, flow.share);
        let less = virtual_cost(charged, flow.share);
        self.retag(place, (flow.tag + more).saturating_sub(less));
    }

    /// Of the workspaces nearly furthest behind, takes the one with the most urgent call off the
    /// active ones.
    fn choose(&mut self, cost: Duration) -> Option<usize> {
        let first = self.settle()?;
        self.clock = self.clock.max(first);
        let mut seen = [0; CANDIDATES];
        let mut count = 0;
        while count < CANDIDATES {
            let Some(place) = self.take_near(first, cost) else {
                break;
            };
            if !seen[..count].contains(&place) {
                seen[count] = place;
                count += 1;
            }
        }
        let candidates = &seen[..count];
        let urgent = |&&place: &&usize| self.flows[place].calls.peek().map(Waiting::order);
        let chosen = *candidates.iter().max_by_key(urgent)?;
        for &place in candidates.iter().filter(|&&place| place != chosen) {
            self.active.push(Reverse((self.flows[place].tag, place)));
        }
        Some(chosen)
    }

    /// Takes off the first active workspace if it is no more than the lookahead ahead of `first`.
    fn take_near(&mut self, first: Virtual, cost: Duration) -> Option<usize> {
        let tag = self.settle()?;
        let Reverse((_, place)) = *self.active.peek()?;
        let ahead = virtual_cost(cost, self.flows[place].share) * self.lookahead;
        if tag > first + ahead {
            return None;
        }
        self.active.pop();
        Some(place)
    }

    /// Drops outdated entries until the first active one is right, and gives its tag.
    fn settle(&mut self) -> Option<Virtual> {
        loop {
            let &Reverse((tag, place)) = self.active.peek()?;
            let flow = &self.flows[place];
            if flow.tag == tag && !flow.calls.is_empty() {
                return Some(tag);
            }
            self.active.pop();
        }
    }

    /// Moves a workspace's tag; its old entry among the active ones is outdated from then on.
    fn retag(&mut self, place: usize, tag: Virtual) {
        let flow = &mut self.flows[place];
        let moved = flow.tag != tag;
        flow.tag = tag;
        if moved && !flow.calls.is_empty() {
            self.active.push(Reverse((tag, place)));
        }
    }

    fn reinstate(&mut self, place: usize) {
        let flow = &self.flows[place];
        if flow.calls.is_empty() {
            self.active_share -= flow.share;
        } else {
            self.active.push(Reverse((flow.tag, place)));
        }
    }

    fn flow(&mut self, workspace: &WorkspaceId, share: u32) -> usize {
        let share = u64::from(share.max(1));
        if let Some(&place) = self.index.get(workspace) {
            self.set_share(place, share);
            return place;
        }
        if self.flows.len() >= REMEMBERED {
            self.forget_idle();
        }
        let place = self.flows.len();
        self.flows.push(Flow {
            workspace: workspace.clone(),
            share,
            tag: self.clock,
            calls: BinaryHeap::new(),
        });
        self.index.insert(workspace.clone(), place);
        place
    }

    fn set_share(&mut self, place: usize, share: u64) {
        let flow = &mut self.flows[place];
        if !flow.calls.is_empty() {
            self.active_share = self.active_share - flow.share + share;
        }
        flow.share = share;
    }

    /// Drops workspaces that have nothing waiting; one that comes back starts level with the rest.
    /// Names come from callers, so that the map would grow without bound otherwise.
    fn forget_idle(&mut self) {
        self.flows.retain(|flow| !flow.calls.is_empty());
        let entries = self.flows.iter().enumerate();
        self.index = entries
            .clone()
            .map(|(place, flow)| (flow.workspace.clone(), place))
            .collect();
        self.active = entries
            .map(|(place, flow)| Reverse((flow.tag, place)))
            .collect();
    }
}

fn virtual_cost(cost: Duration, share: u64) -> Virtual {
    u64::try_from(cost.as_nanos()).unwrap_or(u64::MAX) / share
}
