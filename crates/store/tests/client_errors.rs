#![allow(clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use standin::fault::{Fraction, Loss};
use standin::{Faults, Kind, Options, Server};
use std::net::SocketAddr;
use std::time::Duration;
use store::{Check, Client, Error, Objects, Put, Table, Transaction, Vms};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

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

/// Sets the faults over a plain socket and waits for the answer.
async fn set(server: &Server, faults: Faults) {
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

// The service is down, or says that it is, or nobody listens there any more. Nothing was written in
// any of these, and a caller may truthfully be told so.
#[tokio::test]
async fn refused_calls() {
    let (server, client) = table().await;
    let down = Faults {
        down: ALL,
        ..Faults::default()
    };
    set(&server, down).await;
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

// The service restarts while the client keeps a connection to it. Whether the client notices before
// it writes is a race, so that the write may count as unsure, but a read may always be repeated.
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

// The service limits its rate. The second write within the second is turned away unwritten.
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

// The write took effect, but its answer was lost, cut short or replaced by an error. To call any of
// these "not written" would let a label be printed twice; and the library must not send the write
// again by itself, as its conflict would look like another writer's win.
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
        // A pooled connection is open before the fault sets in.
        assert_eq!(client.read("t", key).await, Ok(None));
        set(&server, faults).await;
        let lost = client.transact(&insert(key)).await;
        assert!(matches!(lost, Err(Error::Unsure { .. })), "{key}: {lost:?}");
        set(&server, Faults::default()).await;
        assert!(client.read("t", key).await.unwrap().is_some(), "{key}");
    }
}

// The service is slow and the client stops waiting, but the write is on its way and takes effect
// later. A read in between shows the old state and proves nothing.
#[tokio::test]
async fn late_write() {
    let (server, client) = table().await;
    let slow = Faults {
        slow_ms: 300.0,
        ..Faults::default()
    };
    set(&server, slow).await;
    let impatient = client.clone().with_timeout(Duration::from_millis(20));
    let unsure = impatient.transact(&insert("a")).await;
    assert!(matches!(unsure, Err(Error::Unsure { .. })), "{unsure:?}");
    set(&server, Faults::default()).await;
    while client.read("t", "a").await.unwrap().is_none() {
        tokio::task::yield_now().await;
    }
}

// Reads are sent to a connection that the service closes. Nothing can have been written, so the
// caller may simply read again.
#[tokio::test]
async fn broken_read() {
    let (server, client) = table().await;
    let reset = Faults {
        reset: ALL,
        ..Faults::default()
    };
    set(&server, reset).await;
    let broken = client.read("t", "a").await;
    assert!(
        matches!(broken, Err(Error::Unavailable { .. })),
        "{broken:?}"
    );
    let broken = client.transact(&insert("a")).await;
    assert!(matches!(broken, Err(Error::Unsure { .. })), "{broken:?}");
}
