//! News reaches subscribers with the same key, and only those.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;
use tokio::sync::mpsc;
use wire::Key;
use wire::pubsub::{Notification, Publisher, Subscriber};

fn publisher(key: &str) -> Publisher {
    Publisher::bind("127.0.0.1:0".parse().unwrap(), Key::new(key)).unwrap()
}

/// Publishes until news arrives: what is sent before the subscriber has connected is lost.
async fn first(publisher: &Publisher, news: &mut mpsc::Receiver<Notification>) -> Notification {
    loop {
        publisher
            .publish(Notification::Head { revision: 7 })
            .unwrap();
        tokio::select! {
            news = news.recv() => return news.unwrap(),
            () = tokio::time::sleep(Duration::from_millis(5)) => {}
        }
    }
}

#[tokio::test]
async fn many_publishers() {
    let publishers = [publisher("key"), publisher("key")];
    let (subscriber, mut news) = Subscriber::new(Key::new("key")).unwrap();
    for publisher in &publishers {
        subscriber.dial(publisher.address()).unwrap();
        assert_eq!(
            first(publisher, &mut news).await,
            Notification::Head { revision: 7 }
        );
    }
    let leaving = Notification::Leaving {
        vm: "target-1".into(),
        incarnation: 2,
    };
    publishers[0].publish(leaving.clone()).unwrap();
    while news.recv().await.unwrap() != leaving {}
}

/// A stranger publishes that a target leaves, without the key. Entries that believed it would send
/// no more work there, so that every target could be shut out from outside.
#[tokio::test]
async fn wrong_key() {
    let (stranger, own) = (publisher("other"), publisher("key"));
    let (subscriber, mut news) = Subscriber::new(Key::new("key")).unwrap();
    let (witness, mut seen) = Subscriber::new(Key::new("other")).unwrap();
    for subscriber in [&subscriber, &witness] {
        subscriber.dial(stranger.address()).unwrap();
    }
    first(&stranger, &mut seen).await;
    subscriber.dial(own.address()).unwrap();
    let leaving = Notification::Leaving {
        vm: "target-1".into(),
        incarnation: 2,
    };
    stranger.publish(leaving).unwrap();
    assert_eq!(
        first(&own, &mut news).await,
        Notification::Head { revision: 7 }
    );
    while let Ok(news) = news.try_recv() {
        assert_eq!(news, Notification::Head { revision: 7 });
    }
}
