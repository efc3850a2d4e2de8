//! Rate-limited sending of orders and queries.

use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, HostId};

use crate::catalog::Service;
use crate::fleet::Fleet;
use crate::host::Host;
use crate::planner::formation::Formation;
use crate::planner::loads::is_blank;
use crate::planner::order::{Command, Order};
use crate::planner::{MessageKind, Planner};

/// Maximum number of hosts with unknown membership that are queried per planning pass. Answers
/// wake the planner within milliseconds, so 900 hosts take well under a second.
const MAX_UNKNOWN_QUERIES: usize = 64;

impl Planner {
    pub(super) fn order_to_leave(
        &mut self,
        f: &Formation,
        member: &HostId,
        interval: Duration,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let leave = Order::Leave {
            replica: f.id.clone(),
            epoch: f.epoch,
        };
        self.send_at_interval(leave, f, member, interval, now, commands);
    }

    /// Orders a host to join, once this can't break another replica.
    pub(super) fn order_to_join(
        &mut self,
        f: &Formation,
        host: &Host,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        if self.must_query_first(&host.id, now) {
            self.query(&host.id, now, commands);
            return;
        }
        let other = host.membership.as_ref().filter(|_| !f.is_member(host));
        if let Some(m) = other.filter(|m| m.may_serve()) {
            let leave = Order::Leave {
                replica: m.replica.clone(),
                epoch: m.epoch,
            };
            self.send(leave, f, &host.id, now, commands);
            return;
        }
        self.send(f.join(), f, &host.id, now, commands);
    }

    pub(super) fn send(
        &mut self,
        order: Order,
        f: &Formation,
        host: &HostId,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        self.send_at_interval(order, f, host, self.timing.resend_interval, now, commands);
    }

    pub(super) fn send_at_interval(
        &mut self,
        order: Order,
        f: &Formation,
        host: &HostId,
        interval: Duration,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let Some(info) = f.member_info.get(host) else {
            return;
        };
        if self.should_send(host, order.kind(), f.epoch, interval, now) {
            let address = info.address.clone();
            commands.push(Command::Order {
                host: host.clone(),
                address,
                order,
            });
        }
    }

    pub(super) fn query(&mut self, host: &HostId, now: Instant, commands: &mut Vec<Command>) {
        if self.should_send(host, MessageKind::Query, 0, self.timing.query_interval, now) {
            commands.push(Command::Query { host: host.clone() });
        }
    }

    /// Queries usable hosts whose membership is unknown; during a takeover only those that may be
    /// unused, since the membership of others is known only afterwards.
    pub(super) fn query_unknown(
        &mut self,
        fleet: &Fleet,
        services: &[&Service],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let forms = |host: &Host| {
            let service = services.iter().find(|s| s.name == host.service);
            service.is_some_and(|s| s.engine.is_some())
        };
        let is_taking_over = self.is_taking_over(now);
        let is_asked = |h: &Host| {
            if is_taking_over {
                is_blank(h) && !self.early_reports.contains(&h.id)
            } else {
                !self.knows_membership(h)
            }
        };
        let unknown =
            |h: &&Host| h.is_ready() && is_asked(h) && !self.silent.contains_key(&h.id) && forms(h);
        let hosts = fleet.hosts().filter(unknown).take(MAX_UNKNOWN_QUERIES);
        for host in hosts.map(|h| h.id.clone()).collect::<Vec<_>>() {
            self.query(&host, now, commands);
        }
    }

    /// Queries hosts that did not answer an order, until they answer or count as silent.
    pub(super) fn query_pending(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        self.pending_queries
            .retain(|id| !self.silent.contains_key(id));
        let listed = self
            .pending_queries
            .iter()
            .filter(|id| fleet.host(id).is_some());
        for host in listed.cloned().collect::<Vec<_>>() {
            self.query(&host, now, commands);
        }
    }

    /// Queries silent hosts that are still listed: a host that was only partitioned must become
    /// usable again.
    pub(super) fn query_silent(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let listed = self.silent.keys().filter(|id| fleet.host(id).is_some());
        for host in listed.cloned().collect::<Vec<_>>() {
            if self.should_send(
                &host,
                MessageKind::Query,
                0,
                self.timing.silent_resend_interval,
                now,
            ) {
                commands.push(Command::Query { host });
            }
        }
    }

    /// Whether the interval since this message was last sent to the host has passed; records the
    /// message if so.
    ///
    /// An answer does not reset the interval: each one wakes the planner, which would resend the
    /// order immediately for as long as the host's entry lags.
    pub(super) fn should_send(
        &mut self,
        host: &HostId,
        kind: MessageKind,
        epoch: Epoch,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let key = (host.clone(), kind, epoch);
        let last = self.sent.get(&key);
        if last.is_some_and(|last| now.saturating_duration_since(*last) < interval) {
            return false;
        }
        self.sent.insert(key, now);
        true
    }
}
