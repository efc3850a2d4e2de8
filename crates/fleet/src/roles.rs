//! Which node takes on work for the others: planning, scheduling, relaying lists.
//!
//! Entry hosts differ in processor. A role that serves all nodes costs several times what a
//! node's own callers cost, so that on a small host it would saturate and stall every node.

use eelgrassmill_base::{FailureDomain, NodeId, rendezvous, value};

/// Nodes with this part of the largest processor or more may take a role.
const MIN_PROCESSOR_RATIO: f64 = 0.5;

value! { copy
    /// A node that could take a role.
    pub struct RoleCandidate<'n> {
        /// Its name.
        pub id: &'n NodeId,
        /// Its failure domain.
        pub failure_domain: &'n FailureDomain,
        /// Processor that it may use, in thousandths of a core; 0 where it doesn't say.
        pub processor: u32,
    }
}

/// The candidates with the most processor, within [`MIN_PROCESSOR_RATIO`] of the largest.
pub fn strongest<'n>(
    candidates: impl IntoIterator<Item = RoleCandidate<'n>>,
) -> Vec<RoleCandidate<'n>> {
    let mut strong: Vec<RoleCandidate<'n>> = candidates.into_iter().collect();
    let most = strong.iter().map(|c| c.processor).max().unwrap_or(0);
    let least = f64::from(most) * MIN_PROCESSOR_RATIO;
    strong.retain(|c| f64::from(c.processor) >= least);
    strong
}

/// The nodes that may take the role named `key`, the first choice first: the strongest, those
/// in failure domain `near` before others. Nodes that see the same candidates agree.
pub fn ranked_for_role<'n>(
    key: &str,
    near: Option<&FailureDomain>,
    candidates: impl IntoIterator<Item = RoleCandidate<'n>>,
) -> Vec<&'n NodeId> {
    let is_near = |c: &RoleCandidate<'_>| near == Some(c.failure_domain);
    let (close, far): (Vec<_>, Vec<_>) = strongest(candidates).into_iter().partition(is_near);
    let ranked = |some: Vec<RoleCandidate<'n>>| rendezvous(key, some.into_iter().map(|c| c.id));
    let mut all = ranked(close);
    all.extend(ranked(far));
    all
}
