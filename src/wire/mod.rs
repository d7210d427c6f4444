//! Documents of the platform, mapped to the library's types. Their field names are read here and nowhere
//! else; the simulator's messages are mapped by its adapter, HTTP headers by the proxy (`headers.rs`).

pub mod endpoint_list;
mod error;
pub mod names;
mod object;
pub mod proxy_config;
pub mod settings;

pub use error::{WireError, WireFault};
