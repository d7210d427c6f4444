//! Names and addresses of what a site consists of, by their numbers.

use std::net::{Ipv4Addr, SocketAddr};

/// Backends have the addresses 127.20.0.0 and up: each its own, away from 127.0.0.1, where proxies and
/// discovery listen.
const FIRST_BACKEND_HOST: u32 = 0x0014_0000;

/// The name of a request class.
pub fn class_name(number: u32) -> String {
    format!("class-{number}")
}

/// The name of a tenant.
pub fn tenant_name(number: u32) -> String {
    format!("tenant-{number}")
}

/// The name of a zone.
pub fn zone_name(number: u32) -> String {
    format!("zone-{number}")
}

/// The name of a kind of machine.
pub fn kind_name(number: usize) -> String {
    format!("m{number}")
}

/// The name of a backend.
pub fn backend_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// The address of a backend.
pub fn backend_address(number: u32, port: u16) -> SocketAddr {
    let [_, second, third, fourth] = (FIRST_BACKEND_HOST + number).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, second, third, fourth), port))
}

/// Whether the requests of a class are idempotent; they go as GET then.
pub fn is_idempotent(class: u32) -> bool {
    class % 3 != 2
}
