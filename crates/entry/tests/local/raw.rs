//! A raw HTTP/1.1 client, for requests that client libraries refuse to send.
#![allow(dead_code, reason = "each test file uses the parts that it needs")]

use serde_json::Value;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response, read from the connection.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// Returns the value of the first header with the given name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(": ")?;
            found.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// Returns the body as JSON, or null if it can't be parsed.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends bytes on a new connection and reads the response.
pub(crate) async fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("bytes sent");
    read_answer(&mut stream).await
}

/// Reads a head and its body, up to the `content-length` or until the peer closes.
pub(crate) async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let answer = parse(&read);
        let announced = answer.header("content-length").and_then(|text| text.parse().ok());
        if announced.is_some_and(|bytes: usize| answer.body.len() >= bytes) {
            return answer;
        }
        // A server that refuses a request without reading its body may reset the connection after
        // the response.
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return answer,
            Ok(count) => read.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse(read: &[u8]) -> Answer {
    let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") else {
        return Answer { status: 0, head: String::new(), body: Vec::new() };
    };
    let head = String::from_utf8_lossy(&read[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Answer { status, head, body: read[end + 4..].to_vec() }
}
