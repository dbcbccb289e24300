//! Frames arrive unchanged and in order, up to the exact size limit.
#![allow(clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use proptest::prelude::*;
use protocol::CallId;
use std::time::Duration;
use wire::link::MAX_FRAME_BYTES;
use wire::{Error, Frame, Key, Listener, Load, Models, Receiver, Refusal, Sender, Work};

fn key() -> Key {
    Key::new(*b"key of the tests")
}

async fn link() -> ((Sender, Receiver), (Sender, Receiver)) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), key()).await;
    let listener = listener.unwrap();
    let address = listener.address().unwrap();
    let key = key();
    let (entry, agent) = tokio::join!(wire::connect(address, &key), listener.accept());
    (entry.unwrap(), agent.unwrap())
}

fn call() -> impl Strategy<Value = CallId> {
    any::<(u128, u16, u16)>().prop_map(|(request, stage, attempt)| CallId {
        request,
        stage,
        attempt,
    })
}

fn bytes() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from)
}

fn time() -> impl Strategy<Value = Duration> {
    any::<(u64, u32)>().prop_map(|(secs, nanos)| Duration::new(secs, nanos % 1_000_000_000))
}

fn load() -> impl Strategy<Value = Load> {
    any::<[u32; 5]>().prop_map(
        |[queued, running, limit, prefix_hits, prefix_blocks]| Load {
            queued,
            running,
            limit,
            prefix_hits,
            prefix_blocks,
        },
    )
}

fn work() -> impl Strategy<Value = Box<Work>> {
    let names = any::<([String; 4], Option<String>)>();
    let flags = any::<(bool, bool, u8, u32, u64, Vec<u64>)>();
    (names, flags, time(), bytes()).prop_map(|(names, flags, remaining, input)| {
        let ([workspace, class, service, stage], model) = names;
        let (repeatable, stream, priority, resume, revision, prefix) = flags;
        Box::new(Work {
            workspace,
            class,
            service,
            stage,
            repeatable,
            stream,
            priority,
            remaining,
            prefix,
            resume,
            revision,
            input,
            model,
        })
    })
}

fn models() -> impl Strategy<Value = Models> {
    any::<(Vec<String>, Option<String>, Vec<String>)>().prop_map(|(warm, loading, wanted)| Models {
        warm,
        loading,
        wanted,
    })
}

fn frame() -> impl Strategy<Value = Frame> {
    let refusals = prop::sample::select(vec![
        Refusal::Full,
        Refusal::Leaving,
        Refusal::Revoked,
        Refusal::Denied,
        Refusal::Unreachable,
        Refusal::Misdirected,
        Refusal::Forgotten,
    ]);
    prop_oneof![
        (call(), work()).prop_map(|(call, work)| Frame::Offer { call, work }),
        call().prop_map(|call| Frame::Grant { call }),
        call().prop_map(|call| Frame::Deny { call }),
        call().prop_map(|call| Frame::Revoke { call }),
        call().prop_map(|call| Frame::Cancel { call }),
        (call(), any::<u32>()).prop_map(|(call, from)| Frame::Recall { call, from }),
        call().prop_map(|call| Frame::Ask { call }),
        (any::<u64>(), any::<Option<u64>>(), any::<Vec<String>>()).prop_map(
            |(number, fence, wanted)| Frame::Query {
                number,
                fence,
                wanted
            }
        ),
        (any::<u64>(), prop::option::of(models()))
            .prop_map(|(number, models)| Frame::Models { number, models }),
        (call(), refusals, time(), load()).prop_map(|(call, reason, retry_after, load)| {
            Frame::Refuse {
                call,
                reason,
                retry_after,
                load,
            }
        }),
        call().prop_map(|call| Frame::Start { call }),
        (call(), any::<u32>(), bytes()).prop_map(|(call, sequence, data)| Frame::Chunk {
            call,
            sequence,
            data
        }),
        (call(), any::<(u32, u64)>(), time(), load()).prop_map(|(call, sums, busy, load)| {
            let (chunks, length) = sums;
            Frame::Done {
                call,
                chunks,
                length,
                busy,
                load,
            }
        }),
        (call(), any::<u16>(), bytes(), load()).prop_map(|(call, status, body, load)| {
            Frame::Fail {
                call,
                status,
                body,
                load,
            }
        }),
        (call(), any::<String>(), load()).prop_map(|(call, reason, load)| Frame::Break {
            call,
            reason,
            load
        }),
        any::<u64>().prop_map(|incarnation| Frame::Leave { incarnation }),
        (any::<u64>(), bytes()).prop_map(|(fence, body)| Frame::Order { fence, body }),
        (any::<u16>(), bytes()).prop_map(|(status, body)| Frame::OrderDone { status, body }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 64, ..Default::default() })]

    #[test]
    fn every_frame_in_order(frames in prop::collection::vec(frame(), 1..20)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let received = runtime.block_on(async {
            let ((sender, _guard), (_, mut receiver)) = link().await;
            for frame in &frames {
                sender.send(frame.clone()).await.unwrap();
            }
            drop(sender);
            let mut received = Vec::new();
            while let Some(frame) = receiver.recv().await.unwrap() {
                received.push(frame);
            }
            received
        });
        prop_assert_eq!(received, frames);
    }
}

/// A frame that is one byte too long would close the link and fail all other calls on it. The
/// sender refuses only that frame, and the link still carries one of the maximum length.
#[tokio::test]
async fn exact_size_limit() {
    let ((sender, _guard), (_, mut receiver)) = link().await;
    let order = |length| Frame::OrderDone {
        status: 200,
        body: Bytes::from(vec![7; length]),
    };
    let head = postcard::to_stdvec(&order(MAX_FRAME_BYTES / 2))
        .unwrap()
        .len()
        - MAX_FRAME_BYTES / 2;
    let longest = order(MAX_FRAME_BYTES - head);
    let refused = sender
        .send(order(MAX_FRAME_BYTES - head + 1))
        .await
        .unwrap_err();
    assert!(matches!(refused, Error::Oversize { length } if length == MAX_FRAME_BYTES + 1));
    sender.send(longest.clone()).await.unwrap();
    assert_eq!(receiver.recv().await.unwrap().unwrap(), longest);
}

#[tokio::test]
async fn flush_before_close() {
    let ((sender, _guard), (_, mut receiver)) = link().await;
    sender.send(Frame::Leave { incarnation: 3 }).await.unwrap();
    sender.flush().await.unwrap();
    drop(sender);
    let frame = receiver.recv().await.unwrap();
    assert_eq!(frame, Some(Frame::Leave { incarnation: 3 }));
    assert_eq!(receiver.recv().await.unwrap(), None);
}
