//! What a node knows of each group's wholeness, and whether it may serve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, Incarnation, NodeId, value};
use smallvec::SmallVec;

use crate::evidence::verdict::{MissingReason, Verdict};
use crate::evidence::watch::MAX_WATCHERS;
use crate::rows::{GroupPhase, GroupRow};

/// Evidence older than this doesn't serve.
pub const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(2);
/// A watcher's silence about a host doesn't count against an answer that another watcher
/// got at most this much earlier: a cut between one watcher and a host is not the host's fault.
pub const SILENCE_GRACE: Duration = Duration::from_millis(700);
/// How long a watcher that has gone silent is believed about a member's restart.
pub const RESTART_RETENTION: Duration = Duration::from_secs(30);
/// Watchers remembered for each group; above [`MAX_WATCHERS`], since nodes disagree for a
/// while about who watches.
const REMEMBERED_WATCHERS: usize = 2 * MAX_WATCHERS;

value! { wire
    /// What a watcher pushes to the nodes that route to a group.
    pub struct Evidence {
        /// The watcher.
        pub watcher: NodeId,
        /// The watcher's start.
        pub incarnation: Incarnation,
        /// Counts this watcher's messages. Invariant: rises within one incarnation.
        pub sequence: u64,
        /// The group.
        pub group: GroupId,
        /// The epoch that was judged.
        pub epoch: Epoch,
        /// The member that requests are sent to.
        pub lead: HostId,
        /// The finding.
        pub verdict: Verdict,
        /// Age of the finding at receipt, counted from the oldest probe it rests on and
        /// including the way; see [`crate::AgeEstimator`].
        pub age: Duration,
    }

    /// How a group may be served.
    pub struct GroupEndpoint {
        /// The epoch to name in requests.
        pub epoch: Epoch,
        /// The member to send them to.
        pub lead: HostId,
    }
}

/// Why a group may not be served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServing {
    /// Nothing is known of the group.
    #[error("group is not known")]
    Unknown,
    /// Its row says that it ends.
    #[error("group is ending")]
    Ending,
    /// No watcher has said anything about this epoch.
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
    /// A member is not there.
    #[error("host {host} is missing: {reason:?}")]
    Missing {
        /// The member.
        host: HostId,
        /// Why it doesn't count.
        reason: MissingReason,
    },
}

/// A restart of a member after its group had been whole.
#[derive(Clone, Debug)]
struct Restart {
    watcher: NodeId,
    host: HostId,
    at: Instant,
}

/// The newest message of one watcher.
#[derive(Clone, Debug)]
struct Heard {
    watcher: NodeId,
    incarnation: Incarnation,
    sequence: u64,
    /// When the finding was made, on this node's clock.
    at: Instant,
    verdict: Verdict,
}

#[derive(Clone, Debug)]
struct Known {
    /// Invariant: never falls.
    epoch: Epoch,
    lead: HostId,
    /// Invariant: once set, stays for this epoch.
    ending: bool,
    /// The member that restarted after this epoch had been whole, and who said so.
    ///
    /// The other members hold connections and cache of a process that is gone,
    /// so another watcher's "whole" doesn't lift it: that watcher may have begun
    /// after the restart. The planner, which is told too, ends the epoch. Should
    /// the planner miss it, the record is lifted when the watcher that made it
    /// says otherwise or has been silent for [`RESTART_RETENTION`]; else the group
    /// would stay out of service for ever, as nobody else knows why.
    restarted: Option<Restart>,
    heard: SmallVec<[Heard; REMEMBERED_WATCHERS]>,
}

/// What a node knows of each group's wholeness.
#[derive(Clone, Debug, Default)]
pub struct EvidenceStore {
    groups: BTreeMap<GroupId, Known>,
}

impl EvidenceStore {
    /// Knows no group yet.
    pub fn new() -> EvidenceStore {
        EvidenceStore::default()
    }

    /// Takes a reading of a group's row; an older epoch than the one known changes nothing.
    pub fn on_row(&mut self, row: &GroupRow) {
        let Some(lead) = row.lead() else {
            return;
        };
        let known = self.at_epoch(&row.group, row.epoch, lead);
        if let Some(known) = known {
            known.ending |= row.phase != GroupPhase::Formed;
        }
    }

    /// Forgets a group whose row is gone.
    pub fn forget(&mut self, group: &str) {
        self.groups.remove(group);
    }

    /// Takes a watcher's message that arrived at `now`; whether it was news.
    ///
    /// Dropped are an older epoch, an older start of the watcher, and a message
    /// overtaken by a later one of the same watcher: none of them may bring
    /// back a group that has stopped.
    pub fn on_evidence(&mut self, evidence: &Evidence, now: Instant) -> bool {
        let Some(known) = self.at_epoch(&evidence.group, evidence.epoch, &evidence.lead) else {
            return false;
        };
        let Some(at) = now.checked_sub(evidence.age) else {
            return false;
        };
        if !known.hear(evidence, at) {
            return false;
        }
        known.ending |= evidence.verdict == Verdict::Ending;
        known.note_restart(evidence, at);
        true
    }

    /// Whether the group may be served at `now`, and as what.
    ///
    /// # Errors
    /// Says why not.
    pub fn serving(&self, group: &str, now: Instant) -> Result<GroupEndpoint, NotServing> {
        let known = self.groups.get(group).ok_or(NotServing::Unknown)?;
        known.may_serve(now)?;
        Ok(GroupEndpoint {
            epoch: known.epoch,
            lead: known.lead.clone(),
        })
    }

    /// The member of the group's newest epoch that restarted after it had been whole.
    pub fn restarted(&self, group: &str, epoch: Epoch) -> Option<&HostId> {
        let known = self.groups.get(group)?;
        let restart = known.restarted.as_ref().filter(|_| known.epoch == epoch);
        restart.map(|r| &r.host)
    }

    /// The newest epoch known of a group.
    pub fn epoch(&self, group: &str) -> Option<Epoch> {
        self.groups.get(group).map(|known| known.epoch)
    }

    /// Names of all groups known.
    pub fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.groups.keys()
    }

    /// The group as of `epoch`, made or raised to it; `None` when a later epoch is known.
    fn at_epoch(&mut self, group: &GroupId, epoch: Epoch, lead: &HostId) -> Option<&mut Known> {
        let known = self
            .groups
            .entry(group.clone())
            .or_insert_with(|| Known::new(epoch, lead));
        if known.epoch > epoch {
            return None;
        }
        if known.epoch < epoch {
            *known = Known::new(epoch, lead);
        }
        Some(known)
    }
}

impl Known {
    fn new(epoch: Epoch, lead: &HostId) -> Known {
        Known {
            epoch,
            lead: lead.clone(),
            ending: false,
            restarted: None,
            heard: SmallVec::new(),
        }
    }

    /// Remembers a message unless a later one of the same watcher is known.
    fn hear(&mut self, evidence: &Evidence, at: Instant) -> bool {
        let heard = Heard {
            watcher: evidence.watcher.clone(),
            incarnation: evidence.incarnation,
            sequence: evidence.sequence,
            at,
            verdict: evidence.verdict.clone(),
        };
        let order = |h: &Heard| (h.incarnation, h.sequence);
        if let Some(old) = self.heard.iter_mut().find(|h| h.watcher == heard.watcher) {
            if order(old) >= order(&heard) {
                return false;
            }
            *old = heard;
            return true;
        }
        if self.heard.len() == REMEMBERED_WATCHERS {
            self.drop_oldest();
        }
        self.heard.push(heard);
        true
    }

    fn note_restart(&mut self, evidence: &Evidence, at: Instant) {
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
                let same = |r: &Restart| r.watcher == evidence.watcher;
                if self.restarted.as_ref().is_some_and(same) {
                    self.restarted = None;
                }
            }
            _ => {}
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.heard.iter().enumerate().min_by_key(|(_, h)| h.at);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.heard.remove(index);
        }
    }

    fn may_serve(&self, now: Instant) -> Result<(), NotServing> {
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
        self.contradiction(whole, now)?;
        let epoch = self.epoch;
        let at = whole.ok_or(NotServing::NoEvidence { epoch })?;
        let age = now.saturating_duration_since(at);
        if age > EVIDENCE_MAX_AGE {
            return Err(NotServing::Stale { age });
        }
        Ok(())
    }

    fn newest_whole(&self) -> Option<Instant> {
        let whole = self.heard.iter().filter(|h| h.verdict == Verdict::Whole);
        whole.map(|h| h.at).max()
    }

    /// An error when a credible finding newer than `whole` says that a member is missing.
    fn contradiction(&self, whole: Option<Instant>, now: Instant) -> Result<(), NotServing> {
        for heard in &self.heard {
            let Verdict::Missing { host, reason } = &heard.verdict else {
                continue;
            };
            let grace = if reason.is_positive() {
                Duration::ZERO
            } else {
                SILENCE_GRACE
            };
            // A watcher that has gone quiet itself no longer speaks for the host.
            let fresh = now.saturating_duration_since(heard.at) <= EVIDENCE_MAX_AGE;
            let newer = whole.is_none_or(|whole| heard.at > whole + grace);
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
