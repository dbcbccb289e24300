//! Clients that keep connections to relays, also to those that are being stopped.

use super::balancer::Balancer;
use crate::torture::relays::cluster::PERMANENT_KEY;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use stub::caller::{
    ClientRequest, Connection, Kind, Reading, RequestRecord, ResponseOutcome, USUAL,
};
use stub::config::{GAP, LONG_TARGET};
use stub::{Micros, now};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{Instant, sleep};

/// Kinds of requests, with weights.
const KINDS: [(Kind, u32); 6] = [
    (Kind::Stream, 6),
    (Kind::Once, 3),
    (Kind::Staged, 3),
    (Kind::Chain, 2),
    (Kind::Safe, 3),
    (Kind::Unsafe, 2),
];
/// Clients by habit.
const HABITS: [(Habit, usize); 4] = [
    (Habit::Steady, 14),
    (Habit::Early, 8),
    (Habit::Slow, 4),
    (Habit::Crossing, 6),
];
/// Bounds of the time for which a client waits for a complete response, in milliseconds.
const TIMEOUT_MS: Range<u64> = 8_500..10_000;
const PLAIN_TIMEOUT_MS: Range<u64> = 2_000..3_000;
/// Least time that a client waits for the next event.
const MIN_EVENT_WAIT: Duration = Duration::from_secs(2);
/// Probability that a client sends the next request the moment a response ends, and the longest pause of
/// others.
const AT_ONCE_PROBABILITY: f64 = 0.7;
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Bounds of the time from the opening of a connection to its first request, and of the time from the request
/// to stop until then if the client waits for that, in milliseconds.
const EARLY_MS: Range<u64> = 500..4_000;
const EARLY_AFTER_STOP_MS: Range<u64> = 0..7_000;
/// Bounds of a slow client's pause before it reads the next event, in milliseconds: about as long as the time
/// between two events.
const SLOW_MS: Range<u64> = 50..65;
/// Receive buffer of a slow client.
const SLOW_BUFFER_BYTES: u32 = 4_096;
/// Time from the request to stop until a process closes idle connections, and by how much a request that is
/// sent at that moment may miss it, in microseconds.
const CLOSING_AFTER: Duration = Duration::from_millis(2_600);
const CROSSING_MICROS: Range<i64> = -25_000..25_000;
/// Time between two looks at whether a relay is being stopped.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause of a client that can connect to no relay.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// When a client sends requests, and how it reads responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Sends the next request the moment a response ends, or after a short pause.
    Steady,
    /// Opens a connection long before its first request.
    Early,
    /// Reads slowly.
    Slow,
    /// Sends a request just as the relay closes idle connections.
    Crossing,
}

/// Running clients.
#[derive(Debug)]
pub struct Clients(Vec<JoinHandle<Usage>>);

/// What clients have done.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Records of the requests that were sent.
    pub records: Vec<RequestRecord>,
    /// Connections that the relay had closed before the first request.
    pub closed_unused: u64,
}

impl Clients {
    /// Starts clients that begin requests for a time.
    #[must_use]
    pub fn spawn(balancer: &Arc<Balancer>, seed: u64, time: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let habits = HABITS.into_iter();
        let habits = habits.flat_map(|(habit, count)| std::iter::repeat_n(habit, count));
        let clients = habits.enumerate().map(|(number, habit)| Client {
            number,
            habit,
            turn: 0,
            rng: StdRng::seed_from_u64(rng.random()),
            balancer: balancer.clone(),
            end: Instant::now() + time,
            usage: Usage::default(),
        });
        Self(clients.map(|client| tokio::spawn(client.run())).collect())
    }

    /// Waits until all requests have ended.
    ///
    /// # Errors
    ///
    /// [`JoinError`] if a client panicked.
    pub async fn join(self) -> Result<Usage, JoinError> {
        let mut all = Usage::default();
        for client in self.0 {
            let usage = client.await?;
            all.records.extend(usage.records);
            all.closed_unused += usage.closed_unused;
        }
        Ok(all)
    }
}

struct Client {
    number: usize,
    habit: Habit,
    turn: u64,
    rng: StdRng,
    balancer: Arc<Balancer>,
    end: Instant,
    usage: Usage,
}

impl Client {
    async fn run(mut self) -> Usage {
        while Instant::now() < self.end {
            let entry = self.balancer.choose(&mut self.rng);
            let opened = match entry {
                Some(entry) => self.open(entry).await.map(|opened| (entry, opened)),
                None => None,
            };
            let Some((entry, connection)) = opened else {
                sleep(RECONNECT_PAUSE).await;
                continue;
            };
            self.use_connection(entry, connection).await;
        }
        self.usage
    }

    async fn open(&mut self, entry: SocketAddr) -> Option<Connection> {
        match self.habit {
            Habit::Slow => Connection::open_buffered(entry, SLOW_BUFFER_BYTES).await,
            _ => Connection::open(entry).await,
        }
    }

    /// Sends requests until the connection is closed.
    async fn use_connection(&mut self, entry: SocketAddr, mut connection: Connection) {
        if self.habit == Habit::Early {
            self.wait_unused(entry).await;
        }
        let (mut has_crossed, mut is_used) = (false, false);
        while Instant::now() < self.end {
            if self.habit == Habit::Crossing && !has_crossed {
                has_crossed = self.wait_for_closing(entry).await;
            }
            if !connection.is_open().await {
                self.usage.closed_unused += u64::from(!is_used);
                return;
            }
            is_used = true;
            let (request, reading) = self.draw();
            let record = connection.send_patiently(request, reading).await;
            let is_usable = matches!(record.outcome, ResponseOutcome::Whole { .. });
            let was_sent = record.outcome != ResponseOutcome::Unreachable;
            self.usage.records.extend(was_sent.then_some(record));
            if !is_usable {
                return;
            }
            if !self.rng.random_bool(AT_ONCE_PROBABILITY) {
                sleep(MAX_PAUSE.mul_f64(self.rng.random())).await;
            }
        }
    }

    /// Waits before the first request on a connection, at times until its relay is being stopped.
    async fn wait_unused(&mut self, entry: SocketAddr) {
        let wait = Duration::from_millis(self.rng.random_range(EARLY_MS));
        sleep(wait).await;
        if self.rng.random_bool(0.5) {
            let after = Duration::from_millis(self.rng.random_range(EARLY_AFTER_STOP_MS));
            if let Some(stopped) = self.wait_for_stop(entry).await {
                sleep_until_micros(stopped + after.as_micros() as Micros).await;
            }
        }
    }

    /// Waits until a relay that is being stopped closes idle connections. Returns at once, with false, at times
    /// for a request before that.
    async fn wait_for_closing(&mut self, entry: SocketAddr) -> bool {
        if self.rng.random_bool(0.5) {
            return false;
        }
        let Some(stopped) = self.wait_for_stop(entry).await else {
            return false;
        };
        let closing = stopped + CLOSING_AFTER.as_micros() as Micros;
        let miss = self.rng.random_range(CROSSING_MICROS);
        sleep_until_micros(closing.saturating_add_signed(miss)).await;
        true
    }

    /// Waits until a relay is asked to stop; none if that does not happen in the time of the soak.
    async fn wait_for_stop(&self, entry: SocketAddr) -> Option<Micros> {
        while Instant::now() < self.end {
            let instance = self.balancer.instance(entry)?;
            if instance.stopped.is_some() {
                return instance.stopped;
            }
            sleep(LOOK_INTERVAL).await;
        }
        None
    }

    fn draw(&mut self) -> (ClientRequest, Reading) {
        self.turn += 1;
        let kind = KINDS.choose_weighted(&mut self.rng, |(_, weight)| *weight);
        let kind = kind.map_or(Kind::Stream, |(kind, _)| *kind);
        let timeout_ms = if kind.streams() {
            TIMEOUT_MS
        } else {
            PLAIN_TIMEOUT_MS
        };
        let pause_ms = match self.habit {
            Habit::Slow => self.rng.random_range(SLOW_MS),
            _ => 0,
        };
        let request = ClientRequest {
            id: format!("{:?}{}x{}", self.habit, self.number, self.turn),
            kind,
            key: PERMANENT_KEY.to_owned(),
            timeout: Duration::from_millis(self.rng.random_range(timeout_ms)),
            body: USUAL,
            parts: &[],
        };
        let reading = Reading {
            max_wait: MIN_EVENT_WAIT.max(LONG_TARGET * 4).max(GAP * 8),
            pause: Duration::from_millis(pause_ms),
        };
        (request, reading)
    }
}

async fn sleep_until_micros(at: Micros) {
    sleep(Duration::from_micros(at.saturating_sub(now()))).await;
}
