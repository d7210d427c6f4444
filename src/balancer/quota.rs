//! Tenants' quotas: requests past them are served with less weight. Each proxy grants its equal part of a
//! quota.

use crate::config::Config;
use crate::estimators::TokenBucket;
use crate::units::{TenantId, Time};

/// What each tenant has left of its quota at this proxy.
pub(super) struct Quotas {
    buckets: Vec<TokenBucket>,
}

impl Quotas {
    pub fn new(tenants: usize) -> Quotas {
        Quotas { buckets: (0..tenants).map(|_| TokenBucket::default()).collect() }
    }

    /// Counts a request; true if it is past its tenant's quota.
    pub fn is_exceeded(&mut self, config: &Config, now: Time, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(index)) = tenant else { return false };
        let Some((terms, bucket)) = config.tenants.get(index).zip(self.buckets.get_mut(index)) else {
            return false;
        };
        !bucket.take(now, terms.quota_per_second / f64::from(config.proxy_count))
    }

    /// Other tenants come into force; `previous` names for each its number so far.
    pub fn replace(&mut self, tenants: usize, previous: &[Option<TenantId>]) {
        let mut old = std::mem::take(&mut self.buckets);
        for tenant in 0..tenants {
            let before = previous.get(tenant).copied().flatten();
            let kept = before.and_then(|before| old.get_mut(before.0)).map(std::mem::take);
            self.buckets.push(kept.unwrap_or_default());
        }
    }
}
