//! HTTP messages on the wire, and replies of the mock servers.

use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
}

/// A header of a [`Message`].
#[derive(Clone, Debug)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    pub value: String,
}

impl Message {
    /// Returns the value of the first header with this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// Returns the status of a response, or 0 if its status line is malformed.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn parse_header(line: &str) -> Option<Header> {
    let (name, value) = line.split_once(':')?;
    Some(Header { name: name.to_lowercase(), value: value.trim().to_string() })
}

/// Reads one message whose body is framed by Content-Length or empty; `None` if the connection ends, or a
/// read fails or times out, before the message is complete.
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
    let length =
        message.header("content-length").map_or(0, |length| length.parse().expect("a valid Content-Length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reply of a mock backend or discovery service to a request.
pub enum Reply {
    /// Writes the text and keeps the connection open.
    Send(String),
    /// Writes the text and closes the connection.
    SendAndClose(String),
    /// Writes the text and resets the connection.
    SendAndReset(String),
    /// Writes the text in pieces of this many bytes, with a short pause between them, and keeps the
    /// connection open.
    SendInPieces(String, usize),
    /// Writes nothing and keeps the connection open.
    NoResponse,
}

/// How a connection ends.
enum ConnectionEnd {
    Close,
    /// The reset is sent when the last handle of the socket is dropped.
    Reset,
}

impl Reply {
    /// Writes the reply to a connection; returns false if the connection is then closed.
    pub fn write_to(self, stream: &mut TcpStream) -> bool {
        let (text, end) = match self {
            Reply::Send(text) => (text, None),
            Reply::SendAndClose(text) => (text, Some(ConnectionEnd::Close)),
            Reply::SendAndReset(text) => (text, Some(ConnectionEnd::Reset)),
            Reply::SendInPieces(text, piece_bytes) => {
                write_in_pieces(stream, &text, piece_bytes);
                return true;
            }
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

/// Time from the start of one piece of a message to that of the next.
const PIECE_INTERVAL: Duration = Duration::from_micros(400);

/// Writes a text in pieces of this many bytes, each in a segment of its own. The whole takes its time even on a
/// loaded machine: pieces that are late follow at once. Stops at an error, because the proxy may have closed
/// the connection.
pub fn write_in_pieces(stream: &mut TcpStream, text: &str, piece_bytes: usize) {
    let _ = stream.set_nodelay(true);
    let mut due = Instant::now();
    for piece in text.as_bytes().chunks(piece_bytes) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        due += PIECE_INTERVAL;
        if stream.write_all(piece).is_err() {
            return;
        }
    }
}

/// Returns a 200 response with this body.
pub fn ok_response(body: &str) -> Reply {
    Reply::Send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// A request whose body lacks its last two bytes.
pub const PAY_WITH_PARTIAL_BODY: &str = concat!(
    "POST /pay/a HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\n",
    "X-Time-Left-Ms: 60000\r\nContent-Length: 4\r\n\r\nbo"
);

/// Returns a request of one of the classes in [`settings`](super::settings). Tests replace parts of it, such
/// as the correlation id 9b1f03aa5c7e2d41.
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
