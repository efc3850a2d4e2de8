//! One request among those that a tenant has waiting or running here.

use std::sync::Arc;

use eelgrassmill_base::TenantId;

use super::core::{Core, TenantCount};

/// Counts one request of a tenant until it is dropped.
///
/// The caller may leave at any await; a count that was taken back by hand only
/// would stay up for good.
pub(crate) struct Seat {
    core: Arc<Core>,
    tenant: TenantId,
    running: bool,
}

impl Seat {
    /// A request that waits.
    pub(crate) fn waiting(core: &Arc<Core>, tenant: &TenantId) -> Seat {
        core.count(tenant, |c| c.queued += 1);
        Seat {
            core: core.clone(),
            tenant: tenant.clone(),
            running: false,
        }
    }

    /// Its turn has come.
    pub(crate) fn runs(&mut self) {
        self.core.count(&self.tenant, |c| {
            c.queued = c.queued.saturating_sub(1);
            c.running += 1;
        });
        self.running = true;
    }

    fn counter<'a>(&self, count: &'a mut TenantCount) -> &'a mut u64 {
        match self.running {
            true => &mut count.running,
            false => &mut count.queued,
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.core.count(&self.tenant, |count| {
            let counter = self.counter(count);
            // A tenant that left the text and came back counts from 0 again.
            *counter = counter.saturating_sub(1);
        });
    }
}
