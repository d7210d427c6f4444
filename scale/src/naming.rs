//! Names and addresses of classes, tenants, zones, machine kinds and backends, derived from their indices.

use std::net::{Ipv4Addr, SocketAddr};

/// Offset of the first backend's address within 127.0.0.0/8: 127.20.0.0. Each backend has its own address,
/// and none is 127.0.0.1, where the proxies and discovery listen.
const FIRST_BACKEND_HOST: u32 = 0x0014_0000;

/// Returns the name of a request class.
pub fn class_name(number: u32) -> String {
    format!("class-{number}")
}

/// Returns the name of a tenant.
pub fn tenant_name(number: u32) -> String {
    format!("tenant-{number}")
}

/// Returns the name of a zone.
pub fn zone_name(number: u32) -> String {
    format!("zone-{number}")
}

/// Returns the name of a kind of machine.
pub fn kind_name(number: usize) -> String {
    format!("m{number}")
}

/// Returns the name of a backend.
pub fn backend_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Returns the address of a backend.
pub fn backend_address(number: u32, port: u16) -> SocketAddr {
    let [_, second, third, fourth] = (FIRST_BACKEND_HOST + number).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, second, third, fourth), port))
}

/// Returns whether the requests of a class are idempotent. The clients send those as GET, others as POST.
pub fn is_idempotent(class: u32) -> bool {
    class % 3 != 2
}
