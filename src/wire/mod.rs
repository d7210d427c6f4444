//! Decodes the platform's JSON documents into the library's types. No other module depends on their field
//! names. The simulator's messages are decoded by its adapter, HTTP headers by the proxy (`headers.rs`).

pub mod endpoint_list;
mod error;
pub mod names;
mod object;
pub mod proxy_config;
pub mod settings;

pub use error::{WireError, WireFault};
