//! Another process that asks a relay's gate for start credits, or that owns a gate.

use super::poison::{Reply, attempt_on, serve};
use super::stage::cell;
use super::{Fake, link, member_at};
use relay::Relay;
use relay::flow::{Demand, Outcome, Verdict};
use relay::peer::Frame;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener, Receiver, Sender};

/// Both ends of a link.
type Link = (Sender<Frame>, Receiver<Frame>);

/// Pieces of a request that only starts if nothing else is started.
pub(crate) const ALONE: u32 = 1_000;
/// Pieces that leave no space in the window of a gate of two runners, but for which it is worth waiting.
pub(crate) const WINDOW: u32 = 24;
/// Time that a request takes to reach the gate.
pub(crate) const ASK_TIME: Duration = Duration::from_millis(20);
/// Time within which a returned credit is available, less than any credit takes to expire.
pub(crate) const RETURN_TIME: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
/// Weight of a member that owns any cell.
const OWNER_WEIGHT: f64 = 1e12;

/// The demand of a request that nearly always can be on time.
pub(crate) fn demand(pieces: u32) -> Demand {
    Demand {
        rank: 0,
        pieces: vec![("stage".into(), pieces)],
        chain_time: Duration::from_millis(560),
        due: HOUR,
        expires: HOUR,
    }
}

/// A link to a relay over which credits are asked for.
pub(crate) struct Asker {
    sender: Sender<Frame>,
    receiver: Receiver<Frame>,
    tickets: u64,
}

impl Asker {
    pub(crate) async fn open(relay: &Arc<Relay<Fake>>) -> Self {
        let (sender, receiver) = link::open(relay).await;
        Self {
            sender,
            receiver,
            tickets: 0,
        }
    }

    /// Asks for a credit; returns its ticket and the first verdict.
    pub(crate) async fn ask(&mut self, demand: Demand) -> (u64, Verdict) {
        self.tickets += 1;
        let ticket = self.tickets;
        let frame = Frame::AskCredit {
            ticket,
            cell: cell(),
            demand,
        };
        self.sender.send(frame).await.expect("linked");
        (ticket, self.verdict(ticket).await)
    }

    async fn verdict(&mut self, of: u64) -> Verdict {
        loop {
            match self.receiver.recv().await.expect("linked") {
                Some(Frame::Credit { ticket, verdict }) if ticket == of => return verdict,
                Some(_) => {}
                None => panic!("the link is lost"),
            }
        }
    }

    /// The decision on a credit that had to wait.
    pub(crate) async fn final_verdict(&mut self, ticket: u64) -> Verdict {
        loop {
            match self.verdict(ticket).await {
                Verdict::Wait { .. } => {}
                verdict => return verdict,
            }
        }
    }

    /// Whether a report of the load arrives within this time.
    pub(crate) async fn is_reported_to(&mut self, time: Duration) -> bool {
        let report = async {
            loop {
                let frame = self.receiver.recv().await.expect("linked");
                if let Frame::Load { .. } = frame.expect("a frame") {
                    return;
                }
            }
        };
        timeout(time, report).await.is_ok()
    }

    /// Holds a credit for so many pieces.
    pub(crate) async fn hold(&mut self, pieces: u32) -> u64 {
        let (ticket, verdict) = self.ask(demand(pieces)).await;
        assert_eq!(verdict, Verdict::Start);
        ticket
    }

    pub(crate) async fn give_back(&self, ticket: u64) {
        let outcome = Outcome::Ended;
        let frame = Frame::ReturnCredit { ticket, outcome };
        self.sender.send(frame).await.expect("linked");
    }

    /// Waits until the gate has no started and no waiting requests.
    async fn alone(&mut self) {
        let (ticket, mut verdict) = self.ask(demand(ALONE)).await;
        while verdict != Verdict::Start {
            verdict = self.verdict(ticket).await;
        }
        self.give_back(ticket).await;
    }
}

/// Asserts that all credits of a relay's gate come back in time.
pub(crate) async fn assert_returned(relay: &Arc<Relay<Fake>>) {
    let mut asker = Asker::open(relay).await;
    let returned = timeout(RETURN_TIME, asker.alone()).await;
    assert!(returned.is_ok(), "credits are held");
}

/// Waits until all credits of a relay's gate are back.
pub(crate) async fn returned(relay: &Arc<Relay<Fake>>) {
    Asker::open(relay).await.alone().await;
}

/// Serves a request with two stages of one piece each, in a separate task.
pub(crate) fn spawn(relay: &Arc<Relay<Fake>>, id: &str) -> JoinHandle<Reply> {
    let (relay, request) = (relay.clone(), attempt_on("chained", id, id));
    tokio::spawn(async move { serve(&relay, request).await })
}

/// Serves such a request until it waits at the gate.
pub(crate) async fn spawn_waiting(relay: &Arc<Relay<Fake>>, id: &str) -> JoinHandle<Reply> {
    let serving = spawn(relay, id);
    sleep(ASK_TIME).await;
    assert!(!serving.is_finished(), "{id} does not wait");
    assert_eq!(calls_of(&relay.downstream, id), 0);
    serving
}

/// Number of calls that contained pieces of a request.
pub(crate) fn calls_of(fake: &Fake, id: &str) -> usize {
    let calls = fake.stage_calls().into_iter();
    calls
        .filter(|call| call.items.iter().any(|item| &*item.id == id))
        .count()
}

/// Waits until a runner has a piece of a request.
pub(crate) async fn has_piece(fake: &Fake, id: &str) {
    while calls_of(fake, id) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// A member that owns all cells, and whose links the test accepts.
pub(crate) async fn listen_as_owner(relay: &Arc<Relay<Fake>>, id: &str) -> Listener<Frame> {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any, Key::new("key")).await.expect("bound");
    put_owner(relay, id, listener.address().expect("bound"));
    listener
}

/// Adds a member that owns all cells.
pub(crate) fn put_owner(relay: &Arc<Relay<Fake>>, id: &str, address: SocketAddr) {
    let mut member = member_at(id, address);
    member.weight = OWNER_WEIGHT;
    relay.peers.members(|members| members.put(member, 1));
}

/// Accepts links and never responds.
pub(crate) fn freeze(listener: Listener<Frame>) {
    tokio::spawn(async move {
        let mut links: Vec<Link> = Vec::new();
        loop {
            links.push(listener.accept().await.expect("a link"));
        }
    });
}

/// Accepts a link and responds to the request for a credit on it.
pub(crate) async fn respond(listener: &Listener<Frame>, verdict: Verdict) -> Link {
    let (sender, mut receiver) = listener.accept().await.expect("a link");
    loop {
        let frame = receiver.recv().await.expect("linked").expect("a frame");
        if let Frame::AskCredit { ticket, .. } = frame {
            let credit = Frame::Credit { ticket, verdict };
            sender.send(credit).await.expect("linked");
            return (sender, receiver);
        }
    }
}

/// Waits until an order arrives on a link.
pub(crate) async fn has_order(receiver: &mut Receiver<Frame>) {
    loop {
        let frame = receiver.recv().await.expect("linked");
        if let Frame::Order { .. } = frame.expect("a frame") {
            return;
        }
    }
}
