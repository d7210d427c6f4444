//! Shared test support: the proxy as a child process, and clients, mock backends and a mock discovery service
//! on loopback.

mod backend;
mod client;
mod connecting_clients;
mod discovery;
mod faults;
mod http;
mod proxy_process;
mod reserved_port;
mod settings;
mod slow_accept_backend;
mod waiting;

pub use backend::Backend;
pub use client::{send_request, warm_up, Client};
pub use connecting_clients::ConnectingClients;
pub use discovery::Discovery;
pub use faults::Faults;
pub use http::{ok_response, read_message, request, write_in_pieces, Message, Reply, PAY_WITH_PARTIAL_BODY};
pub use proxy_process::{start_proxy_for, start_proxy_with_limits, ProxyProcess};
pub use reserved_port::{refusing_address, ReservedPort};
pub use settings::{
    config, config_with_long_connect_timeout, endpoint, ready_endpoints, settings, with_value,
};
pub use slow_accept_backend::SlowAcceptBackend;
pub use waiting::{wait_until, FAILURE_TIMEOUT};
