//! Turning evidence into candidates, and noting what turned.

use std::sync::Arc;
use std::time::Instant;

use eelgrassmill_base::HostId;
use eelgrassmill_config::{Config, Service, ServiceKind};
use eelgrassmill_group::{GroupRow, can_serve};
use eelgrassmill_route::{Candidate, Slots, fallback_share};
use eelgrassmill_timeline::EventKind;
use smol_str::format_smolstr;

use super::handover::Handover;
use super::watcher::target_name;
use crate::state::core::Core;
use crate::state::lock::lock;
use crate::state::shard::Shard;
use crate::state::wholeness::Turned;

/// Refreshes the candidates of every shard.
pub(crate) struct Pulse {
    core: Arc<Core>,
    /// When downtime was last counted.
    counted: Instant,
    handover: Handover,
}

impl Pulse {
    pub(crate) fn new(core: Arc<Core>) -> Pulse {
        Pulse {
            core,
            counted: Instant::now(),
            handover: Handover::default(),
        }
    }

    pub(crate) fn step(&mut self) {
        let now = Instant::now();
        let cfg = self.core.config.config();
        self.note_turned(now);
        for shard in self.core.all_shards() {
            if let Some(service) = cfg.services.get(shard.service()) {
                let mut candidates = self.candidates(&cfg, service, now);
                self.handover.apply(&mut candidates, now);
                shard.set_candidates(candidates, now);
                self.report_load(&shard, service);
            }
        }
        for service in cfg.services.values() {
            // An adapter has no candidates of its own, but may have dependencies of its own.
            if matches!(service.kind, ServiceKind::Adapter { .. }) {
                self.may_serve(&cfg, service, now);
            }
        }
        self.count_downtime(&cfg, now);
    }

    fn note_turned(&self, now: Instant) {
        let fleet = lock(&self.core.fleet);
        let mut whole = lock(&self.core.whole);
        let rows = fleet.groups.values().map(|(row, _)| row);
        let turned = whole.turned(rows, now);
        drop(whole);
        drop(fleet);
        for turn in turned {
            self.core.journal.note(match turn {
                Turned::Whole { group, epoch } => EventKind::GroupWhole { group, epoch },
                Turned::Broken { group, epoch, why } => EventKind::GroupBroken {
                    group,
                    epoch,
                    host: missing_host(&why),
                    reason: format_smolstr!("{why}"),
                },
            });
        }
    }

    /// Groups or targets of `service` that may get work now.
    fn candidates(&self, cfg: &Config, service: &Service, now: Instant) -> Vec<Candidate> {
        // A service whose dependency is missing doesn't serve, though its groups are whole.
        if !self.may_serve(cfg, service, now) {
            return Vec::new();
        }
        self.own_candidates(cfg, service, now)
    }

    /// Whether `service` and all that it depends on can serve; notes why not.
    fn may_serve(&self, cfg: &Config, service: &Service, now: Instant) -> bool {
        let there = |name: &smol_str::SmolStr| match cfg.services.get(name) {
            Some(s) => !self.own_candidates(cfg, s, now).is_empty(),
            None => false,
        };
        match can_serve(cfg, &service.name, &there) {
            Ok(()) => {
                lock(&self.core.held_up).remove(&service.name);
                true
            }
            Err(why) => {
                let why = format_smolstr!("{why}");
                lock(&self.core.held_up).insert(service.name.clone(), why);
                false
            }
        }
    }

    fn own_candidates(&self, cfg: &Config, service: &Service, now: Instant) -> Vec<Candidate> {
        match &service.kind {
            ServiceKind::Model(model) => {
                let fleet = lock(&self.core.fleet);
                let rows = fleet.groups.values().map(|(row, _)| row);
                let rows = rows.filter(|row| row.service == service.name);
                let slots = Slots {
                    normal: model.slots.saturating_sub(model.urgent_slots),
                    urgent: model.urgent_slots,
                };
                rows.filter_map(|row| self.group_candidate(cfg, &fleet, row, slots, now))
                    .collect()
            }
            ServiceKind::Plain { targets, slots } => {
                let fleet = lock(&self.core.fleet);
                let slots = Slots {
                    normal: *slots,
                    urgent: 0,
                };
                targets
                    .iter()
                    .filter_map(|host| self.plain_candidate(cfg, &fleet, host, slots, now))
                    .collect()
            }
            ServiceKind::Adapter { .. } => Vec::new(),
        }
    }

    fn group_candidate(
        &self,
        cfg: &Config,
        fleet: &crate::state::fleet::Fleet,
        row: &GroupRow,
        slots: Slots,
        now: Instant,
    ) -> Option<Candidate> {
        let serving = lock(&self.core.whole).serving(&row.group, now).ok()?;
        let leaving = |host: &HostId| fleet.is_leaving(host) || cfg.is_target_draining(host);
        Some(Candidate {
            group: row.group.clone(),
            epoch: serving.epoch,
            distance: self.core.ident.hops(fleet.hosts.get(&serving.lead)),
            slots: slots.total(),
            quota: self
                .core
                .quota(&row.group, serving.epoch, slots, fleet, now),
            leaving: row.members.iter().any(leaving),
        })
    }

    fn plain_candidate(
        &self,
        cfg: &Config,
        fleet: &crate::state::fleet::Fleet,
        host: &HostId,
        slots: Slots,
        now: Instant,
    ) -> Option<Candidate> {
        let name = target_name(host);
        lock(&self.core.whole).serving(&name, now).ok()?;
        let entries = fleet.serving_nodes().count().max(1) as u32;
        Some(Candidate {
            group: name,
            epoch: 0,
            distance: self.core.ident.hops(fleet.hosts.get(host)),
            slots: slots.total(),
            quota: fallback_share(slots, entries),
            leaving: fleet.is_leaving(host) || cfg.is_target_draining(host),
        })
    }

    /// Gives the shard the load that engines last reported, where this node probes them.
    fn report_load(&self, shard: &Shard, service: &Service) {
        if !matches!(service.kind, ServiceKind::Model(_)) {
            return;
        }
        let fleet = lock(&self.core.fleet);
        for (row, _) in fleet.groups.values() {
            if row.service != service.name {
                continue;
            }
            let lead = row.lead().and_then(|lead| self.core.reports.get(lead));
            if let Some(answered) = lead {
                let group = (&row.group, row.epoch);
                shard.report(group, answered.report.running, answered.sent);
            }
        }
    }

    /// Counts group downtime and stranded accelerators, as seen from this node.
    fn count_downtime(&mut self, cfg: &Config, now: Instant) {
        let passed = now.saturating_duration_since(self.counted);
        self.counted = now;
        let fleet = lock(&self.core.fleet);
        let whole = lock(&self.core.whole);
        let (mut all_serving, mut all_down) = (0, 0);
        for service in cfg.services.values() {
            let ServiceKind::Model(model) = &service.kind else {
                continue;
            };
            let rows = fleet.groups.values().map(|(row, _)| row);
            let serving = rows
                .filter(|row| row.service == service.name)
                .filter(|row| whole.serving(&row.group, now).is_ok())
                .count() as u32;
            let down = model.groups.saturating_sub(serving);
            all_serving += serving as usize;
            all_down += down as usize;
            self.core
                .metrics
                .add_group_downtime(&service.name, passed * down);
        }
        self.core.metrics.set_groups(all_serving, all_down);
        let mut stranded = 0;
        for (row, _) in fleet.groups.values() {
            if whole.serving(&row.group, now).is_ok() {
                continue;
            }
            for host in &row.members {
                let healthy = self.core.reports.get(host).is_some_and(|a| {
                    now.saturating_duration_since(a.sent) <= self.core.timing.term
                });
                if healthy {
                    stranded += fleet.hosts.get(host).map_or(0, |h| h.accelerators);
                }
            }
        }
        self.core.metrics.add_stranded(stranded, passed);
    }
}

fn missing_host(why: &eelgrassmill_group::NotServing) -> Option<HostId> {
    match why {
        eelgrassmill_group::NotServing::Missing { host, .. } => Some(host.clone()),
        _ => None,
    }
}
