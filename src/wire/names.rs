//! Maps names on the wire to the identifiers used within the process.

use crate::config::{Config, ConfigUpdate};
use crate::units::{ClassId, TenantId};
use std::collections::HashMap;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the identifier of a backend, zone or kind: the 64-bit FNV-1a hash of its name. It is the same in
/// every process, independent of the lists that a process has received.
pub fn identifier(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Identifiers of classes and tenants, by name.
#[derive(Debug, Default, PartialEq)]
pub struct Names {
    pub(super) classes: HashMap<Box<str>, ClassId>,
    /// If several tenants have the same name, it maps to the first of them.
    pub(super) tenants: HashMap<Box<str>, TenantId>,
}

impl Names {
    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// Whether tenants are configured; requests then name a tenant.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// Returns the update from a configuration with the names in `old` to `config`, whose names are in
    /// `self`. Each class and tenant of `config` is mapped to its previous id, or to `None` if it is new.
    pub fn config_update(&self, old: &Names, config: Config) -> ConfigUpdate {
        let mut previous_classes = vec![None; config.classes.len()];
        for (name, id) in &self.classes {
            if let Some(previous) = previous_classes.get_mut(id.0) {
                *previous = old.class(name);
            }
        }
        let mut previous_tenants = vec![None; config.tenants.len()];
        for (name, id) in &self.tenants {
            if let Some(previous) = previous_tenants.get_mut(id.0) {
                *previous = old.tenant(name);
            }
        }
        ConfigUpdate { config, previous_classes, previous_tenants }
    }
}
