//! Sending an order from a lease holder to an agent.
#![allow(clippy::unwrap_used, missing_docs)]

use entry::Core;
use entry::engine::{Order, Verb};
use entry::placement::order;
use entry::target::{Change, Observer, Target};
use entry::telemetry::Telemetry;
use setting::{Place, Placement, Platform, Policy};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::{Memory, Role, Vm};
use wire::{Frame, Key, Listener, Receiver};

const KEY: &str = "key of the tests";
const POLL_INTERVAL: Duration = Duration::from_millis(1);

struct NoObserver;

impl Observer for NoObserver {
    fn target_changed(&self, _: &Arc<Target>, _: Change) {}
}

fn settings(any: SocketAddr) -> setting::Entry {
    setting::Entry {
        id: "entry-1".into(),
        place: Place {
            region: "ee-north".into(),
            domain: "a".into(),
        },
        listen: any,
        metrics: any,
        platform: Platform {
            table: any,
            objects: any,
            vms: any,
            weights: None,
        },
        key: KEY.into(),
        operators: Vec::new(),
        tls: None,
        policy: Policy::Shipped,
        vms_poll_ms: 1_000,
        head_poll_ms: 1_000,
        journal_beat_ms: 5_000,
        subset: 64,
        news: None,
        placement: Placement {
            lease_ms: 500,
            ..Placement::default()
        },
    }
}

fn vm(address: SocketAddr) -> Vm {
    Vm {
        id: "e0".into(),
        incarnation: 1,
        role: Role::Target,
        service: "assistant".into(),
        region: "ee-north".into(),
        domain: "a".into(),
        address,
        news: None,
        leaving: false,
    }
}

async fn next(receiver: &mut Receiver) -> Frame {
    receiver.recv().await.unwrap().unwrap()
}

/// A holder is suspended after planning until its lease has ended; another entry may have taken
/// over. At an engine that executes every order, the old order would undo those of the new holder,
/// so it must not be sent after the process resumes.
#[tokio::test]
async fn paused_before_order() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let telemetry = Telemetry::new(&mut metric::Registry::default());
    let (memory, log) = (Memory::default(), Logger::root(Discard, o!()));
    let core = Arc::new(Core::new(
        settings(any),
        memory.clone(),
        entry::peers::Peers::new(None),
        telemetry,
        log.clone(),
    ));
    let listener = Listener::bind(any, Key::new(KEY)).await.unwrap();
    let vm = vm(listener.address().unwrap());
    let target = Target::start(vm, Key::new(KEY), log, Arc::new(NoObserver));
    let (sender, mut receiver) = listener.accept().await.unwrap();
    assert!(target.wait_until_linked().await);
    let holder = core.clone();
    let renewing = tokio::spawn(async move {
        loop {
            holder.lease.step(&memory).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    while core.lease.may_act().is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let load = Order {
        verb: Verb::Load,
        model: "new".into(),
    };
    order::submit(&core, target.clone(), load.clone());
    let body = load.body(1).into();
    assert_eq!(next(&mut receiver).await, Frame::Order { fence: 1, body });
    let (status, body) = (200, bytes::Bytes::new());
    sender
        .send(Frame::OrderDone { status, body })
        .await
        .unwrap();
    assert!(matches!(next(&mut receiver).await, Frame::Query { .. }));

    renewing.abort();
    while core.lease.may_act().is_some() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    order::submit(&core, target.clone(), load.clone());
    // Every order is followed by a query, whether it was sent or not; no other frame may come
    // before it.
    assert!(matches!(
        next(&mut receiver).await,
        Frame::Query { fence: None, .. }
    ));
    assert!(target.engine.open_order(load).is_some());
}
