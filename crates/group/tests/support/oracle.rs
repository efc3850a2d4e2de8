//! Invariants that must hold in every state, independent of the tested policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassmill_base::{Order, OrderKind};
use eelgrassmill_group::{
    EVIDENCE_MAX_AGE, EvidenceStore, GroupPhase, RowValue, Transaction, host_key,
};
use smol_str::SmolStr;

use crate::sim::FakeHost;
use crate::support::cluster::Table;

/// Host, group and epoch.
type Membership = (SmolStr, SmolStr, u64);

/// Records the true state of the cluster and panics if an invariant is violated.
#[derive(Default)]
pub(crate) struct Oracle {
    /// When each host was last up and ready as a member.
    last_ready: BTreeMap<Membership, Instant>,
    /// All epochs formed so far.
    epochs: BTreeSet<u64>,
    fences: BTreeMap<SmolStr, u64>,
}

impl Oracle {
    pub(crate) fn record_hosts(&mut self, hosts: &BTreeMap<SmolStr, FakeHost>, now: Instant) {
        for (id, host) in hosts.iter().filter(|(_, h)| h.is_up() && h.is_ready()) {
            if let Some(placement) = &host.placement {
                let key = (id.clone(), placement.group.clone(), placement.epoch);
                self.last_ready.insert(key, now);
            }
        }
    }

    /// Checks a committed transaction: only the planner named in the table writes groups, each
    /// formed group has a new epoch, and fences never decrease.
    pub(crate) fn record_commit(
        &mut self,
        transaction: &Transaction,
        by: &str,
        planner: Option<&str>,
    ) {
        for put in &transaction.puts {
            match &put.value {
                RowValue::Group(row) => {
                    assert_eq!(
                        planner,
                        Some(by),
                        "a node that is not the planner wrote {row:?}"
                    );
                    if row.phase != GroupPhase::Ending {
                        assert!(self.epochs.insert(row.epoch), "epoch used twice: {row:?}");
                    }
                }
                RowValue::Host(row) => {
                    let fence = self.fences.entry(row.host.clone()).or_default();
                    assert!(row.fence >= *fence, "fence decreased: {row:?}");
                    *fence = row.fence;
                }
                _ => {}
            }
        }
    }

    /// Checks that a host that checks orders never returns to an older epoch.
    pub(crate) fn check_order(
        &self,
        order: &Order,
        checks: bool,
        before: Option<u64>,
        after: Option<u64>,
    ) {
        if checks && order.kind == OrderKind::Join {
            assert!(
                after >= before,
                "{} obeyed an older order: {order:?}",
                order.host
            );
        }
    }

    pub(crate) fn check(
        &self,
        table: &Table,
        hosts: &BTreeMap<SmolStr, FakeHost>,
        entry: &EvidenceStore,
        now: Instant,
    ) {
        self.check_table(table);
        for group in entry.groups() {
            let Ok(serving) = entry.serving(group, now) else {
                continue;
            };
            let row = table
                .groups()
                .find(|g| g.group == *group && g.epoch == serving.epoch);
            for host in row.iter().flat_map(|row| &row.members) {
                let key = (host.clone(), group.clone(), serving.epoch);
                let seen = self.last_ready.get(&key);
                let late = seen.is_none_or(|at| now.duration_since(*at) > EVIDENCE_MAX_AGE);
                let state = &hosts[host];
                assert!(
                    !late,
                    "{group} is served without {host}, last ready {seen:?}: {state:?}"
                );
            }
        }
    }

    /// Checks that every member of a live group is bound to it and so to no other.
    fn check_table(&self, table: &Table) {
        for group in table.groups().filter(|g| g.phase != GroupPhase::Ending) {
            for member in &group.members {
                let Some((_, RowValue::Host(row))) = table.rows.get(&host_key(member)) else {
                    panic!("{member} has no row but is in {group:?}");
                };
                let bound = (row.group.as_ref(), row.epoch);
                assert_eq!(
                    bound,
                    (Some(&group.group), group.epoch),
                    "{member} in {group:?}"
                );
            }
        }
    }
}
