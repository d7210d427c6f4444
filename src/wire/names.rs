//! Names on the wire and the identifiers that stand for them inside the process.

use crate::config::{Config, ConfigUpdate};
use crate::units::{ClassId, TenantId};
use std::collections::HashMap;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The identifier of a backend, zone or kind by its name (FNV-1a): the same in every process, whatever
/// lists it has seen.
pub fn identifier(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Classes and tenants by name.
#[derive(Debug, Default, PartialEq)]
pub struct Names {
    pub(super) classes: HashMap<Box<str>, ClassId>,
    /// Of tenants that share a name the first has it.
    pub(super) tenants: HashMap<Box<str>, TenantId>,
}

impl Names {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// Whether requests name a tenant.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// The update to `config`, whose classes and tenants have these names, from a configuration with the
    /// names `old`: each class and tenant is mapped to its id before.
    pub fn update(&self, old: &Names, config: Config) -> ConfigUpdate {
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
