//! A backend on loopback whose responses a test chooses.

use super::{read_message, Message, Reply};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// What a backend has seen of its clients.
#[derive(Default)]
struct Observed {
    requests: Mutex<Vec<Message>>,
    opened_connections: Mutex<usize>,
    closed_connections: Mutex<usize>,
}

/// A backend on a port of its own.
pub struct Backend {
    pub address: SocketAddr,
    observed: Arc<Observed>,
}

impl Backend {
    /// Starts a backend that does with each request what `respond` says.
    pub fn start(respond: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (observed, respond) = (Arc::new(Observed::default()), Arc::new(respond));
        let observed_by_all = observed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (observed, respond) = (observed_by_all.clone(), respond.clone());
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
            if !respond(&message).carry_out(&mut stream) {
                break;
            }
        }
        *observed.closed_connections.lock().unwrap() += 1;
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<Message> {
        self.observed.requests.lock().unwrap().clone()
    }

    /// How many connections were opened so far.
    pub fn opened_connections(&self) -> usize {
        *self.observed.opened_connections.lock().unwrap()
    }

    /// How many connections have ended so far.
    pub fn closed_connections(&self) -> usize {
        *self.observed.closed_connections.lock().unwrap()
    }
}
