//! HTTP/1.1 over TCP, as much of it as the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    Broken,
}

pub type Reader = BufReader<TcpStream>;

fn line(reader: &mut Reader) -> Option<String> {
    let mut bytes = Vec::new();
    match reader.read_until(b'\n', &mut bytes) {
        Ok(count) if count > 0 && bytes.ends_with(b"\n") => {}
        _ => return None,
    }
    let text = String::from_utf8_lossy(&bytes);
    Some(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the first line and the headers; none if the channel ends or times out before that.
pub fn read_head(reader: &mut Reader) -> Option<Message> {
    let first = line(reader)?;
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    Some(Message {
        first,
        headers,
        body: Vec::new(),
    })
}

/// Reads a body with a length or in chunks, and hands over each part as it arrives.
pub fn read_body(reader: &mut Reader, head: &Message, mut part: impl FnMut(&[u8])) -> End {
    if let Some(length) = head.header("content-length") {
        let mut left: usize = length.parse().unwrap_or(0);
        let mut buffer = [0; 16 << 10];
        while left > 0 {
            let most = left.min(buffer.len());
            match reader.read(&mut buffer[..most]) {
                Ok(count) if count > 0 => {
                    part(&buffer[..count]);
                    left -= count;
                }
                _ => return End::Broken,
            }
        }
        return End::Whole;
    }
    let chunked = head.header("transfer-encoding");
    if !chunked.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return End::Whole;
    }
    loop {
        let Some(size) = line(reader) else {
            return End::Broken;
        };
        let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16) else {
            return End::Broken;
        };
        let mut chunk = vec![0; size];
        if reader.read_exact(&mut chunk).is_err() || line(reader).is_none() {
            return End::Broken;
        }
        if size == 0 {
            return End::Whole;
        }
        part(&chunk);
    }
}

/// Reads a request; none if the channel ends first.
pub fn read_request(reader: &mut Reader) -> Option<Message> {
    let mut request = read_head(reader)?;
    let mut body = Vec::new();
    let end = read_body(reader, &request, |part| body.extend_from_slice(part));
    request.body = body;
    (end == End::Whole).then_some(request)
}

/// The bytes of a complete response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

pub fn send(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).and_then(|()| stream.flush()).is_ok()
}
