//! Network code shared by the proxy and the discovery client: connecting, reading bodies, backoff, and
//! classification of I/O errors.

pub mod backoff;
pub mod body;
pub mod connect;
pub mod resource_exhaustion;
