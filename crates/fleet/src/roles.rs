//! Selection of nodes for shared roles: planning, scheduling and relaying lists.
//!
//! Entry hosts differ in processor capacity. A role that serves all nodes costs several times as
//! much as a node's own callers, so a small host would saturate and delay every node.

use eelgrassmill_base::{FailureDomain, NodeId, rendezvous, value};

/// Minimum processor capacity of a node that takes a role, as a fraction of the largest.
const MIN_PROCESSOR_RATIO: f64 = 0.5;

value! { copy
    /// A candidate for a role.
    pub struct RoleCandidate<'n> {
        /// Its name.
        pub id: &'n NodeId,
        /// Its failure domain.
        pub failure_domain: &'n FailureDomain,
        /// Processor capacity that it may use, in thousandths of a core; 0 if unknown.
        pub processor: u32,
    }
}

/// The candidates with at least [`MIN_PROCESSOR_RATIO`] of the largest processor capacity.
pub fn strongest<'n>(
    candidates: impl IntoIterator<Item = RoleCandidate<'n>>,
) -> Vec<RoleCandidate<'n>> {
    let mut strong: Vec<RoleCandidate<'n>> = candidates.into_iter().collect();
    let most = strong.iter().map(|c| c.processor).max().unwrap_or(0);
    let least = f64::from(most) * MIN_PROCESSOR_RATIO;
    strong.retain(|c| f64::from(c.processor) >= least);
    strong
}

/// The nodes that may take the role `key`, by descending preference: the [`strongest`] ones, those
/// in failure domain `near` first, ordered by rendezvous hashing. Nodes that see the same
/// candidates get the same order.
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
