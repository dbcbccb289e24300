//! Links are established only between holders of the same key.
#![allow(clippy::unwrap_used, missing_docs)]

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{Error, Frame, Key, Listener};

async fn listener() -> Listener {
    let address = "127.0.0.1:0".parse().unwrap();
    Listener::bind(address, Key::new(*b"right")).await.unwrap()
}

/// An entry configured with the key of another deployment must get an error instead of sending
/// work to foreign agents, and the agent must not return a link.
#[tokio::test]
async fn other_key() {
    let listener = listener().await;
    let address = listener.address().unwrap();
    let wrong = Key::new(*b"wrong");
    let (entry, agent) = tokio::join!(
        wire::connect::<wire::Frame>(address, &wrong),
        listener.accept()
    );
    assert!(matches!(entry.unwrap_err(), Error::Unauthorized));
    assert!(agent.is_err());
}

/// A client connects and sends nothing. Entries that connect after it must get their links while
/// its handshake is still pending.
#[tokio::test]
async fn pending_handshake() {
    let listener = listener().await;
    let address = listener.address().unwrap();
    let client = TcpStream::connect(address).await.unwrap();
    let key = Key::new(*b"right");
    let (entry, agent) = tokio::join!(wire::connect(address, &key), listener.accept());
    let (sender, _guard) = entry.unwrap();
    sender.send(Frame::Leave { incarnation: 1 }).await.unwrap();
    let (_, mut receiver) = agent.unwrap();
    assert!(receiver.recv().await.unwrap().is_some());
    drop(client);
}

/// An attacker without the key reflects the agent's own proof. The proofs of the two directions
/// differ, so the agent returns no link.
#[tokio::test]
async fn reflected_proof() {
    let listener = listener().await;
    let mut attacker = TcpStream::connect(listener.address().unwrap())
        .await
        .unwrap();
    attacker.write_all(&[1; 33]).await.unwrap();
    let mut answer = [0; 64];
    attacker.read_exact(&mut answer).await.unwrap();
    attacker.write_all(&answer[32..]).await.unwrap();
    assert!(matches!(listener.accept().await, Err(Error::Unauthorized)));
}
