//! Notifications reach subscribers with the same key, and only those.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;
use tokio::sync::mpsc;
use wire::Key;
use wire::pubsub::{Notification, Publisher, Subscriber};

fn publisher(key: &str) -> Publisher {
    Publisher::bind("127.0.0.1:0".parse().unwrap(), Key::new(key)).unwrap()
}

/// Publishes until a notification arrives: those sent before the subscriber has connected are lost.
async fn first(
    publisher: &Publisher,
    notifications: &mut mpsc::Receiver<Notification>,
) -> Notification {
    loop {
        publisher
            .publish(Notification::Head { revision: 7 })
            .unwrap();
        tokio::select! {
            notification = notifications.recv() => return notification.unwrap(),
            () = tokio::time::sleep(Duration::from_millis(5)) => {}
        }
    }
}

#[tokio::test]
async fn many_publishers() {
    let publishers = [publisher("key"), publisher("key")];
    let (subscriber, mut notifications) = Subscriber::new(Key::new("key")).unwrap();
    for publisher in &publishers {
        subscriber.dial(publisher.address()).unwrap();
        assert_eq!(
            first(publisher, &mut notifications).await,
            Notification::Head { revision: 7 }
        );
    }
    let leaving = Notification::Leaving {
        vm: "target-1".into(),
        incarnation: 2,
    };
    publishers[0].publish(leaving.clone()).unwrap();
    while notifications.recv().await.unwrap() != leaving {}
}

/// Messages from a publisher without the key are dropped. Otherwise an attacker could announce that
/// targets leave, and entries would send them no more work.
#[tokio::test]
async fn wrong_key() {
    let (attacker, own) = (publisher("other"), publisher("key"));
    let (subscriber, mut notifications) = Subscriber::new(Key::new("key")).unwrap();
    let (control, mut received) = Subscriber::new(Key::new("other")).unwrap();
    for subscriber in [&subscriber, &control] {
        subscriber.dial(attacker.address()).unwrap();
    }
    first(&attacker, &mut received).await;
    subscriber.dial(own.address()).unwrap();
    let leaving = Notification::Leaving {
        vm: "target-1".into(),
        incarnation: 2,
    };
    attacker.publish(leaving).unwrap();
    assert_eq!(
        first(&own, &mut notifications).await,
        Notification::Head { revision: 7 }
    );
    while let Ok(notification) = notifications.try_recv() {
        assert_eq!(notification, Notification::Head { revision: 7 });
    }
}
