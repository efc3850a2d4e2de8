//! Retry policy: eligibility, the retry budget and backoff.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{Outcome, TenantId, value};

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Balance withdrawn by one retry.
const RETRY_COST: u64 = 1000;
/// Balance deposited by each request: a tenth of a retry.
const DEPOSIT: u64 = 100;
/// Maximum balance of a tenant: ten retries.
const MAX_BALANCE: u64 = 10 * RETRY_COST;
/// Maximum balance of the node, as a multiple of a tenant's.
const NODE_FACTOR: u64 = 4;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

value! { copy
    /// Why a request is not retried.
    #[derive(thiserror::Error)]
    pub enum RetryDenied {
        /// The request was answered.
        #[error("the request was answered")]
        Answered,
        /// The request may have run and must not run twice.
        #[error("the request may have run and must not run twice")]
        NotRepeatable,
        /// The request has had [`MAX_ATTEMPTS`] attempts.
        #[error("the request was tried {MAX_ATTEMPTS} times")]
        AttemptsExhausted,
        /// The budget of the tenant or of the node is exhausted.
        #[error("the retry budget is exhausted")]
        BudgetExhausted,
    }
}

/// A node's retry budget: a tenth of its recent requests.
///
/// Each tenant has its own balance besides the node's: a tenant whose requests all
/// fail can't exhaust what the others may need, and all tenants failing at once
/// can't double the load on groups that fail because they are overloaded.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    node: u64,
    tenants: BTreeMap<TenantId, u64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            node: MAX_BALANCE * NODE_FACTOR,
            tenants: BTreeMap::new(),
        }
    }
}

impl RetryBudget {
    /// Deposits for a request from a caller. Not to be called for its retries.
    pub fn deposit(&mut self, tenant: &TenantId) {
        self.node = (self.node + DEPOSIT).min(MAX_BALANCE * NODE_FACTOR);
        match self.tenants.get_mut(tenant) {
            Some(balance) => *balance = (*balance + DEPOSIT).min(MAX_BALANCE),
            None => {
                self.tenants.insert(tenant.clone(), MAX_BALANCE);
            }
        }
    }

    /// Drops the balances of tenants that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&TenantId) -> bool) {
        self.tenants.retain(|t, _| configured(t));
    }

    fn withdraw(&mut self, tenant: &TenantId) -> bool {
        let Some(balance) = self.tenants.get_mut(tenant) else {
            return false;
        };
        if *balance < RETRY_COST || self.node < RETRY_COST {
            return false;
        }
        *balance -= RETRY_COST;
        self.node -= RETRY_COST;
        true
    }
}

/// Decides whether a request is retried after `attempt` attempts, and withdraws from the budget.
///
/// This must be the only layer that retries: another one above or below it would
/// multiply the attempts.
///
/// # Errors
/// The reason why the request is not retried.
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

/// Returns the wait before attempt `attempt + 1`: exponential backoff with full jitter.
pub fn backoff(attempt: u32, rng: &mut fastrand::Rng) -> Duration {
    let bound = FIRST_BACKOFF.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    bound.min(MAX_BACKOFF).mul_f64(rng.f64())
}
