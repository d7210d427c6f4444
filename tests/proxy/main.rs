//! The built proxy over loopback sockets: what must hold whatever clients, backends and discovery do.

mod backend_answers;
mod capacity;
mod client_disconnects;
mod configuration;
mod connections;
mod deadlines;
mod discovery_lists;
mod discovery_recovery;
mod forwarding;
mod graceful_shutdown;
mod idle_clients;
mod logging;
mod malformed_requests;
mod reload;
mod resource_exhaustion;
mod slow_clients;
mod soak;
mod support;
mod time_left;
mod unframed_responses;
mod wall_clock;
