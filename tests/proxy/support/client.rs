//! A client of the proxy on loopback.

use super::{read_message, request, Message, ProxyProcess, FAILURE_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client's connection.
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

    /// Sends this; a connection that is closed already is no failure.
    pub fn send(&mut self, text: &str) {
        let _ = self.try_send(text);
    }

    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    /// A response that has not come after so long does not count.
    pub fn set_read_timeout(&mut self, timeout: Duration) {
        self.stream.get_ref().set_read_timeout(Some(timeout)).unwrap();
    }

    /// The next response; `None` where the connection ends before it is whole.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }

    /// Sends no more; what was sent is still answered.
    pub fn stop_sending(&mut self) {
        let _ = self.stream.get_mut().shutdown(std::net::Shutdown::Write);
    }

    /// Waits for the end of the connection; true if it comes with nothing more in it and is no reset.
    pub fn ends_without_reset(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    /// Waits for the end of the connection; true if it comes with nothing more in it.
    pub fn ends(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// Sends a request on a connection of its own and returns the response.
pub fn send_request(proxy: &ProxyProcess, text: &str) -> Message {
    let mut client = Client::open(proxy.address);
    client.send(text);
    client.read_response().expect("a whole answer")
}

/// Sends requests enough that the balancer has retries to spend.
pub fn warm_up(proxy: &ProxyProcess) {
    for _ in 0..10 {
        assert_eq!(send_request(proxy, &request("read", 7000)).status(), 200);
    }
}
