#![allow(clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use standin::fault::{Fraction, Loss};
use standin::{Faults, Kind, Options, Server};
use std::net::SocketAddr;
use std::time::Duration;
use store::{Check, Client, Error, Objects, Put, Table, Transaction, Vms};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Time between two reads of a test that waits for a write; the table service refuses more than 2,000 a second.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

async fn start(kind: Kind, options: Options) -> Server {
    let listen = "127.0.0.1:0".parse().unwrap();
    standin::start(kind, listen, options).await.unwrap()
}

async fn table() -> (Server, Client) {
    let server = start(Kind::Table, Options::default()).await;
    let client = client_of(server.address());
    (server, client)
}

fn client_of(address: SocketAddr) -> Client {
    Client::new(address, address, address)
}

fn insert(key: &str) -> Transaction {
    let (table, key) = ("t".to_owned(), key.to_owned());
    Transaction {
        checks: vec![Check {
            table: table.clone(),
            key: key.clone(),
            revision: None,
        }],
        puts: vec![Put {
            table,
            key,
            value: Some(1.into()),
        }],
    }
}

/// Configures the faults over a plain socket and waits for the answer.
async fn set_faults(server: &Server, faults: Faults) {
    let body = serde_json::to_string(&faults).unwrap();
    let mut socket = tokio::net::TcpStream::connect(server.address())
        .await
        .unwrap();
    let head = "POST /standin/faults HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
    let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
}

const ALL: Fraction = Fraction::All(true);

#[tokio::test]
async fn rows_and_conflicts() {
    let (_server, client) = table().await;
    for key in ["a/1", "b c", "c&d=%", "ü"] {
        client.transact(&insert(key)).await.unwrap();
        assert_eq!(client.read("t", key).await.unwrap().unwrap().key, key);
    }
    let keys = async |after, limit| -> Vec<_> {
        let rows = client.scan("t", after, limit).await.unwrap();
        rows.into_iter().map(|row| row.key).collect()
    };
    assert_eq!(keys("a/1", 2).await, ["b c", "c&d=%"]);
    assert_eq!(keys("c&d=%", 9).await, ["ü"]);
    assert_eq!(client.read("t", "none").await, Ok(None));
    let conflict = client.transact(&insert("b c")).await;
    assert!(matches!(conflict, Err(Error::Conflict { rows }) if rows[0].revision == 2));
}

#[tokio::test]
async fn objects_and_vms() {
    let objects = start(Kind::Object, Options::default()).await;
    let client = client_of(objects.address());
    let content = Bytes::from_static(b"\0proof");
    client
        .put_object("a-1.json", content.clone())
        .await
        .unwrap();
    assert_eq!(client.get_object("a-1.json").await, Ok(Some(content)));
    assert_eq!(client.get_object("none").await, Ok(None));
    let vms = start(Kind::Vm, Options::default()).await;
    let address = vms.address();
    assert_eq!(
        Client::new(address, address, address).list().await,
        Ok(vec![])
    );
}

// The service reports an outage, or nothing listens at its address any more. Nothing was written in
// either case, and the error must say so.
#[tokio::test]
async fn refused_calls() {
    let (server, client) = table().await;
    let down = Faults {
        down: ALL,
        ..Faults::default()
    };
    set_faults(&server, down).await;
    let second = Some(Duration::from_secs(1));
    let refused = client.transact(&insert("a")).await;
    assert!(
        matches!(refused, Err(Error::Unavailable { retry_after, .. }) if retry_after == second)
    );
    let refused = client.read("t", "a").await;
    assert!(
        matches!(refused, Err(Error::Unavailable { retry_after, .. }) if retry_after == second)
    );
    let address = server.address();
    server.stop().await;
    let refused = client_of(address).transact(&insert("a")).await;
    assert!(
        matches!(refused, Err(Error::Unavailable { .. })),
        "{refused:?}"
    );
}

// The service stops while the client has a pooled connection to it. Whether the client notices this
// before it writes is a race, so the write may be unsure, but a read can always be retried.
#[tokio::test]
async fn closed_connection() {
    let (server, client) = table().await;
    assert_eq!(client.read("t", "a").await, Ok(None));
    server.stop().await;
    let closed = client.transact(&insert("a")).await;
    assert!(
        matches!(
            closed,
            Err(Error::Unsure { .. } | Error::Unavailable { .. })
        ),
        "{closed:?}"
    );
    let closed = client.read("t", "a").await;
    assert!(
        matches!(closed, Err(Error::Unavailable { .. })),
        "{closed:?}"
    );
}

// The service limits its write rate. It rejects the second write within the interval, and nothing is
// written.
#[tokio::test]
async fn limited_rate() {
    let options = Options {
        writes_per_second: 1e-6,
        ..Options::default()
    };
    let server = start(Kind::Table, options).await;
    let client = client_of(server.address());
    client.transact(&insert("a")).await.unwrap();
    let limited = client.transact(&insert("b")).await;
    assert!(
        matches!(limited, Err(Error::Unavailable { .. })),
        "{limited:?}"
    );
    assert_eq!(client.read("t", "b").await, Ok(None));
}

// The write took effect, but its answer was lost, truncated or replaced by an error. If any of these
// counted as not written, a label could be printed twice. The HTTP library must not resend the write
// by itself, because its conflict would look like one with another writer.
#[tokio::test]
async fn lost_answers() {
    let (server, client) = table().await;
    let faults = [
        Faults {
            lose_answers: Loss::Next(1),
            ..Faults::default()
        },
        Faults {
            cut: ALL,
            ..Faults::default()
        },
        Faults {
            fail: ALL,
            ..Faults::default()
        },
    ];
    for (key, faults) in ["a", "b", "c"].into_iter().zip(faults) {
        // Opens a pooled connection before the fault starts.
        assert_eq!(client.read("t", key).await, Ok(None));
        set_faults(&server, faults).await;
        let lost = client.transact(&insert(key)).await;
        assert!(matches!(lost, Err(Error::Unsure { .. })), "{key}: {lost:?}");
        set_faults(&server, Faults::default()).await;
        assert!(client.read("t", key).await.unwrap().is_some(), "{key}");
    }
}

// The service is slow and the client times out, but the write is in flight and takes effect later. A
// read in between returns the old state and proves nothing.
#[tokio::test]
async fn late_write() {
    let (server, client) = table().await;
    let slow = Faults {
        slow_ms: 300.0,
        ..Faults::default()
    };
    set_faults(&server, slow).await;
    let short_timeout = client.clone().with_timeout(Duration::from_millis(20));
    let unsure = short_timeout.transact(&insert("a")).await;
    assert!(matches!(unsure, Err(Error::Unsure { .. })), "{unsure:?}");
    set_faults(&server, Faults::default()).await;
    while client.read("t", "a").await.unwrap().is_none() {
        sleep(POLL_INTERVAL).await;
    }
}

// The service resets the connection during a read. Nothing can have been written, so the caller may
// simply retry; a write is unsure.
#[tokio::test]
async fn broken_read() {
    let (server, client) = table().await;
    let reset = Faults {
        reset: ALL,
        ..Faults::default()
    };
    set_faults(&server, reset).await;
    let broken = client.read("t", "a").await;
    assert!(
        matches!(broken, Err(Error::Unavailable { .. })),
        "{broken:?}"
    );
    let broken = client.transact(&insert("a")).await;
    assert!(matches!(broken, Err(Error::Unsure { .. })), "{broken:?}");
}
