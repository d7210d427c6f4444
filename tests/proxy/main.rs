//! End-to-end tests of the proxy binary over loopback sockets, with well-behaved and faulty clients, backends
//! and discovery services.

mod backend_responses;
mod capacity;
mod client_disconnects;
mod close_delimited_responses;
mod configuration;
mod connections;
mod deadlines;
mod discovery_lists;
mod discovery_recovery;
mod forwarding;
mod graceful_shutdown;
mod idle_clients;
mod listen_queue;
mod logging;
mod malformed_requests;
mod memory;
mod read_ahead;
mod reload;
mod resource_exhaustion;
mod slow_clients;
mod soak;
mod support;
mod time_left;
mod wall_clock;
