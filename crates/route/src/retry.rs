//! Retries: when, how many, and how long to wait before.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{Outcome, TenantId, value};

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Budget that one retry costs; a request pays in a part of it.
const RETRY_COST: u64 = 1000;
/// Part of a retry that each request pays in, in thousandths.
const PAY_IN: u64 = 100;
/// Retries that a quiet tenant can save up.
const MAX_SAVED: u64 = 10 * RETRY_COST;
/// The node's own account saves up this many times as much.
const NODE_FACTOR: u64 = 4;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

value! { copy
    /// Why a request isn't tried again.
    #[derive(thiserror::Error)]
    pub enum RetryDenied {
        /// It was answered.
        #[error("it was answered")]
        Answered,
        /// It may have run, and must not run twice.
        #[error("it may have run and must not run twice")]
        NotRepeatable,
        /// It was tried often enough.
        #[error("it was tried {MAX_ATTEMPTS} times")]
        AttemptsExhausted,
        /// The budget of its tenant or of the node is used up.
        #[error("the retry budget is used up")]
        BudgetExhausted,
    }
}

/// The one budget of retries of a node: a tenth of its recent requests.
///
/// Each tenant has its own, below one of the node: a tenant whose requests all
/// fail can't use up what the others may need, and all tenants failing at once
/// can't double the load on groups that are failing for being overloaded.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    node: u64,
    tenants: BTreeMap<TenantId, u64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            node: MAX_SAVED * NODE_FACTOR,
            tenants: BTreeMap::new(),
        }
    }
}

impl RetryBudget {
    /// Pays in for a request that a caller made. Not for retries of it.
    pub fn deposit(&mut self, tenant: &TenantId) {
        self.node = (self.node + PAY_IN).min(MAX_SAVED * NODE_FACTOR);
        match self.tenants.get_mut(tenant) {
            Some(saved) => *saved = (*saved + PAY_IN).min(MAX_SAVED),
            None => {
                self.tenants.insert(tenant.clone(), MAX_SAVED);
            }
        }
    }

    /// Drops the accounts of tenants that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&TenantId) -> bool) {
        self.tenants.retain(|t, _| configured(t));
    }

    fn withdraw(&mut self, tenant: &TenantId) -> bool {
        let Some(saved) = self.tenants.get_mut(tenant) else {
            return false;
        };
        if *saved < RETRY_COST || self.node < RETRY_COST {
            return false;
        }
        *saved -= RETRY_COST;
        self.node -= RETRY_COST;
        true
    }
}

/// Decides whether a request is tried again after `attempt` attempts, and pays for it.
///
/// This is the only place that retries: a second layer above or below would
/// multiply the attempts.
///
/// # Errors
/// Why not.
pub fn may_retry(
    outcome: Outcome,
    repeatable: bool,
    attempt: u32,
    tenant: &TenantId,
    budget: &mut RetryBudget,
) -> Result<(), RetryDenied> {
    match outcome {
        Outcome::Answered => return Err(RetryDenied::Answered),
        Outcome::Unknown if !repeatable => return Err(RetryDenied::NotRepeatable),
        Outcome::Unknown | Outcome::NotRun => (),
    }
    if attempt >= MAX_ATTEMPTS {
        return Err(RetryDenied::AttemptsExhausted);
    }
    if !budget.withdraw(tenant) {
        return Err(RetryDenied::BudgetExhausted);
    }
    Ok(())
}

/// How long to wait before attempt `attempt + 1`: random up to a doubling bound.
pub fn backoff(attempt: u32, rng: &mut fastrand::Rng) -> Duration {
    let bound = FIRST_BACKOFF.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    bound.min(MAX_BACKOFF).mul_f64(rng.f64())
}
