//! Wholeness of all groups as this node knows it, from its own probes and from peers.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{Epoch, GroupId, HostId, Incarnation, NodeId};
use eelgrassmill_group::{Evidence, EvidenceStore, GroupEndpoint, GroupRow, NotServing, Verdict};

/// One watcher's last word on one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) lead: HostId,
    /// The start of the lead that the group was found whole with; 0 in other findings.
    pub(crate) lead_start: Incarnation,
    pub(crate) verdict: Verdict,
}

struct Watcher {
    incarnation: Incarnation,
    findings: BTreeMap<GroupId, Finding>,
}

/// A change of what may be served, for the time line and the downtime count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Turned {
    Whole {
        group: GroupId,
        epoch: Epoch,
    },
    Broken {
        group: GroupId,
        epoch: Epoch,
        why: NotServing,
    },
}

/// The evidence store, fed with messages in the order in which this node learned of them.
///
/// Dissemination gives each watcher's findings in the watcher's order and
/// confirms unchanged ones in one message; the store wants each as a message
/// of its own with a rising sequence, which `heard` supplies.
#[derive(Default)]
pub(crate) struct Wholeness {
    store: EvidenceStore,
    watchers: BTreeMap<NodeId, Watcher>,
    heard: u64,
    serving: BTreeMap<GroupId, Epoch>,
}

impl Wholeness {
    pub(crate) fn on_row(&mut self, row: &GroupRow) {
        self.store.on_row(row);
    }

    pub(crate) fn forget(&mut self, group: &str) {
        self.store.forget(group);
        for watcher in self.watchers.values_mut() {
            watcher.findings.remove(group);
        }
    }

    /// Takes a finding that held at `as_of` on this node's clock.
    pub(crate) fn on_finding(
        &mut self,
        watcher: &NodeId,
        incarnation: Incarnation,
        finding: Finding,
        as_of: Instant,
        now: Instant,
    ) {
        self.tell(watcher, incarnation, &finding, as_of, now);
        let known = self.watchers.entry(watcher.clone()).or_insert(Watcher {
            incarnation,
            findings: BTreeMap::new(),
        });
        if known.incarnation != incarnation {
            known.incarnation = incarnation;
            known.findings.clear();
        }
        known.findings.insert(finding.group.clone(), finding);
    }

    /// Everything that the watcher said still held at `as_of`.
    pub(crate) fn on_confirmed(
        &mut self,
        watcher: &NodeId,
        incarnation: Incarnation,
        as_of: Instant,
        now: Instant,
    ) {
        let Some(known) = self.watchers.get(watcher) else {
            return;
        };
        if known.incarnation != incarnation {
            return;
        }
        let findings: Vec<Finding> = known.findings.values().cloned().collect();
        for finding in findings {
            self.tell(watcher, incarnation, &finding, as_of, now);
        }
    }

    pub(crate) fn withdraw(&mut self, watcher: &NodeId, group: &str) {
        if let Some(known) = self.watchers.get_mut(watcher) {
            known.findings.remove(group);
        }
    }

    pub(crate) fn forget_watcher(&mut self, watcher: &str) {
        self.watchers.remove(watcher);
    }

    pub(crate) fn serving(&self, group: &str, now: Instant) -> Result<GroupEndpoint, NotServing> {
        self.store.serving(group, now)
    }

    /// The start of the lead that the group was last found whole with in this epoch.
    pub(crate) fn lead_start(&self, group: &str, epoch: Epoch) -> Option<Incarnation> {
        let findings = self.watchers.values().filter_map(|w| w.findings.get(group));
        let starts = findings.filter(|f| f.epoch == epoch).map(|f| f.lead_start);
        starts.filter(|start| *start > 0).max()
    }

    pub(crate) fn restarted(&self, group: &str, epoch: Epoch) -> Option<&HostId> {
        self.store.restarted(group, epoch)
    }

    /// What turned since the last call, over the groups whose rows are given.
    pub(crate) fn turned<'a>(
        &mut self,
        rows: impl IntoIterator<Item = &'a GroupRow>,
        now: Instant,
    ) -> Vec<Turned> {
        let mut turned = Vec::new();
        for row in rows {
            let was = self.serving.get(&row.group).copied();
            match self.store.serving(&row.group, now) {
                Ok(as_now) if was != Some(as_now.epoch) => {
                    self.serving.insert(row.group.clone(), as_now.epoch);
                    turned.push(Turned::Whole {
                        group: row.group.clone(),
                        epoch: as_now.epoch,
                    });
                }
                Ok(_) => {}
                Err(why) => {
                    if let Some(epoch) = self.serving.remove(&row.group) {
                        turned.push(Turned::Broken {
                            group: row.group.clone(),
                            epoch,
                            why,
                        });
                    }
                }
            }
        }
        turned
    }

    fn tell(
        &mut self,
        watcher: &NodeId,
        incarnation: Incarnation,
        finding: &Finding,
        as_of: Instant,
        now: Instant,
    ) {
        self.heard += 1;
        let evidence = Evidence {
            watcher: watcher.clone(),
            incarnation,
            sequence: self.heard,
            group: finding.group.clone(),
            epoch: finding.epoch,
            lead: finding.lead.clone(),
            verdict: finding.verdict.clone(),
            age: now.saturating_duration_since(as_of),
        };
        self.store.on_evidence(&evidence, now);
    }
}
