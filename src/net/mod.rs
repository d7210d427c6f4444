//! Network code that the proxy and discovery have in common: connecting, backoff, and what errors say.

pub mod backoff;
pub mod connect;
pub mod resource_exhaustion;
