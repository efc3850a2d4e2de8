//! A node's evidence about each group, and whether the group may serve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, Incarnation, NodeId, value};
use smallvec::SmallVec;

use crate::evidence::verdict::{MissingReason, Verdict};
use crate::evidence::watch::MAX_WATCHERS;
use crate::rows::{GroupPhase, GroupRow};

/// Maximum age of evidence on which a group may serve.
pub const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(2);
/// A watcher that gets no reply from a host is ignored if another watcher got one at most this
/// much earlier: the network may be partitioned between one watcher and the host.
pub const SILENCE_GRACE: Duration = Duration::from_millis(700);
/// How long a member's restart is remembered after the watcher that reported it went silent.
pub const RESTART_RETENTION: Duration = Duration::from_secs(30);
/// Findings kept for each group; more than [`MAX_WATCHERS`], since nodes may temporarily
/// disagree on the watchers.
const MAX_FINDINGS: usize = 2 * MAX_WATCHERS;

value! { wire
    /// A finding that a watcher sends to the nodes that route to a group.
    pub struct Evidence {
        /// The watcher.
        pub watcher: NodeId,
        /// The watcher's incarnation.
        pub incarnation: Incarnation,
        /// Message number. Invariant: increases within one incarnation of the watcher.
        pub sequence: u64,
        /// The group.
        pub group: GroupId,
        /// The epoch that was evaluated.
        pub epoch: Epoch,
        /// The member that requests are sent to.
        pub lead: HostId,
        /// The verdict.
        pub verdict: Verdict,
        /// Age of the verdict at receipt, counted from the oldest probe behind it and
        /// including the delivery delay; see [`crate::AgeEstimator`].
        pub age: Duration,
    }

    /// Where to send a group's requests.
    pub struct GroupEndpoint {
        /// The epoch to put into requests.
        pub epoch: Epoch,
        /// The member to send them to.
        pub lead: HostId,
    }
}

/// Why a group must not receive requests.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServing {
    /// The group is not known.
    #[error("group is not known")]
    Unknown,
    /// According to its row it is ending.
    #[error("group is ending")]
    Ending,
    /// No watcher has reported on this epoch.
    #[error("no evidence for epoch {epoch}")]
    NoEvidence {
        /// The newest epoch known.
        epoch: Epoch,
    },
    /// The newest evidence is too old.
    #[error("evidence is {age:?} old")]
    Stale {
        /// Its age.
        age: Duration,
    },
    /// A member is missing.
    #[error("host {host} is missing: {reason:?}")]
    Missing {
        /// The member.
        host: HostId,
        /// Why it counts as missing.
        reason: MissingReason,
    },
}

/// A restart of a member after its group was whole.
#[derive(Clone, Debug)]
struct Restart {
    watcher: NodeId,
    host: HostId,
    at: Instant,
}

/// The newest message of one watcher.
#[derive(Clone, Debug)]
struct Finding {
    watcher: NodeId,
    incarnation: Incarnation,
    sequence: u64,
    /// When the verdict held, on this node's clock.
    at: Instant,
    verdict: Verdict,
}

#[derive(Clone, Debug)]
struct GroupRecord {
    /// Invariant: never decreases.
    epoch: Epoch,
    lead: HostId,
    /// Invariant: never cleared within an epoch.
    ending: bool,
    /// The member that restarted after this epoch was whole, and the watcher that reported it.
    ///
    /// The other members hold connections and cache of a process that no longer exists, so a
    /// "whole" verdict of another watcher, which may have started after the restart, doesn't
    /// clear it. The planner also receives the report and ends the epoch. If the planner misses
    /// it, the restart is cleared once the reporting watcher retracts it or has been silent for
    /// [`RESTART_RETENTION`]; otherwise the group would stay out of service indefinitely.
    restarted: Option<Restart>,
    findings: SmallVec<[Finding; MAX_FINDINGS]>,
}

/// A node's evidence about each group.
#[derive(Clone, Debug, Default)]
pub struct EvidenceStore {
    groups: BTreeMap<GroupId, GroupRecord>,
}

impl EvidenceStore {
    /// Creates an empty store.
    pub fn new() -> EvidenceStore {
        EvidenceStore::default()
    }

    /// Updates a group from its row; an epoch older than the known one is ignored.
    pub fn on_row(&mut self, row: &GroupRow) {
        let Some(lead) = row.lead() else {
            return;
        };
        let record = self.at_epoch(&row.group, row.epoch, lead);
        if let Some(record) = record {
            record.ending |= row.phase != GroupPhase::Formed;
        }
    }

    /// Removes a group whose row was deleted.
    pub fn forget(&mut self, group: &str) {
        self.groups.remove(group);
    }

    /// Records a watcher's message that arrived at `now`; returns whether it was accepted.
    ///
    /// Messages of an older epoch or an older incarnation of the watcher, and messages overtaken
    /// by a later one of the same watcher, are dropped: none of them may return a stopped group to
    /// service.
    pub fn on_evidence(&mut self, evidence: &Evidence, now: Instant) -> bool {
        let Some(record) = self.at_epoch(&evidence.group, evidence.epoch, &evidence.lead) else {
            return false;
        };
        let Some(at) = now.checked_sub(evidence.age) else {
            return false;
        };
        if !record.record_finding(evidence, at) {
            return false;
        }
        record.ending |= evidence.verdict == Verdict::Ending;
        record.record_restart(evidence, at);
        true
    }

    /// Where to send the group's requests at `now`.
    ///
    /// # Errors
    /// Returns why the group must not receive requests.
    pub fn serving(&self, group: &str, now: Instant) -> Result<GroupEndpoint, NotServing> {
        let record = self.groups.get(group).ok_or(NotServing::Unknown)?;
        record.check_serving(now)?;
        Ok(GroupEndpoint {
            epoch: record.epoch,
            lead: record.lead.clone(),
        })
    }

    /// The member that restarted after the group was whole, if `epoch` is the newest known.
    pub fn restarted(&self, group: &str, epoch: Epoch) -> Option<&HostId> {
        let record = self.groups.get(group)?;
        let restart = record.restarted.as_ref().filter(|_| record.epoch == epoch);
        restart.map(|r| &r.host)
    }

    /// The newest known epoch of a group.
    pub fn epoch(&self, group: &str) -> Option<Epoch> {
        self.groups.get(group).map(|record| record.epoch)
    }

    /// Names of all known groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.groups.keys()
    }

    /// The record of the group at `epoch`, created or reset if needed; `None` if a later epoch is
    /// known.
    fn at_epoch(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        lead: &HostId,
    ) -> Option<&mut GroupRecord> {
        let record = self
            .groups
            .entry(group.clone())
            .or_insert_with(|| GroupRecord::new(epoch, lead));
        if record.epoch > epoch {
            return None;
        }
        if record.epoch < epoch {
            *record = GroupRecord::new(epoch, lead);
        }
        Some(record)
    }
}

impl GroupRecord {
    fn new(epoch: Epoch, lead: &HostId) -> GroupRecord {
        GroupRecord {
            epoch,
            lead: lead.clone(),
            ending: false,
            restarted: None,
            findings: SmallVec::new(),
        }
    }

    /// Stores a message unless a later one of the same watcher is known.
    fn record_finding(&mut self, evidence: &Evidence, at: Instant) -> bool {
        let finding = Finding {
            watcher: evidence.watcher.clone(),
            incarnation: evidence.incarnation,
            sequence: evidence.sequence,
            at,
            verdict: evidence.verdict.clone(),
        };
        let position = |f: &Finding| (f.incarnation, f.sequence);
        if let Some(old) = self
            .findings
            .iter_mut()
            .find(|f| f.watcher == finding.watcher)
        {
            if position(old) >= position(&finding) {
                return false;
            }
            *old = finding;
            return true;
        }
        if self.findings.len() == MAX_FINDINGS {
            self.drop_oldest();
        }
        self.findings.push(finding);
        true
    }

    fn record_restart(&mut self, evidence: &Evidence, at: Instant) {
        match &evidence.verdict {
            Verdict::Missing {
                host,
                reason: MissingReason::Restarted,
            } => {
                self.restarted = Some(Restart {
                    watcher: evidence.watcher.clone(),
                    host: host.clone(),
                    at,
                });
            }
            Verdict::Whole => {
                let same_watcher = |r: &Restart| r.watcher == evidence.watcher;
                if self.restarted.as_ref().is_some_and(same_watcher) {
                    self.restarted = None;
                }
            }
            _ => {}
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.findings.iter().enumerate().min_by_key(|(_, f)| f.at);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.findings.remove(index);
        }
    }

    fn check_serving(&self, now: Instant) -> Result<(), NotServing> {
        if self.ending {
            return Err(NotServing::Ending);
        }
        let recent = |r: &&Restart| now.saturating_duration_since(r.at) <= RESTART_RETENTION;
        if let Some(restart) = self.restarted.as_ref().filter(recent) {
            return Err(NotServing::Missing {
                host: restart.host.clone(),
                reason: MissingReason::Restarted,
            });
        }
        let whole = self.newest_whole();
        self.check_missing(whole, now)?;
        let epoch = self.epoch;
        let at = whole.ok_or(NotServing::NoEvidence { epoch })?;
        let age = now.saturating_duration_since(at);
        if age > EVIDENCE_MAX_AGE {
            return Err(NotServing::Stale { age });
        }
        Ok(())
    }

    fn newest_whole(&self) -> Option<Instant> {
        let whole = self.findings.iter().filter(|f| f.verdict == Verdict::Whole);
        whole.map(|f| f.at).max()
    }

    /// Returns an error if a recent finding newer than `whole` says that a member is missing.
    fn check_missing(&self, whole: Option<Instant>, now: Instant) -> Result<(), NotServing> {
        for finding in &self.findings {
            let Verdict::Missing { host, reason } = &finding.verdict else {
                continue;
            };
            let grace = if reason.is_reported() {
                Duration::ZERO
            } else {
                SILENCE_GRACE
            };
            // Findings of a watcher that has itself become silent are ignored.
            let fresh = now.saturating_duration_since(finding.at) <= EVIDENCE_MAX_AGE;
            let newer = whole.is_none_or(|whole| finding.at > whole + grace);
            if fresh && newer {
                return Err(NotServing::Missing {
                    host: host.clone(),
                    reason: *reason,
                });
            }
        }
        Ok(())
    }
}
