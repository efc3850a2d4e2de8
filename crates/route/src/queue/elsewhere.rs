//! What tenants use at other entries.
//!
//! Each entry's queue is fair by itself, but a tenant that sends to all entries would
//! get a share at each, and one that sends to a single entry only one. Entries
//! therefore tell each other what each tenant used, and charge it as if it
//! had been used here.

use eelgrassmill_base::{TenantId, Tokens, value};

use crate::queue::ServiceQueue;
use crate::queue::account::{Account, VirtualTime, cost};

value! {
    /// What a tenant used at one entry in some time.
    pub struct TenantUsage {
        /// The tenant.
        pub tenant: TenantId,
        /// Its share relative to the others'.
        pub weight: u32,
        /// Tokens charged; negative when earlier estimates were too high.
        pub tokens: i64,
    }
}

impl<T> ServiceQueue<T> {
    /// What tenants used here since the last call, to be told to the other entries.
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

    /// Charges what a tenant used at another entry.
    ///
    /// A lost report only makes the order less fair; one taken twice charges twice, so
    /// reports go over a channel that doesn't double them.
    pub fn charge_remote_usage(&mut self, usage: &TenantUsage) {
        let weight = usage.weight.max(1);
        let earliest = self.earliest_finish(weight);
        // Without a bound, a tenant that filled idle slots elsewhere for hours would
        // wait here until everyone else had used as much.
        let latest = self
            .virtual_now
            .saturating_add(cost(self.opts.burst, weight));
        self.tenants
            .entry(usage.tenant.clone())
            .or_insert_with(|| Account::new(weight, earliest));
        self.change(&usage.tenant, |account| {
            let before = account.finish;
            account.finish = shift(before, usage.tokens, weight).min(latest.max(before));
        });
        self.forget_idle(&usage.tenant);
    }

    pub(super) fn note_usage(&mut self, tenant: &TenantId, weight: u32, tokens: i64) {
        let used = self.usage.entry(tenant.clone()).or_default();
        used.0 = weight;
        used.1 += tokens;
    }
}

fn shift(finish: VirtualTime, tokens: i64, weight: u32) -> VirtualTime {
    let cost = cost(tokens.unsigned_abs() as Tokens, weight);
    match tokens < 0 {
        true => finish.saturating_sub(cost),
        false => finish.saturating_add(cost),
    }
}
