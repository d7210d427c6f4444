//! Documents of the platform, mapped to the library's types. Their field names appear here and in the
//! simulator adapter, and nowhere else.

pub mod endpoint_list;
mod error;
pub mod names;
pub mod object;
pub mod proxy_config;
pub mod settings;

pub use error::{WireError, WireFault};
