//! Stand-ins for clients.

use crate::http::{self, End, Message, Reader};
use crate::ledger::{Ledger, Sent};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// What a client got.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    /// A complete answer.
    Whole(Message),
    /// An answer that broke off.
    Broken(Message),
    /// The channel was closed, or stayed silent, without an answer.
    Nothing,
    /// No channel could be opened.
    Unreachable,
}

impl PartialEq for Message {
    fn eq(&self, other: &Message) -> bool {
        self.first == other.first && self.body == other.body
    }
}

/// A request that is to be sent.
pub struct Order {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    pub api_key: &'static str,
    pub deadline_ms: u64,
    pub sent: Sent,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Order {
    fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Api-Key: {}\r\nContent-Length: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms, self.api_key, self.body.len()
        );
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        (text + "\r\n" + &self.body).into_bytes()
    }
}

/// Sends a request on a new channel and waits for the whole answer.
pub fn send(ledger: &Arc<Ledger>, front: SocketAddr, order: &Order) -> Got {
    ledger.state().sent.insert(order.id.clone(), order.sent.clone());
    let got = exchange(front, order);
    let what = match &got {
        Got::Whole(answer) => format!("{} whole, {} bytes", answer.status(), answer.body.len()),
        Got::Broken(answer) => format!("{} broken off", answer.status()),
        Got::Nothing => "no answer".to_owned(),
        Got::Unreachable => "no channel".to_owned(),
    };
    ledger.note(&format!("client {} {} to {front}: {what}", order.id, order.sent.route));
    got
}

fn exchange(front: SocketAddr, order: &Order) -> Got {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return Got::Unreachable;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(order.deadline_ms + 2_000)));
    if !http::send(&mut stream, &order.bytes()) {
        return Got::Nothing;
    }
    let mut reader: Reader = BufReader::new(stream);
    let Some(mut answer) = http::read_head(&mut reader) else {
        return Got::Nothing;
    };
    let mut body = Vec::new();
    let end = http::read_body(&mut reader, &answer, |part| body.extend_from_slice(part));
    answer.body = body;
    match end {
        End::Whole => Got::Whole(answer),
        End::Broken => Got::Broken(answer),
    }
}

/// Whether a relay says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if !http::send(&mut stream, request.as_bytes()) {
        return false;
    }
    let mut reader: Reader = BufReader::new(stream);
    http::read_head(&mut reader).is_some_and(|head| head.status() == 200)
}
