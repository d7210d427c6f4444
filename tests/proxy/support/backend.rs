//! A mock backend on loopback whose responses are chosen by the test.

use super::{read_message, Message, Reply};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Requests and connections that a backend has received.
#[derive(Default)]
struct Observed {
    requests: Mutex<Vec<Message>>,
    opened_connections: Mutex<usize>,
    closed_connections: Mutex<usize>,
}

/// A mock backend that listens on its own port.
pub struct Backend {
    pub address: SocketAddr,
    observed: Arc<Observed>,
}

impl Backend {
    /// Starts a backend that replies to each request with the result of `respond`.
    pub fn start(respond: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (observed, respond) = (Arc::new(Observed::default()), Arc::new(respond));
        let shared = observed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (observed, respond) = (shared.clone(), respond.clone());
                std::thread::spawn(move || Backend::serve_connection(stream, &observed, &*respond));
            }
        });
        Backend { address, observed }
    }

    fn serve_connection(mut stream: TcpStream, observed: &Observed, respond: &dyn Fn(&Message) -> Reply) {
        *observed.opened_connections.lock().unwrap() += 1;
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = read_message(&mut reader) {
            observed.requests.lock().unwrap().push(message.clone());
            if !respond(&message).write_to(&mut stream) {
                break;
            }
        }
        *observed.closed_connections.lock().unwrap() += 1;
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<Message> {
        self.observed.requests.lock().unwrap().clone()
    }

    /// Returns how many connections were opened so far.
    pub fn opened_connections(&self) -> usize {
        *self.observed.opened_connections.lock().unwrap()
    }

    /// Returns how many connections were closed so far.
    pub fn closed_connections(&self) -> usize {
        *self.observed.closed_connections.lock().unwrap()
    }
}
