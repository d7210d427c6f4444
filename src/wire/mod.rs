//! Documents of the platform, mapped to the library's types. Their field names are read here and in the
//! simulator adapter only.

pub mod endpoint_list;
mod error;
pub mod names;
pub mod object;
pub mod proxy_config;
pub mod settings;

pub use error::{WireError, WireFault};
