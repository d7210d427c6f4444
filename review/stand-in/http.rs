//! HTTP/1.1 messages of the stand-ins, with `Content-Length` framing only.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn says_close(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message. `Ok(None)` at an end of the stream before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(start_line) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let mut message = Message { start_line, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.is_empty() {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// A 200 response with this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A request of a class, as PROTOCOL has it. A class that is safe to repeat has no body.
pub fn request(class: &str, id: &str, time_left_ms: u64, body: Option<&str>) -> String {
    let method = if body.is_some() { "POST" } else { "GET" };
    let length = body.map_or(String::new(), |body| format!("Content-Length: {}\r\n", body.len()));
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Account: magnolia\r\nX-Time-Left-Ms: {time_left_ms}\r\n{length}\r\n{}",
        body.unwrap_or("")
    )
}
