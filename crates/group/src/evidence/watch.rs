//! Watcher selection, and one watcher's view of a group.

use std::time::Instant;

use eelgrassmill_base::{HostId, HostReport, Incarnation, NodeId, rendezvous};
use smallvec::SmallVec;

use crate::evidence::verdict::{MissingReason, Verdict, check_age, member_problem, more_severe};
use crate::rows::{GroupPhase, GroupRow, NodeRow, NodeState};

/// Maximum number of watchers of one group.
pub const MAX_WATCHERS: usize = 3;

/// Watchers of one group, highest ranked first.
pub type WatcherList = SmallVec<[NodeId; MAX_WATCHERS]>;

/// The nodes that watch `group`: the highest ranked by rendezvous hashing, in different failure
/// domains.
///
/// Leaving nodes are excluded. If there are fewer failure domains than [`MAX_WATCHERS`], the
/// remaining watchers come from domains that already have one.
pub fn watchers<'a>(group: &str, nodes: impl IntoIterator<Item = &'a NodeRow>) -> WatcherList {
    let candidates: Vec<Candidate<'a>> = nodes
        .into_iter()
        .filter(|node| node.state == NodeState::Serving)
        .map(Candidate)
        .collect();
    let ranked = rendezvous(group, &candidates);
    let mut chosen: SmallVec<[&NodeRow; MAX_WATCHERS]> = SmallVec::new();
    let in_new_domain = |chosen: &[&NodeRow], node: &NodeRow| {
        chosen
            .iter()
            .all(|c| c.failure_domain != node.failure_domain)
    };
    for candidate in &ranked {
        if chosen.len() < MAX_WATCHERS && in_new_domain(&chosen, candidate.0) {
            chosen.push(candidate.0);
        }
    }
    for candidate in &ranked {
        let known = chosen.iter().any(|c| c.node == candidate.0.node);
        if chosen.len() < MAX_WATCHERS && !known {
            chosen.push(candidate.0);
        }
    }
    chosen.into_iter().map(|row| row.node.clone()).collect()
}

struct Candidate<'a>(&'a NodeRow);

impl AsRef<str> for Candidate<'_> {
    fn as_ref(&self) -> &str {
        &self.0.node
    }
}

/// A watcher's state of one member.
#[derive(Clone, Debug)]
struct Member {
    host: HostId,
    /// Its incarnation when the group was first whole.
    bound_incarnation: Option<Incarnation>,
    last: Option<LatestReport>,
}

#[derive(Clone, Copy, Debug)]
struct LatestReport {
    /// When the probe was sent.
    sent: Instant,
    incarnation: Incarnation,
    /// Why the report shows the member as missing, if it does.
    member_problem: Option<MissingReason>,
}

/// One watcher's view of one epoch of a group.
///
/// A report costs one comparison with the row and a verdict one pass over the members; neither
/// depends on the number of groups.
#[derive(Clone, Debug)]
pub struct GroupWatch {
    row: GroupRow,
    members: Vec<Member>,
}

impl GroupWatch {
    /// Starts watching the group described by `row`.
    pub fn new(row: GroupRow) -> GroupWatch {
        let members = row.members.iter().map(|host| Member {
            host: host.clone(),
            bound_incarnation: None,
            last: None,
        });
        GroupWatch {
            members: members.collect(),
            row,
        }
    }

    /// The row that reports are compared with.
    pub fn row(&self) -> &GroupRow {
        &self.row
    }

    /// Updates the row; reports of an older epoch are dropped.
    pub fn set_row(&mut self, row: GroupRow) {
        if row.epoch > self.row.epoch {
            *self = GroupWatch::new(row);
        } else if row.epoch == self.row.epoch && self.row.phase != GroupPhase::Ending {
            self.row = row;
        }
    }

    /// Records a host's report in response to a probe sent at `sent`.
    ///
    /// Reports of other hosts and responses to older probes are ignored.
    pub fn on_report(&mut self, report: &HostReport, sent: Instant) {
        let Some(member) = self.members.iter_mut().find(|m| m.host == report.host) else {
            return;
        };
        if member.last.is_some_and(|seen| seen.sent >= sent) {
            return;
        }
        member.last = Some(LatestReport {
            sent,
            incarnation: report.incarnation,
            member_problem: member_problem(&self.row, report, member.bound_incarnation),
        });
    }

    /// The verdict at `now`, and the instant as of which it holds: when the oldest probe behind a
    /// whole group was sent, or the probe that found a problem.
    ///
    /// A problem is dated by its probe rather than by `now`. Otherwise a probe from before the
    /// members were ordered to join would override another watcher's newer one, and a group that
    /// has just become whole would stop serving until the next round.
    ///
    /// The first time that the group is whole in this epoch, its members' incarnations are
    /// recorded: a member that restarts later has lost its state, whatever it reports.
    pub fn verdict(&mut self, now: Instant) -> (Verdict, Instant) {
        if self.row.phase != GroupPhase::Formed {
            return (Verdict::Ending, now);
        }
        let mut most_severe = None;
        let mut oldest = now;
        for member in &self.members {
            let (reason, as_of) = match member.last {
                Some(seen) => match check_age(seen.sent, now) {
                    Some(silent) => (Some(silent), now),
                    None => (seen.member_problem, seen.sent),
                },
                None => (Some(MissingReason::Silent), now),
            };
            most_severe = more_severe(
                most_severe,
                reason.map(|reason| (reason, (&member.host, as_of))),
            );
            oldest = member.last.map_or(oldest, |seen| oldest.min(seen.sent));
        }
        if let Some((reason, (host, as_of))) = most_severe {
            let host = host.clone();
            return (Verdict::Missing { host, reason }, as_of);
        }
        self.bind_incarnations();
        (Verdict::Whole, oldest)
    }

    /// When the probe behind the member's newest report was sent.
    pub fn last_answer(&self, host: &str) -> Option<Instant> {
        let member = self.members.iter().find(|m| m.host == host)?;
        member.last.map(|seen| seen.sent)
    }

    fn bind_incarnations(&mut self) {
        for member in &mut self.members {
            let now_as = member.last.map(|seen| seen.incarnation);
            member.bound_incarnation = member.bound_incarnation.or(now_as);
        }
    }
}
