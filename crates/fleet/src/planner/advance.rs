//! Transitions of a formation between its phases.

use std::time::{Duration, Instant};

use eelgrassmill_base::GroupId;

use crate::catalog::{ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::{Host, MembershipPhase};
use crate::planner::formation::{Formation, FormationPhase, LossReason, Purpose};
use crate::planner::order::{Command, Order};
use crate::planner::{Dissolved, Planner, find_model};

/// Inputs of one planning pass.
pub(super) struct PlanInput<'m> {
    pub(super) fleet: &'m Fleet,
    pub(super) services: &'m [&'m Service],
    /// Whether no request was ever served; loads are fast and not rate-limited then.
    pub(super) cold: bool,
    pub(super) now: Instant,
}

impl Planner {
    pub(super) fn advance(
        &mut self,
        id: &GroupId,
        input: &PlanInput<'_>,
        commands: &mut Vec<Command>,
    ) {
        let Some(mut formation) = self.formations.take(id) else {
            return;
        };
        let lost = self.worst_loss(&formation, input.fleet);
        let keep = match formation.phase {
            FormationPhase::Joining | FormationPhase::Opening => {
                let model = find_model(input.services, &formation.service, &formation.model);
                self.advance_joining(&mut formation, lost, model, input, commands)
            }
            FormationPhase::Open => {
                self.advance_open(&mut formation, lost, input);
                true
            }
            FormationPhase::Draining => {
                self.advance_draining(&mut formation, lost, input, commands)
            }
            FormationPhase::Dissolving => self.advance_dissolving(&mut formation, input, commands),
        };
        if keep {
            self.formations.put_back(formation);
        } else {
            self.formations.remove_from_index(&formation);
        }
    }

    /// Orders members to join, queries them, and opens the replica once all report ready.
    fn advance_joining(
        &mut self,
        f: &mut Formation,
        lost: Option<LossReason>,
        model: Option<&ModelSpec>,
        input: &PlanInput<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        if f.purpose == Purpose::Prime {
            return self.advance_priming(f, lost, model, input, commands);
        }
        if lost.is_some() || f.loss.is_some() {
            // The order to open may be in flight: until the head has left, it may serve.
            if f.open_sent {
                f.abandon(lost.unwrap_or(LossReason::Incomplete), input.now);
                return true;
            }
            return false;
        }
        for member in f.members.clone() {
            let Some(host) = input.fleet.host(&member) else {
                continue;
            };
            if self.record_ready(f, host) {
                continue;
            }
            if !f.accepted.contains(&member) {
                self.order_to_join(f, host, input.now, commands);
                continue;
            }
            let expected = f.since + self.join_time(host, model, input.now);
            // Before the first request, host entries arrive soon enough.
            let patience = if input.cold {
                self.timing.max_entry_lag
            } else {
                Duration::ZERO
            };
            if input.now >= expected + patience {
                self.query(&member, input.now, commands);
            }
        }
        if f.ready.len() == f.members.len() {
            self.open(f, input, commands);
        }
        true
    }

    /// Whether a member has reported ready; records it if it does so now.
    fn record_ready(&mut self, f: &mut Formation, host: &Host) -> bool {
        if f.is_ready_member(host) {
            let joined = (host.started_ms, f.model.clone());
            self.primed.insert(host.id.clone(), joined);
            f.ready.insert(host.id.clone());
        }
        f.ready.contains(&host.id)
    }

    fn open(&mut self, f: &mut Formation, input: &PlanInput<'_>, commands: &mut Vec<Command>) {
        let Some(head) = f.head().cloned() else {
            return;
        };
        if input
            .fleet
            .host(&head)
            .is_some_and(|h| f.is_member(h) && h.is_open_head())
        {
            f.enter_phase(FormationPhase::Open, input.now);
            return;
        }
        f.open_sent = true;
        if f.phase != FormationPhase::Opening {
            f.enter_phase(FormationPhase::Opening, input.now);
        }
        let open = Order::Open {
            replica: f.id.clone(),
            epoch: f.epoch,
        };
        self.send(open, f, &head, input.now, commands);
    }

    /// Joins a spare to a replica of its own that is never opened, so that it later joins a serving
    /// one in 0.2 s instead of the time that its weights take to load.
    fn advance_priming(
        &mut self,
        f: &mut Formation,
        lost: Option<LossReason>,
        model: Option<&ModelSpec>,
        input: &PlanInput<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        if lost.is_some() || f.loss.is_some() || model.is_none() {
            return false;
        }
        for member in f.members.clone() {
            let Some(host) = input.fleet.host(&member) else {
                continue;
            };
            if !self.record_ready(f, host) && !f.accepted.contains(&member) {
                self.order_to_join(f, host, input.now, commands);
            }
        }
        true
    }

    fn advance_open(&mut self, f: &mut Formation, lost: Option<LossReason>, input: &PlanInput<'_>) {
        if let Some(loss) = lost {
            // A host without an entry may be leaving unannounced and still serve.
            let planned = matches!(loss, LossReason::Leaving(_) | LossReason::Gone(_));
            if planned && self.may_stay(f, input) {
                return;
            }
            f.abandon(loss, input.now);
            if planned {
                f.enter_phase(FormationPhase::Draining, input.now);
            }
            return;
        }
        if input.now.saturating_duration_since(f.since) < self.timing.max_entry_lag {
            return;
        }
        if let Some(head) = f.head().filter(|_| self.needs_another_head(f, input)) {
            f.abandon(LossReason::Rejects(head.clone()), input.now);
            f.enter_phase(FormationPhase::Draining, input.now);
            return;
        }
        for member in &f.members {
            let Some(host) = input.fleet.host(member) else {
                continue;
            };
            if !f.is_member(host) {
                f.abandon(LossReason::Elsewhere(member.clone()), input.now);
                return;
            }
        }
        let head = f.head().and_then(|h| input.fleet.host(h));
        match head.and_then(|h| h.membership.as_ref()).map(|m| m.phase) {
            Some(MembershipPhase::Broken) => f.abandon(LossReason::Broken, input.now),
            // A delayed order closed it: open it again.
            Some(MembershipPhase::Ready) => f.enter_phase(FormationPhase::Joining, input.now),
            _ => {}
        }
    }

    /// Whether a replica keeps serving although a member is leaving.
    ///
    /// Unlike the head, other members get no requests and stay for up to 10 s while the head has
    /// work. If no spare can replace the member immediately, the replica is kept open.
    fn may_stay(&mut self, f: &mut Formation, input: &PlanInput<'_>) -> bool {
        let head_stays = f
            .head()
            .is_some_and(|h| self.loss_of(h, input.fleet).is_none());
        let since = *f.leaving_since.get_or_insert(input.now);
        let long = input.now.saturating_duration_since(since) >= self.timing.max_leaving_time;
        head_stays && !long && !self.can_replace(f, input.fleet)
    }

    /// Whether free hosts could replace all leaving members now.
    fn can_replace(&self, f: &Formation, fleet: &Fleet) -> bool {
        let lost = f
            .members
            .iter()
            .filter(|m| self.loss_of(m, fleet).is_some())
            .count();
        let primed = |h: &Host| self.primed.get(&h.id).is_some_and(|(_, m)| *m == f.model);
        let joins = |h: &&Host| primed(h) || h.staged.contains(&f.model);
        let near = fleet.hosts().filter(|h| h.fabric == f.fabric);
        let free = near.filter(|h| self.is_free(h));
        free.filter(joins).take(lost).count() == lost
    }

    /// Lets the head finish running requests, then dissolves the replica.
    fn advance_draining(
        &mut self,
        f: &mut Formation,
        lost: Option<LossReason>,
        input: &PlanInput<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(head) = f.head().cloned() else {
            return false;
        };
        let phase = input.fleet.host(&head).filter(|h| f.is_member(h));
        let phase = phase.and_then(|h| h.membership.as_ref()).map(|m| m.phase);
        let finished = matches!(
            phase,
            Some(MembershipPhase::Ready | MembershipPhase::Broken)
        );
        let over = input.now.saturating_duration_since(f.since) >= self.timing.drain_timeout;
        let worse = lost.is_some_and(|l| matches!(l, LossReason::Silent(_)));
        if finished || over || worse {
            f.enter_phase(FormationPhase::Dissolving, input.now);
            return self.advance_dissolving(f, input, commands);
        }
        if phase.is_none_or(|p| p == MembershipPhase::Open) {
            let close = Order::Close {
                replica: f.id.clone(),
                epoch: f.epoch,
            };
            self.send(close, f, &head, input.now, commands);
        }
        true
    }

    /// Orders all members to leave, and holds each until it has.
    ///
    /// A host that joins another replica while its old head serves would break answers in progress,
    /// which callers see as stalled streams. A single member that has left stops the replica, so
    /// the head need not be reachable.
    fn advance_dissolving(
        &mut self,
        f: &mut Formation,
        input: &PlanInput<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        let entries_are_new =
            input.now.saturating_duration_since(f.since) >= self.timing.max_entry_lag;
        f.gone.retain(|m| input.fleet.host(m).is_none());
        for member in f.held_members().cloned().collect::<Vec<_>>() {
            let silent = self.silent.contains_key(&member);
            let Some(host) = input.fleet.host(&member) else {
                if silent {
                    f.gone.insert(member);
                    continue;
                }
                self.order_to_leave(f, &member, self.timing.resend_interval, input.now, commands);
                continue;
            };
            let restarted = f
                .member_info
                .get(&member)
                .is_none_or(|info| info.has_restarted(host));
            if restarted || (entries_are_new && !f.is_member(host)) {
                f.left.insert(member, input.now);
                continue;
            }
            let interval = if silent {
                self.timing.silent_resend_interval
            } else {
                self.timing.resend_interval
            };
            self.order_to_leave(f, &member, interval, input.now, commands);
        }
        let done = f.held_members().next().is_none();
        if done {
            let left = f.left.keys().cloned().collect();
            self.dissolved.insert(
                f.id.clone(),
                Dissolved {
                    at: input.now,
                    left,
                    model: f.model.clone(),
                    lost_member: f.lost_member(),
                },
            );
        }
        !done
    }
}
