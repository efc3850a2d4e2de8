//! Who watches a group, and one watcher's running findings about it.

use std::time::Instant;

use eelgrassmill_base::{HostId, HostReport, Incarnation, NodeId, rendezvous};
use smallvec::SmallVec;

use crate::evidence::verdict::{MissingReason, Verdict, aged, fault, graver};
use crate::rows::{GroupPhase, GroupRow, NodeRow, NodeState};

/// Most watchers of one group.
pub const MAX_WATCHERS: usize = 3;

/// Watchers of one group, the best first.
pub type WatcherList = SmallVec<[NodeId; MAX_WATCHERS]>;

/// The nodes that watch `group`: the first by rendezvous hashing in different failure domains.
///
/// Nodes that are leaving don't watch. Where there are fewer failure domains
/// than watchers wanted, the rest come from those that have one already.
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

/// What a watcher keeps of one member.
#[derive(Clone, Debug)]
struct Member {
    host: HostId,
    /// Incarnation that it had when the group was found whole.
    whole_as: Option<Incarnation>,
    last: Option<Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    /// When the probe was sent that the report answers.
    sent: Instant,
    incarnation: Incarnation,
    /// What the report says against the member.
    fault: Option<MissingReason>,
}

/// One watcher's running findings about one epoch of a group.
///
/// A report costs one comparison with the row, a verdict one pass over the
/// members; neither depends on how many groups there are.
#[derive(Clone, Debug)]
pub struct GroupWatch {
    row: GroupRow,
    members: Vec<Member>,
}

impl GroupWatch {
    /// Starts watching the group as `row` says.
    pub fn new(row: GroupRow) -> GroupWatch {
        let members = row.members.iter().map(|host| Member {
            host: host.clone(),
            whole_as: None,
            last: None,
        });
        GroupWatch {
            members: members.collect(),
            row,
        }
    }

    /// The row that is judged by.
    pub fn row(&self) -> &GroupRow {
        &self.row
    }

    /// Takes a newer reading of the row; findings about an older epoch are dropped.
    pub fn set_row(&mut self, row: GroupRow) {
        if row.epoch > self.row.epoch {
            *self = GroupWatch::new(row);
        } else if row.epoch == self.row.epoch && self.row.phase != GroupPhase::Ending {
            self.row = row;
        }
    }

    /// Takes a host's report that answers a probe sent at `sent`.
    ///
    /// Reports of other hosts and answers to older probes are ignored.
    pub fn on_report(&mut self, report: &HostReport, sent: Instant) {
        let Some(member) = self.members.iter_mut().find(|m| m.host == report.host) else {
            return;
        };
        if member.last.is_some_and(|seen| seen.sent >= sent) {
            return;
        }
        member.last = Some(Seen {
            sent,
            incarnation: report.incarnation,
            fault: fault(&self.row, report, member.whole_as),
        });
    }

    /// The finding at `now`, and the instant as of which it holds: the sending of the
    /// oldest probe that a whole group rests on, or of the probe that found a fault.
    ///
    /// A fault counts from its probe and not from now. A probe from before the
    /// members were ordered to join would otherwise contradict another watcher's
    /// newer one, and stop a group that has just become whole until the next round.
    ///
    /// A group found whole for the first time in this epoch binds its members'
    /// incarnations: a member that restarts later holds nothing, whatever it says.
    pub fn verdict(&mut self, now: Instant) -> (Verdict, Instant) {
        if self.row.phase != GroupPhase::Formed {
            return (Verdict::Ending, now);
        }
        let mut worst = None;
        let mut oldest = now;
        for member in &self.members {
            let (reason, held_at) = match member.last {
                Some(seen) => match aged(seen.sent, now) {
                    Some(silent) => (Some(silent), now),
                    None => (seen.fault, seen.sent),
                },
                None => (Some(MissingReason::Silent), now),
            };
            worst = graver(
                worst,
                reason.map(|reason| (reason, (&member.host, held_at))),
            );
            oldest = member.last.map_or(oldest, |seen| oldest.min(seen.sent));
        }
        if let Some((reason, (host, held_at))) = worst {
            let host = host.clone();
            return (Verdict::Missing { host, reason }, held_at);
        }
        self.bind_incarnations();
        (Verdict::Whole, oldest)
    }

    /// When the probe was sent that the member's newest report answers.
    pub fn last_answer(&self, host: &str) -> Option<Instant> {
        let member = self.members.iter().find(|m| m.host == host)?;
        member.last.map(|seen| seen.sent)
    }

    fn bind_incarnations(&mut self) {
        for member in &mut self.members {
            let now_as = member.last.map(|seen| seen.incarnation);
            member.whole_as = member.whole_as.or(now_as);
        }
    }
}
