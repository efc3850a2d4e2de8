//! Accounting of tenants' usage at other entries.
//!
//! Each entry's queue is fair on its own, but a tenant that sends to all entries would
//! get a share at each, and one that sends to a single entry only one. Entries
//! therefore report each tenant's usage to each other and charge it as if it were
//! local.

use eelgrassmill_base::{TenantId, Tokens, value};

use crate::queue::ServiceQueue;
use crate::queue::account::{Account, VirtualTime, cost};

value! {
    /// A tenant's usage at one entry since the previous report.
    pub struct TenantUsage {
        /// The tenant.
        pub tenant: TenantId,
        /// Weight of the tenant in the fair order.
        pub weight: u32,
        /// Tokens charged; negative when earlier estimates were too high.
        pub tokens: i64,
    }
}

impl<T> ServiceQueue<T> {
    /// Returns the usage here since the last call, to be reported to the other entries.
    pub fn take_usage(&mut self) -> Vec<TenantUsage> {
        let used = std::mem::take(&mut self.usage);
        let used = used.into_iter().filter(|(_, (_, tokens))| *tokens != 0);
        used.map(|(tenant, (weight, tokens))| TenantUsage {
            tenant,
            weight,
            tokens,
        })
        .collect()
    }

    /// Charges a tenant's usage at another entry.
    ///
    /// A lost report only makes the order less fair; a duplicate charges twice, so
    /// reports must be sent over a channel that doesn't duplicate them.
    pub fn charge_remote_usage(&mut self, usage: &TenantUsage) {
        let weight = usage.weight.max(1);
        let min_finish = self.min_finish(weight);
        // Without a bound, a tenant that used idle slots at other entries for hours would
        // wait here until every other tenant had used as much.
        let max_finish = self
            .virtual_time
            .saturating_add(cost(self.opts.burst, weight));
        self.tenants
            .entry(usage.tenant.clone())
            .or_insert_with(|| Account::new(weight, min_finish));
        self.update_account(&usage.tenant, |account| {
            let before = account.finish;
            account.finish = add_cost(before, usage.tokens, weight).min(max_finish.max(before));
        });
        self.remove_if_idle(&usage.tenant);
    }

    pub(super) fn record_usage(&mut self, tenant: &TenantId, weight: u32, tokens: i64) {
        let used = self.usage.entry(tenant.clone()).or_default();
        used.0 = weight;
        used.1 += tokens;
    }
}

fn add_cost(finish: VirtualTime, tokens: i64, weight: u32) -> VirtualTime {
    let cost = cost(tokens.unsigned_abs() as Tokens, weight);
    match tokens < 0 {
        true => finish.saturating_sub(cost),
        false => finish.saturating_add(cost),
    }
}
