//! HTTP messages as they stand on the wire, and what a stand-in does with a request.

use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
}

/// A header of a [`Message`].
#[derive(Clone, Debug)]
pub struct Header {
    /// In lower case.
    pub name: String,
    pub value: String,
}

impl Message {
    /// The value of the first header of this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// The status of a response, 0 where its status line is malformed.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn parse_header(line: &str) -> Option<Header> {
    let (name, value) = line.split_once(':')?;
    Some(Header { name: name.to_lowercase(), value: value.trim().to_string() })
}

/// Reads one message with a Content-Length or none; `None` where the connection ends before its end.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let mut lines = lines.into_iter();
    let start_line = lines.next()?;
    let headers = lines.filter_map(|line| parse_header(&line)).collect();
    let mut message = Message { start_line, headers, ..Message::default() };
    let length = message.header("content-length").map_or(0, |length| length.parse().expect("a length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a stand-in of a backend or of discovery does with a request.
pub enum Reply {
    /// Writes this and keeps the connection.
    Send(String),
    /// Writes this and closes the connection.
    SendAndClose(String),
    /// Writes this and resets the connection.
    SendAndReset(String),
    /// Writes nothing; the connection stays open.
    NoResponse,
}

/// How a connection ends.
enum ConnectionEnd {
    Close,
    /// As soon as nobody holds the socket any more.
    Reset,
}

impl Reply {
    /// Does it on a connection; false where that is closed then.
    pub fn carry_out(self, stream: &mut TcpStream) -> bool {
        let (text, end) = match self {
            Reply::Send(text) => (text, None),
            Reply::SendAndClose(text) => (text, Some(ConnectionEnd::Close)),
            Reply::SendAndReset(text) => (text, Some(ConnectionEnd::Reset)),
            Reply::NoResponse => return true,
        };
        let _ = stream.write_all(text.as_bytes());
        match end {
            None => return true,
            Some(ConnectionEnd::Close) => drop(stream.shutdown(std::net::Shutdown::Both)),
            Some(ConnectionEnd::Reset) => {
                socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
        false
    }
}

/// A response 200 with this body.
pub fn ok_response(body: &str) -> Reply {
    Reply::Send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// A request of one of the classes in [`settings`](super::settings).
pub fn request(class: &str, time_left_ms: u64) -> String {
    let (method, more_headers) = match class {
        "read" => ("GET", ""),
        "vote" => ("POST", "Idempotency-Key: k1\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\n{more_headers}\r\n{body}"
    )
}
