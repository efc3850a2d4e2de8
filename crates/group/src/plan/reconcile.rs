//! Reconciles hosts with their rows: sends orders and releases the hosts of ended groups.

use eelgrassmill_base::{HostReport, Order, OrderKind, Placement};

use crate::plan::action::{Action, FreeReason};
use crate::plan::end;
use crate::plan::round::{GroupLookup, Round};
use crate::plan::view::{GroupStatus, HostStatus};
use crate::rows::{
    EndReason, GroupPhase, GroupRow, HostRow, RowValue, Transaction, group_key, host_key,
};

/// Sends outstanding orders, frees released hosts and removes finished groups.
pub(crate) fn reconcile(round: &mut Round<'_>) {
    let view = round.view;
    let mut groups = GroupLookup::new(view);
    for host in view.hosts.values() {
        reconcile_host(round, host, groups.find(host));
    }
    for group in view.groups.values() {
        if round.is_owned(group) {
            reconcile_group(round, group);
        }
    }
}

fn reconcile_host(round: &mut Round<'_>, host: &HostStatus, group: Option<&GroupStatus>) {
    let owned = group.is_some_and(|g| round.is_owned(g));
    if host.entry.is_none() && !owned {
        return;
    }
    let live = group.filter(|g| g.is_live() && host.is_bound_to(&g.row));
    let fresh = host.silent_for(round.now) <= round.policy.detection_timeout;
    if let Some(report) = host.report.as_ref().filter(|_| fresh) {
        order_host(round, host, report, group, live);
    }
    if host.row.group.is_some() && live.is_none() {
        release(round, host, fresh);
    }
}

/// Sends an order to a host whose report differs from its row.
///
/// A host that returns after a pause or a network partition may report a group that has since
/// been formed without it. The row decides; the reported placement is only compared with it.
fn order_host(
    round: &mut Round<'_>,
    host: &HostStatus,
    report: &HostReport,
    group: Option<&GroupStatus>,
    live: Option<&GroupStatus>,
) {
    let held = report.placement.as_ref();
    match (held, live) {
        (Some(held), Some(live)) if is_placed_in(held, &live.row) => {}
        (Some(held), _) => {
            let draining =
                group.is_some_and(|g| is_placed_in(held, &g.row) && !is_drained(round, g));
            if !draining {
                send(round, host, OrderKind::Leave, held.clone());
            }
        }
        (None, Some(live)) if live.restarted.is_none() => {
            send(round, host, OrderKind::Join, placement_of(&live.row));
        }
        (None, None) if must_raise_fence(round, host, report) => {
            send(round, host, OrderKind::Leave, last_placement(host, group));
        }
        (None, _) => {}
    }
}

fn is_placed_in(held: &Placement, row: &GroupRow) -> bool {
    held.group == row.group && held.epoch == row.epoch
}

/// Whether a bound host that checks orders has yet to see the newest fence before it can be freed.
fn must_raise_fence(round: &Round<'_>, host: &HostStatus, report: &HostReport) -> bool {
    host.row.group.is_some()
        && round.view.config.checks_orders(&host.row.host)
        && report.fence < host.row.fence
}

fn send(round: &mut Round<'_>, host: &HostStatus, kind: OrderKind, placement: Placement) {
    if !is_due(round, host, kind, &placement) {
        return;
    }
    if !round.may_order(&host.row.host) {
        return;
    }
    let order = Order {
        host: host.row.host.clone(),
        kind,
        placement,
        fence: host.row.fence,
        from: round.view.node.clone(),
    };
    round.actions.push(match kind {
        OrderKind::Join => Action::SendJoin { order },
        OrderKind::Leave => Action::SendLeave { order },
    });
}

/// Whether the order was not sent yet, or was sent a resend interval ago and a later report shows
/// no effect.
fn is_due(round: &Round<'_>, host: &HostStatus, kind: OrderKind, placement: &Placement) -> bool {
    let Some((last, epoch, at)) = host.order_sent else {
        return true;
    };
    let waited = round.now.saturating_duration_since(at) >= round.policy.resend_interval;
    let same = last == kind && epoch == placement.epoch;
    !same || (waited && host.probe_sent > Some(at))
}

fn placement_of(row: &GroupRow) -> Placement {
    Placement {
        group: row.group.clone(),
        epoch: row.epoch,
        model: row.model.clone(),
        version: row.version.clone(),
        members: row.members.clone(),
    }
}

/// The placement for a `Leave` to a host that reports none: its row's group and epoch.
fn last_placement(host: &HostStatus, group: Option<&GroupStatus>) -> Placement {
    let row = group.map(|g| &g.row);
    Placement {
        group: host.row.group.clone().unwrap_or_default(),
        epoch: host.row.epoch,
        model: row.map(|r| r.model.clone()).unwrap_or_default(),
        version: row.map(|r| r.version.clone()).unwrap_or_default(),
        members: Vec::new(),
    }
}

/// Whether an ending group has no requests in progress, or its drain time is over.
fn is_drained(round: &Round<'_>, group: &GroupStatus) -> bool {
    if group.is_live() || !end::is_graceful(group.row.reason) || !group.served {
        return true;
    }
    let ending_for = round.now.saturating_duration_since(group.since);
    let idle = |id| {
        let host: Option<&HostStatus> = round.view.hosts.get(id);
        host.and_then(|h| h.report.as_ref())
            .is_none_or(|r| r.running == 0)
    };
    let all_idle = group.row.members.iter().all(idle);
    ending_for >= round.policy.max_drain || (all_idle && ending_for >= round.policy.min_drain)
}

/// Frees a host of an ended group once the release is confirmed or all earlier orders have expired.
fn release(round: &mut Round<'_>, host: &HostStatus, fresh: bool) {
    let reason = match host.report.as_ref() {
        Some(report) if fresh => {
            confirms_release(round, host, report).then_some(FreeReason::Confirmed)
        }
        _ => orders_expired(round, host).then_some(FreeReason::OrdersExpired),
    };
    let Some(reason) = reason.filter(|_| round.may_commit()) else {
        return;
    };
    let row = HostRow {
        group: None,
        ..host.row.clone()
    };
    let key = host_key(&host.row.host);
    let transaction = Transaction::new()
        .expect(key.clone(), host.row_version)
        .put(key, RowValue::Host(row));
    let host = host.row.host.clone();
    round.push_transaction(Action::FreeHost {
        host,
        reason,
        transaction,
    });
}

/// Whether the report proves that the host holds no placement and will obey no older order.
///
/// For a host that checks orders, the fence it reports is the proof. For any other host a `Join`
/// may still be in flight behind an empty report; only the response to a probe sent after the
/// transit time of the last `Join` counts.
fn confirms_release(round: &Round<'_>, host: &HostStatus, report: &HostReport) -> bool {
    if report.placement.is_some() {
        return false;
    }
    if round.view.config.checks_orders(&host.row.host) {
        return report.fence >= host.row.fence;
    }
    let transit = round.policy.timing.order_transit;
    let own = host.join_sent.map(|at| at + transit);
    let earliest = own.map_or(round.view.quiet_until, |at| at.max(round.view.quiet_until));
    host.probe_sent.is_some_and(|sent| sent >= earliest)
}

/// Whether the host has been silent, and its group ended, for so long that no order that the old
/// row allowed can still reach it.
///
/// Ending a group writes the row of every member, so at least the row's age has passed since then.
fn orders_expired(round: &Round<'_>, host: &HostStatus) -> bool {
    let ended_for = round.now.saturating_duration_since(host.row_since);
    let needed = round.policy.timing.orders_expire_after();
    ended_for >= needed && host.silent_for(round.now) >= needed
}

/// Ends a warm-up group that is done, and removes a group that has ended.
fn reconcile_group(round: &mut Round<'_>, group: &GroupStatus) {
    match group.row.phase {
        GroupPhase::Ending => remove_if_finished(round, group),
        GroupPhase::Warming => end_if_warm(round, group),
        GroupPhase::Formed => {}
    }
}

fn end_if_warm(round: &mut Round<'_>, group: &GroupStatus) {
    let Some(host) = group
        .row
        .members
        .first()
        .and_then(|m| round.view.hosts.get(m))
    else {
        end::end_group(round, group, EndReason::Unwanted);
        return;
    };
    let report = host.report.as_ref();
    let ready = report.is_some_and(|r| {
        r.ready
            && r.placement
                .as_ref()
                .is_some_and(|p| is_placed_in(p, &group.row))
    });
    let late = round.now.saturating_duration_since(group.since) > round.policy.load_timeout;
    if ready || late || !round.is_healthy(host) {
        end::end_group(round, group, EndReason::Warmed);
    }
}

/// Deletes the row of a group that won't be re-formed and that binds no host.
fn remove_if_finished(round: &mut Round<'_>, group: &GroupStatus) {
    let configured = round.services.iter().any(|s| *s.name == group.row.service);
    let reformable = configured && end::is_reformable(group.row.reason);
    let waiting = round.now.saturating_duration_since(group.since) < round.policy.reform_timeout;
    if (reformable && waiting) || !round.may_commit() {
        return;
    }
    let bound = |id| {
        let host: Option<&HostStatus> = round.view.hosts.get(id);
        host.is_some_and(|h| h.row.group.as_ref() == Some(&group.row.group))
    };
    if group.row.members.iter().any(bound) {
        return;
    }
    let key = group_key(&group.row.group);
    let transaction = Transaction::new()
        .expect(key.clone(), group.row_version)
        .put(key, RowValue::Absent);
    round.push_transaction(Action::RemoveGroup {
        group: group.row.group.clone(),
        transaction,
    });
}
