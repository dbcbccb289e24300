//! Links open only between holders of the same key.
#![allow(clippy::unwrap_used, missing_docs)]

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{Error, Frame, Key, Listener};

async fn listener() -> Listener {
    let address = "127.0.0.1:0".parse().unwrap();
    Listener::bind(address, Key::new(*b"right")).await.unwrap()
}

/// An entry was given the key of another deployment. It must learn so at once instead of sending
/// its callers' work to strangers, and the agent must not hand out a link.
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

/// A stranger connects and says nothing. Entries that connect behind it must get their links
/// while its handshake is still open.
#[tokio::test]
async fn silent_stranger() {
    let listener = listener().await;
    let address = listener.address().unwrap();
    let stranger = TcpStream::connect(address).await.unwrap();
    let key = Key::new(*b"right");
    let (entry, agent) = tokio::join!(wire::connect(address, &key), listener.accept());
    let (sender, _keep) = entry.unwrap();
    sender.send(Frame::Leave { incarnation: 1 }).await.unwrap();
    let (_, mut receiver) = agent.unwrap();
    assert!(receiver.recv().await.unwrap().is_some());
    drop(stranger);
}

/// A stranger without the key sends the agent's own proof back in place of its own. The proofs
/// of the two directions differ, so the agent hands out no link.
#[tokio::test]
async fn reflected_proof() {
    let listener = listener().await;
    let mut stranger = TcpStream::connect(listener.address().unwrap())
        .await
        .unwrap();
    stranger.write_all(&[1; 33]).await.unwrap();
    let mut answer = [0; 64];
    stranger.read_exact(&mut answer).await.unwrap();
    stranger.write_all(&answer[32..]).await.unwrap();
    assert!(matches!(listener.accept().await, Err(Error::Unauthorized)));
}
