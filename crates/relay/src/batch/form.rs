//! The next call of a cell: which pieces, and which runner makes them.

use super::launch::Launch;
use super::place::{Place, Room, free_places};
use super::state::State;
use crate::configuration::{BatchSettings, ServiceId};
use crate::core::Relay;
use crate::downstream::Downstream;
use decide::batch::{BatchQueue, FreeRunner, Portion, RequiredGroup, RunnerFreeTime};
use std::time::Duration;
use tokio::time::Instant;

/// The pieces of the next call.
#[derive(Debug)]
pub(super) struct Choosing {
    /// Their runner's place.
    pub(super) index: usize,
    /// Room for their results there.
    pub(super) room: Room,
    pub(super) portions: Vec<Portion>,
    pub(super) isolated: bool,
}

impl State {
    /// The next call that can start now.
    pub(super) fn launch<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batches: BatchSettings,
    ) -> Option<Launch> {
        let now = Instant::now();
        let at = relay.at(now);
        self.set_apart(relay, at);
        self.drop_useless(at, self.piece_time(&batches));
        let batch_queue = self.batch_queue.as_ref()?;
        let queue = self.piece_time(&batches) * batch_queue.waiting_pieces();
        let places = free_places(&self.places, batches, queue, now);
        let choice = match self.choose_suspects(relay, service, batches, &places) {
            Some(choice) => choice,
            None => self.choose(relay.started(), batches, &places)?,
        };
        Some(self.prepare(choice, batches, now))
    }

    /// The pieces of the next call, and the runner that makes them.
    fn choose(
        &mut self,
        started: Instant,
        batches: BatchSettings,
        places: &[usize],
    ) -> Option<Choosing> {
        let now = Instant::now();
        let at = now.saturating_duration_since(started);
        if places.is_empty() || self.batch_queue.as_ref()?.waiting_pieces() == 0 {
            return None;
        }
        let free = |place: &Place| RunnerFreeTime {
            domain: place.runner.domain.clone(),
            at: place
                .free_at(batches, now)
                .saturating_duration_since(started),
        };
        let free_times: Vec<RunnerFreeTime> = self.places.iter().map(free).collect();
        let batch_queue = self.batch_queue.as_mut()?;
        let tries = [RequiredGroup::Near, RequiredGroup::Any].into_iter();
        let mut tries = tries.flat_map(|need| places.iter().map(move |&index| (index, need)));
        tries.find_map(|(index, need)| {
            let place = &mut self.places[index];
            let room = place.room(batches, now);
            let offer = FreeRunner {
                room: room.free,
                domain: &place.runner.domain,
                need,
                free_times: &free_times,
            };
            let portions = batch_queue.take(at, &offer);
            (!portions.is_empty()).then_some(Choosing {
                index,
                room,
                portions,
                isolated: false,
            })
        })
    }

    /// Binds chosen pieces to their runner.
    fn prepare(&mut self, choice: Choosing, batches: BatchSettings, now: Instant) -> Launch {
        let Choosing {
            index,
            room,
            portions,
            isolated,
        } = choice;
        let place = &mut self.places[index];
        let waiting = &self.waiting;
        let bytes = |portion: &Portion| {
            let result = waiting
                .get(&portion.group_id)
                .map_or(0, |waiting| waiting.order.result);
            result * u64::from(portion.pieces)
        };
        let needed: u64 = portions.iter().map(bytes).sum();
        let tight = needed > room.unreleased || place.full;
        let released = place.give_back(batches, needed);
        let runner = place.runner.clone();
        let slowness = place.slowness(now);
        let launch = Launch {
            runner,
            slowness,
            released,
            tight,
            batches,
            portions: Vec::new(),
            items: Vec::new(),
            contents: Vec::new(),
            isolated,
            expected: Duration::ZERO,
            until: now,
            needed,
            room: room.free,
        };
        let launch = self.assemble(launch, &portions, now);
        self.places[index].calls.push(launch.until);
        launch
    }

    /// Binds the pieces of a call to its runner.
    fn assemble(&mut self, mut launch: Launch, portions: &[Portion], now: Instant) -> Launch {
        for portion in portions {
            let Some(waiting) = self.waiting.get_mut(&portion.group_id) else {
                continue;
            };
            let at = waiting.todo.len().saturating_sub(portion.pieces as usize);
            let mut pieces = waiting.todo.split_off(at);
            pieces.reverse();
            let items = pieces.iter().map(|&piece| waiting.item(piece, now));
            launch.items.extend(items);
            launch.portions.push((portion.group_id, pieces));
            if !launch.contents.contains(&waiting.order.content) {
                launch.contents.push(waiting.order.content);
            }
        }
        let count = u32::try_from(launch.items.len()).unwrap_or(u32::MAX);
        let shape = launch.batches.shape;
        launch.expected = shape.time(count).mul_f64(launch.slowness);
        launch.until = now + launch.expected;
        launch
    }
}
