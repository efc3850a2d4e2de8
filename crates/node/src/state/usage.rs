//! What tenants use over all entries, so that a tenant spread over many gets no more than its share.

use std::collections::BTreeMap;

use eelgrassmill_base::{NodeId, ServiceName, TenantId};
use eelgrassmill_peer::{Item, UsageReport};
use eelgrassmill_route::TenantUsage;

/// Tokens by which a tenant's use has to grow before it is told again.
///
/// Told at every change, the use of ten tenants at hundreds of entries alone
/// would take several times the bytes that a node may spend on control.
const STEP: i64 = 2_000;

type Key = (ServiceName, TenantId);

#[derive(Default)]
struct Told {
    used: i64,
    told: i64,
}

/// Use at this entry as told to others, and at others as heard from them.
#[derive(Default)]
pub(crate) struct UsageBook {
    own: BTreeMap<Key, Told>,
    heard: BTreeMap<NodeId, BTreeMap<Key, i64>>,
}

impl UsageBook {
    /// Adds what was used here; gives what is to be told.
    pub(crate) fn used(&mut self, service: &ServiceName, used: Vec<TenantUsage>) -> Vec<Item> {
        let mut items = Vec::new();
        for usage in used {
            let key = (service.clone(), usage.tenant.clone());
            let own = self.own.entry(key).or_default();
            own.used += usage.tokens;
            if (own.used - own.told).abs() < STEP {
                continue;
            }
            own.told = own.used;
            items.push(Item::Usage(UsageReport {
                service: service.clone(),
                tenant: usage.tenant,
                weight: usage.weight,
                tokens: own.used,
            }));
        }
        items
    }

    /// What a tenant used at another entry since that entry last told of it.
    ///
    /// The first word of an entry is where counting begins: this node may have
    /// started long after it, and must not charge its whole past at once.
    pub(crate) fn heard(&mut self, from: &NodeId, item: &UsageReport) -> TenantUsage {
        let heard = self.heard.entry(from.clone()).or_default();
        let key = (item.service.clone(), item.tenant.clone());
        let before = heard.insert(key, item.tokens).unwrap_or(item.tokens);
        TenantUsage {
            tenant: item.tenant.clone(),
            weight: item.weight,
            tokens: item.tokens - before,
        }
    }

    /// Forgets an entry that is gone or has restarted, whose count begins anew.
    pub(crate) fn forget(&mut self, node: &NodeId) {
        self.heard.remove(node);
    }

    /// Drops the counts of tenants that are no longer configured.
    pub(crate) fn retain(&mut self, configured: impl Fn(&TenantId) -> bool) {
        self.own.retain(|(_, tenant), _| configured(tenant));
        for heard in self.heard.values_mut() {
            heard.retain(|(_, tenant), _| configured(tenant));
        }
    }
}
