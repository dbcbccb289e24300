//! Mutual authentication of both ends of a new link by the shared key.
//!
//! The connecting side sends a nonce; the accepting side answers with its own nonce and a proof
//! over both; the connecting side then sends its proof. The two proofs are computed under
//! different labels, because a peer without the key could otherwise reflect an end's own proof.

use crate::link::{Error, Key, SocketSnafu};
use hmac::{Hmac, Mac};
use rand::TryRngCore;
use rand::rngs::OsRng;
use sha2::Sha256;
use snafu::ResultExt;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum duration of a handshake; a peer that connects and sends nothing is dropped after it.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Version of the handshake and of the frames that follow it.
const VERSION: u8 = 1;
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;
/// Length of a proof, in bytes: that of a SHA-256 hash.
const PROOF_BYTES: usize = 32;
/// Label of the accepting side's proof.
const ACCEPTING: &[u8] = b"linnetdrift link accepting";
/// Label of the connecting side's proof.
const CONNECTING: &[u8] = b"linnetdrift link connecting";

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; PROOF_BYTES];

/// The two nonces that both proofs cover.
struct Challenge {
    connecting: Nonce,
    accepting: Nonce,
}

impl Challenge {
    fn mac(&self, key: &Key, label: &[u8]) -> Hmac<Sha256> {
        let mut mac = mac(key);
        mac.update(label);
        mac.update(&[VERSION]);
        mac.update(&self.connecting);
        mac.update(&self.accepting);
        mac
    }

    fn prove(&self, key: &Key, label: &[u8]) -> Proof {
        self.mac(key, label).finalize().into_bytes().into()
    }

    /// Compares in constant time.
    fn verify(&self, key: &Key, label: &[u8], proof: &Proof) -> Result<(), Error> {
        self.mac(key, label)
            .verify_slice(proof)
            .map_err(|_| Error::Unauthorized)
    }
}

/// A new HMAC under the shared key.
pub(crate) fn mac(key: &Key) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so this cannot fail.
    Hmac::new_from_slice(key.bytes()).unwrap_or_else(|_| unreachable!("HMAC accepts any key"))
}

/// Performs the connecting side of the handshake within [`TIMEOUT`].
pub(crate) async fn connect(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &Key,
) -> Result<(), Error> {
    with_timeout(async {
        let connecting = nonce()?;
        let mut hello = [VERSION; 1 + NONCE_BYTES];
        hello[1..].copy_from_slice(&connecting);
        send(stream, &hello).await?;
        let accepting: Nonce = receive(stream).await?;
        let proof: Proof = receive(stream).await?;
        let challenge = Challenge {
            connecting,
            accepting,
        };
        challenge.verify(key, ACCEPTING, &proof)?;
        send(stream, &challenge.prove(key, CONNECTING)).await
    })
    .await
}

/// Performs the accepting side of the handshake within [`TIMEOUT`].
pub(crate) async fn accept(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &Key,
) -> Result<(), Error> {
    with_timeout(async {
        let [version] = receive(stream).await?;
        snafu::ensure!(version == VERSION, crate::link::UnauthorizedSnafu);
        let connecting: Nonce = receive(stream).await?;
        let challenge = Challenge {
            connecting,
            accepting: nonce()?,
        };
        let mut answer = [0; NONCE_BYTES + PROOF_BYTES];
        answer[..NONCE_BYTES].copy_from_slice(&challenge.accepting);
        answer[NONCE_BYTES..].copy_from_slice(&challenge.prove(key, ACCEPTING));
        send(stream, &answer).await?;
        let proof: Proof = receive(stream).await?;
        challenge.verify(key, CONNECTING, &proof)
    })
    .await
}

async fn with_timeout(work: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    timeout(TIMEOUT, work)
        .await
        .map_err(std::io::Error::from)
        .context(SocketSnafu)?
}

fn nonce() -> Result<Nonce, Error> {
    let mut nonce = [0; NONCE_BYTES];
    OsRng
        .try_fill_bytes(&mut nonce)
        .map_err(std::io::Error::other)
        .context(SocketSnafu)?;
    Ok(nonce)
}

async fn send(stream: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> Result<(), Error> {
    stream.write_all(bytes).await.context(SocketSnafu)
}

async fn receive<const N: usize>(stream: &mut (impl AsyncRead + Unpin)) -> Result<[u8; N], Error> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await.context(SocketSnafu)?;
    Ok(bytes)
}
