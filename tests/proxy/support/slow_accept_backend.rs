//! A backend whose connections are established late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A backend with a full listen queue, so that connections are not established until
/// [`SlowAcceptBackend::accept`].
pub struct SlowAcceptBackend {
    listener: TcpListener,
    pub address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl SlowAcceptBackend {
    /// Starts listening and fills the listen queue with connections.
    pub fn start() -> SlowAcceptBackend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        // A connect that times out shows that the listen queue is full.
        let connect_timeout = Duration::from_millis(300);
        let connect = || TcpStream::connect_timeout(&address, connect_timeout).ok();
        let queued = std::iter::from_fn(connect).take(10_000).collect();
        SlowAcceptBackend { listener, address, queued }
    }

    /// Starts accepting connections and reads once from each. The returned function ends this by sending
    /// `done` on a connection of its own, and returns how many bytes were read from the others.
    pub fn accept(self) -> impl FnOnce() -> usize {
        let SlowAcceptBackend { listener, address, queued } = self;
        drop(queued);
        let bytes = std::thread::spawn(move || {
            let (mut bytes, mut buffer) = (0, [0; 64]);
            for mut stream in listener.incoming().map_while(Result::ok) {
                match stream.read(&mut buffer) {
                    Ok(length) if buffer.starts_with(b"done") => return bytes + length - 4,
                    Ok(length) => bytes += length,
                    Err(_) => {}
                }
            }
            bytes
        });
        move || {
            TcpStream::connect(address).unwrap().write_all(b"done").unwrap();
            bytes.join().unwrap()
        }
    }
}
