//! A fake entry that sends a fixed sequence of responses, one per connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

/// A request that the fake entry received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedRequest {
    pub(crate) line: String,
    pub(crate) headers: Vec<String>,
    pub(crate) body: String,
}

pub(crate) struct FakeEntry {
    pub(crate) address: SocketAddr,
    thread: JoinHandle<Vec<ReceivedRequest>>,
}

impl FakeEntry {
    /// Responds to each connection with the next element and closes it; an empty element simulates
    /// a lost response.
    pub(crate) fn start(responses: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let respond = move |answer: String| {
            let (mut stream, _) = listener.accept().unwrap();
            let request = read(&mut BufReader::new(&stream));
            stream.write_all(answer.as_bytes()).unwrap();
            request
        };
        let thread = std::thread::spawn(|| responses.into_iter().map(respond).collect());
        Self { address, thread }
    }

    /// Waits until all responses have been sent and returns the requests.
    pub(crate) fn requests(self) -> Vec<ReceivedRequest> {
        self.thread.join().unwrap()
    }
}

fn read(reader: &mut impl BufRead) -> ReceivedRequest {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let length = lines
        .iter()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    reader.read_exact(&mut body).unwrap();
    ReceivedRequest {
        line: lines.remove(0),
        headers: lines,
        body: String::from_utf8(body).unwrap(),
    }
}

/// Returns a complete HTTP response.
pub(crate) fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

/// Returns an empty element, which closes the connection without a response.
pub(crate) fn no_response() -> String {
    String::new()
}
