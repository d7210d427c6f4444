//! A client of the proxy on loopback.

use super::{read_message, request, write_in_pieces, Message, ProxyProcess, FAILURE_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client connection to the proxy.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn open(address: SocketAddr) -> Client {
        Client::try_open(address).unwrap()
    }

    pub fn try_open(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(FAILURE_TIMEOUT))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Sends the text and ignores errors, because the proxy may have closed the connection already.
    pub fn send(&mut self, text: &str) {
        let _ = self.try_send(text);
    }

    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    /// Sends as much of the text as the connection takes at once.
    pub fn send_without_waiting(&mut self, text: &str) {
        let stream = self.stream.get_mut();
        stream.set_nonblocking(true).unwrap();
        let _ = stream.write_all(text.as_bytes());
        stream.set_nonblocking(false).unwrap();
    }

    /// Sends the text in pieces of this many bytes, with a short pause between them.
    pub fn send_in_pieces(&mut self, text: &str, piece_bytes: usize) {
        write_in_pieces(self.stream.get_mut(), text, piece_bytes);
    }

    /// Sets how long [`Client::read_response`] waits for data.
    pub fn set_read_timeout(&mut self, timeout: Duration) {
        self.stream.get_ref().set_read_timeout(Some(timeout)).unwrap();
    }

    /// Reads the next response; `None` if the connection ends or times out before the response is complete.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }

    /// Closes the sending side of the connection; responses can still be read.
    pub fn stop_sending(&mut self) {
        let _ = self.stream.get_mut().shutdown(std::net::Shutdown::Write);
    }

    /// Waits until the connection is closed; returns true if no data was received before and it was not
    /// reset.
    pub fn closes_without_reset(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    /// Waits until the connection is closed or reset, or the read times out; returns true if no data was
    /// received.
    pub fn receives_no_more_data(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// Sends a request on a new connection and returns the response.
pub fn send_request(proxy: &ProxyProcess, text: &str) -> Message {
    let mut client = Client::open(proxy.address);
    client.send(text);
    client.read_response().expect("a complete response")
}

/// Sends enough requests to give the balancer a retry budget.
pub fn warm_up(proxy: &ProxyProcess) {
    for _ in 0..10 {
        assert_eq!(send_request(proxy, &request("read", 7000)).status(), 200);
    }
}
