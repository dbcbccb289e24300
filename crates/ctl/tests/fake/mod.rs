//! A fake entry that plays a script of answers, one a connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

/// A request as the fake entry read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) line: String,
    pub(crate) headers: Vec<String>,
    pub(crate) body: String,
}

pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    thread: JoinHandle<Vec<Seen>>,
}

impl Fake {
    /// Answers each connection with the next bytes and closes it; no bytes lose the answer.
    pub(crate) fn start(script: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let play = move |answer: String| {
            let (mut stream, _) = listener.accept().unwrap();
            let seen = read(&mut BufReader::new(&stream));
            stream.write_all(answer.as_bytes()).unwrap();
            seen
        };
        let thread = std::thread::spawn(|| script.into_iter().map(play).collect());
        Self { address, thread }
    }

    /// What was asked, once the whole script has been played.
    pub(crate) fn seen(self) -> Vec<Seen> {
        self.thread.join().unwrap()
    }
}

fn read(reader: &mut impl BufRead) -> Seen {
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
    Seen {
        line: lines.remove(0),
        headers: lines,
        body: String::from_utf8(body).unwrap(),
    }
}

/// A whole answer.
pub(crate) fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

/// No answer at all.
pub(crate) fn lost() -> String {
    String::new()
}
