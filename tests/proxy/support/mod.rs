//! What the tests share: the proxy as a process, and clients, backends and a discovery on loopback.

mod backend;
mod client;
mod discovery;
mod faults;
mod http;
mod proxy_process;
mod reserved_port;
mod settings;
mod slow_accept_backend;
mod waiting;

pub use backend::Backend;
pub use client::{ask, warm_up, Client};
pub use discovery::Discovery;
pub use faults::Faults;
pub use http::{ok, read_message, request, Message, Reply};
pub use proxy_process::{proxy_for, Proxy};
pub use reserved_port::{refusing_address, HeldPort};
pub use settings::{changed, config, line, patient, settings};
pub use slow_accept_backend::Late;
pub use waiting::{until, LONG};
