//! Watching groups and plain targets: probing their hosts and telling the other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use eelgrassmill_base::{GroupId, HostId, NodeId};
use eelgrassmill_group::{GroupRow, GroupWatch, MissingReason, REPORT_MAX_AGE, Verdict};
use eelgrassmill_peer::{Item, ItemKey, LeavingTarget, PeerNode};
use eelgrassmill_timeline::EventKind;
use smol_str::{SmolStr, format_smolstr};

use super::probe::ProbePool;
use crate::peers::{Peers, health_report};
use crate::state::core::Core;
use crate::state::lock::lock;
use crate::state::wholeness::Finding;

/// Prefix of the names under which findings on plain targets travel.
const TARGET_PREFIX: &str = "target/";
/// Findings are made this many times in one probe interval: a host that
/// answered "not here" is told of well before the next probe.
pub(crate) const JUDGEMENTS_PER_PROBE: u32 = 4;

/// Name under which a plain target's findings travel.
pub(crate) fn target_name(host: &str) -> GroupId {
    format_smolstr!("{TARGET_PREFIX}{host}")
}

/// What is watched this round.
struct Task {
    /// Rows of the groups watched here.
    rows: Vec<GroupRow>,
    /// Plain targets watched here.
    plain: Vec<HostId>,
    /// Addresses of all hosts of both.
    addresses: BTreeMap<HostId, SmolStr>,
}

/// Probes the hosts of the groups that this node watches.
pub(crate) struct Watcher {
    core: Arc<Core>,
    peer: Arc<PeerNode<Peers>>,
    pool: Arc<ProbePool>,
    watches: BTreeMap<GroupId, GroupWatch>,
    published: BTreeMap<GroupId, Finding>,
    leaving: BTreeSet<HostId>,
    round: u32,
}

impl Watcher {
    pub(crate) fn new(
        core: Arc<Core>,
        peer: Arc<PeerNode<Peers>>,
        pool: Arc<ProbePool>,
    ) -> Watcher {
        Watcher {
            core,
            peer,
            pool,
            watches: BTreeMap::new(),
            published: BTreeMap::new(),
            leaving: BTreeSet::new(),
            round: 0,
        }
    }

    /// One round of findings; every fourth one also sends probes.
    pub(crate) fn step(&mut self) {
        let task = self.task();
        if self.round.is_multiple_of(JUDGEMENTS_PER_PROBE) {
            for (host, address) in &task.addresses {
                self.pool.ask(host, address.clone());
            }
        }
        self.round = self.round.wrapping_add(1);
        let findings = self.judge(&task);
        self.publish(findings);
        self.publish_leaving(task.addresses.keys());
    }

    fn task(&self) -> Task {
        let cfg = self.core.config.config();
        let plain = self.core.plain_targets(&cfg);
        let mut fleet = lock(&self.core.fleet);
        let me = &self.core.ident.node;
        let mut groups: Vec<GroupId> = fleet.groups.keys().cloned().collect();
        groups.retain(|group| fleet.watchers(group).contains(me));
        let rows = groups.iter().filter_map(|group| fleet.groups.get(group));
        let rows: Vec<GroupRow> = rows.map(|(row, _)| row.clone()).collect();
        let plain: Vec<HostId> = plain
            .into_iter()
            .filter(|host| fleet.watchers(&target_name(host)).contains(me))
            .collect();
        let hosts = rows.iter().flat_map(|row| &row.members).chain(&plain);
        let addresses = hosts
            .filter_map(|host| Some((host.clone(), fleet.address(host)?)))
            .collect();
        Task {
            rows,
            plain,
            addresses,
        }
    }

    /// All findings, each with the instant as of which it holds.
    fn judge(&mut self, task: &Task) -> Vec<(Finding, Instant)> {
        let now = Instant::now();
        let mut findings = Vec::new();
        self.watches
            .retain(|group, _| task.rows.iter().any(|row| row.group == *group));
        for row in &task.rows {
            let watch = self
                .watches
                .entry(row.group.clone())
                .or_insert_with(|| GroupWatch::new(row.clone()));
            watch.set_row(row.clone());
            for host in &row.members {
                if let Some(answered) = self.core.reports.get(host) {
                    watch.on_report(&answered.report, answered.sent);
                }
            }
            let (verdict, as_of) = watch.verdict(now);
            let Some(lead) = watch.row().lead().cloned() else {
                continue;
            };
            let report = self.core.reports.get(&lead);
            let lead_start = match verdict {
                Verdict::Whole => report.map_or(0, |answered| answered.report.incarnation),
                _ => 0,
            };
            let finding = Finding {
                group: row.group.clone(),
                epoch: watch.row().epoch,
                lead,
                lead_start,
                verdict,
            };
            findings.push((finding, as_of));
        }
        for host in &task.plain {
            findings.push(self.judge_plain(host, now));
        }
        findings
    }

    fn judge_plain(&self, host: &HostId, now: Instant) -> (Finding, Instant) {
        let fresh = self
            .core
            .reports
            .get(host)
            .filter(|answered| now.saturating_duration_since(answered.sent) <= REPORT_MAX_AGE);
        let verdict = match &fresh {
            Some(_) => Verdict::Whole,
            None => Verdict::Missing {
                host: host.clone(),
                reason: MissingReason::Silent,
            },
        };
        let finding = Finding {
            group: target_name(host),
            epoch: 0,
            lead: host.clone(),
            lead_start: 0,
            verdict,
        };
        (finding, fresh.map_or(now, |answered| answered.sent))
    }

    /// Takes the findings at this node and publishes those that changed.
    fn publish(&mut self, findings: Vec<(Finding, Instant)>) {
        let now = Instant::now();
        // Everything told so far held at the oldest of these instants.
        let as_of_all = findings.iter().map(|(_, as_of)| *as_of).min();
        let me: &NodeId = &self.core.ident.node;
        let mut whole = lock(&self.core.whole);
        for (finding, as_of) in &findings {
            let incarnation = self.core.ident.incarnation;
            whole.on_finding(me, incarnation, finding.clone(), *as_of, now);
        }
        drop(whole);
        let kept: BTreeSet<&GroupId> = findings.iter().map(|(f, _)| &f.group).collect();
        let dropped: Vec<GroupId> = self
            .published
            .keys()
            .filter(|group| !kept.contains(group))
            .cloned()
            .collect();
        for group in dropped {
            self.published.remove(&group);
            lock(&self.core.whole).withdraw(me, &group);
            self.peer.withdraw(&ItemKey::Health(group));
        }
        for (finding, as_of) in findings {
            if self.published.get(&finding.group) == Some(&finding) {
                continue;
            }
            let item = Item::Health(health_report(&finding));
            self.peer.with_state(|state| state.publish(item, as_of));
            self.published.insert(finding.group.clone(), finding);
        }
        self.peer.confirm(as_of_all.unwrap_or(now));
    }

    /// Hosts that the list says are leaving, at nodes that read it often.
    ///
    /// They tell the others, which read it too seldom to stop sending in time.
    fn listed_leaving(&self) -> BTreeSet<HostId> {
        let fleet = lock(&self.core.fleet);
        match fleet.is_reader(&self.core.ident.node) {
            true => fleet.listed_leaving().cloned().collect(),
            false => BTreeSet::new(),
        }
    }

    fn who_says(&self, host: &HostId) -> &'static str {
        let fleet = lock(&self.core.fleet);
        let listed = fleet.listed_leaving().any(|listed| listed == host);
        match listed {
            true => "the host list says so",
            false => "the target says so",
        }
    }

    /// Publishes which of the probed targets say that they are leaving.
    fn publish_leaving<'a>(&mut self, hosts: impl Iterator<Item = &'a HostId>) {
        let mut leaving = self.listed_leaving();
        for host in hosts {
            let answered = self.core.reports.get(host);
            if answered.is_some_and(|a| a.report.leaving) {
                leaving.insert(host.clone());
            }
        }
        let me = &self.core.ident.node;
        for host in leaving.difference(&self.leaving) {
            lock(&self.core.fleet).set_leaving(host, me, true);
            let incarnation = self
                .core
                .reports
                .get(host)
                .map_or(0, |a| a.report.incarnation);
            self.peer.publish(Item::Leaving(LeavingTarget {
                host: host.clone(),
                incarnation,
            }));
            self.core.journal.note(EventKind::TargetLeaving {
                host: host.clone(),
                reason: self.who_says(host).into(),
            });
        }
        for host in self.leaving.difference(&leaving) {
            lock(&self.core.fleet).set_leaving(host, me, false);
            self.peer.withdraw(&ItemKey::Leaving(host.clone()));
            let host = host.clone();
            self.core.journal.note(EventKind::TargetBack { host });
        }
        self.leaving = leaving;
    }
}
