//! Tenant quotas: requests over quota have less weight. Each proxy enforces an equal part of each quota.

use crate::config::Config;
use crate::estimators::TokenBucket;
use crate::units::{TenantId, Time};

/// The token bucket of each tenant for this proxy's part of the quota, indexed by [`TenantId`].
pub(super) struct Quotas {
    buckets: Vec<TokenBucket>,
}

impl Quotas {
    pub fn new(tenant_count: usize) -> Quotas {
        Quotas { buckets: (0..tenant_count).map(|_| TokenBucket::default()).collect() }
    }

    /// Charges a request to its tenant's quota, and returns whether the quota is exceeded. A request without
    /// a known tenant has no quota.
    pub fn charge(&mut self, config: &Config, now: Time, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(index)) = tenant else { return false };
        let Some((tenant, bucket)) = config.tenants.get(index).zip(self.buckets.get_mut(index)) else {
            return false;
        };
        !bucket.take(now, tenant.quota_per_second / f64::from(config.proxy_count))
    }

    /// Replaces the tenants. `previous` holds the old index of each new tenant, whose bucket is kept, or
    /// `None` for a tenant that was not there before.
    pub fn replace(&mut self, tenant_count: usize, previous: &[Option<TenantId>]) {
        let mut old_buckets = std::mem::take(&mut self.buckets);
        for tenant in 0..tenant_count {
            let old_id = previous.get(tenant).copied().flatten();
            let kept = old_id.and_then(|old_id| old_buckets.get_mut(old_id.0)).map(std::mem::take);
            self.buckets.push(kept.unwrap_or_default());
        }
    }
}
