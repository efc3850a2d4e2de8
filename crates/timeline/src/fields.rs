//! Named fields of events, for filtering, formatting and size accounting.

use std::fmt;

use eelgrassmill_base::OrderKind;
use smol_str::SmolStr;

use crate::event::EventKind;

/// Value of one field.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Field<'a> {
    Text(&'a str),
    Number(u64),
    Names(&'a [SmolStr]),
}

impl Field<'_> {
    /// Whether the field equals `name` or is a list that contains it.
    pub(crate) fn matches(&self, name: &str) -> bool {
        match self {
            Field::Text(text) => *text == name,
            Field::Number(_) => false,
            Field::Names(names) => names.iter().any(|n| n == name),
        }
    }

    /// Size in bytes in addition to `size_of::<Event>()`.
    pub(crate) fn extra_bytes(&self) -> usize {
        match self {
            Field::Text(text) => text.len(),
            Field::Number(_) => 0,
            Field::Names(names) => names.iter().map(|n| size_of::<SmolStr>() + n.len()).sum(),
        }
    }
}

impl fmt::Display for Field<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Field::Text(text) if needs_quotes(text) => write!(f, "{text:?}"),
            Field::Text(text) => f.write_str(text),
            Field::Number(number) => write!(f, "{number}"),
            Field::Names(names) => f.write_str(&names.join(",")),
        }
    }
}

/// Reasons contain spaces and may come from outside; quoting prevents injected fields and lines.
fn needs_quotes(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    text.is_empty() || !text.chars().all(is_plain)
}

/// Calls `f` with the name and value of each field of `kind`, in a fixed order.
///
/// Filters, text format and size accounting all use this visitor, so that none of
/// them can miss a new event kind that the others handle.
pub(crate) fn visit(kind: &EventKind, f: &mut impl FnMut(&'static str, Field<'_>)) {
    match kind {
        EventKind::ConfigAccepted {
            version,
            author,
            submit,
        } => {
            f("version", Field::Number(*version));
            f("author", Field::Text(author));
            f("submit", Field::Text(submit));
        }
        EventKind::ConfigApplied { from, to } => {
            f("from", Field::Number(*from));
            f("to", Field::Number(*to));
        }
        EventKind::ConfigRefused { version, reason } => {
            f("version", Field::Number(*version));
            f("reason", Field::Text(reason));
        }
        EventKind::LeaseTaken {} | EventKind::NodeStopping {} => {}
        EventKind::LeaseLost { reason } => f("reason", Field::Text(reason)),
        EventKind::PlannerTaken { region, from } => {
            f("region", Field::Text(region));
            visit_optional("from", from.as_ref(), f);
        }
        EventKind::PlannerLost { region } => f("region", Field::Text(region)),
        EventKind::NodeJoined { peer } => f("peer", Field::Text(peer)),
        EventKind::NodeLeft { peer, reason } => {
            f("peer", Field::Text(peer));
            f("reason", Field::Text(reason));
        }
        EventKind::GroupForming { .. }
        | EventKind::GroupWhole { .. }
        | EventKind::GroupBroken { .. }
        | EventKind::GroupEnding { .. }
        | EventKind::HostTaken { .. }
        | EventKind::HostFreed { .. } => visit_group(kind, f),
        EventKind::OrderSent { .. }
        | EventKind::OrderConfirmed { .. }
        | EventKind::OrderRefused { .. } => visit_order(kind, f),
        EventKind::TargetLeaving { host, reason } => {
            f("host", Field::Text(host));
            f("reason", Field::Text(reason));
        }
        EventKind::TargetBack { host } => f("host", Field::Text(host)),
        EventKind::SuspectNoted {
            request,
            host,
            crashes,
        } => {
            f("request", Field::Text(request));
            f("host", Field::Text(host));
            f("crashes", Field::Number(u64::from(*crashes)));
        }
        EventKind::SuspectNamed { request, crashes } => {
            f("request", Field::Text(request));
            f("crashes", Field::Number(u64::from(*crashes)));
        }
        EventKind::ClaimMade { request, service } => {
            f("request", Field::Text(request));
            f("service", Field::Text(service));
        }
        EventKind::ClaimSettled { request, outcome } => {
            f("request", Field::Text(request));
            f("outcome", Field::Text(outcome));
        }
        EventKind::RequestAdmitted { .. }
        | EventKind::RequestDispatched { .. }
        | EventKind::RequestRetried { .. }
        | EventKind::RequestAnswered { .. }
        | EventKind::RequestRefused { .. } => visit_request(kind, f),
    }
}

fn visit_group(kind: &EventKind, f: &mut impl FnMut(&'static str, Field<'_>)) {
    match kind {
        EventKind::GroupForming {
            group,
            epoch,
            version,
            members,
        } => {
            f("group", Field::Text(group));
            f("epoch", Field::Number(*epoch));
            f("version", Field::Text(version));
            f("members", Field::Names(members));
        }
        EventKind::GroupWhole { group, epoch } => {
            f("group", Field::Text(group));
            f("epoch", Field::Number(*epoch));
        }
        EventKind::GroupBroken {
            group,
            epoch,
            host,
            reason,
        } => {
            f("group", Field::Text(group));
            f("epoch", Field::Number(*epoch));
            visit_optional("host", host.as_ref(), f);
            f("reason", Field::Text(reason));
        }
        EventKind::GroupEnding {
            group,
            epoch,
            reason,
        } => {
            f("group", Field::Text(group));
            f("epoch", Field::Number(*epoch));
            f("reason", Field::Text(reason));
        }
        EventKind::HostTaken { host, group, epoch } => {
            f("host", Field::Text(host));
            f("group", Field::Text(group));
            f("epoch", Field::Number(*epoch));
        }
        EventKind::HostFreed {
            host,
            group,
            reason,
        } => {
            f("host", Field::Text(host));
            f("group", Field::Text(group));
            f("reason", Field::Text(reason));
        }
        _ => {}
    }
}

fn visit_order(kind: &EventKind, f: &mut impl FnMut(&'static str, Field<'_>)) {
    match kind {
        EventKind::OrderSent {
            host,
            group,
            epoch,
            fence,
            order,
        } => {
            f("host", Field::Text(host));
            f("group", Field::Text(group));
            f("epoch", Field::Number(*epoch));
            f("fence", Field::Number(*fence));
            f("order", Field::Text(order_kind_name(*order)));
        }
        EventKind::OrderConfirmed { host, group, fence } => {
            f("host", Field::Text(host));
            f("group", Field::Text(group));
            f("fence", Field::Number(*fence));
        }
        EventKind::OrderRefused {
            host,
            group,
            fence,
            reason,
        } => {
            f("host", Field::Text(host));
            f("group", Field::Text(group));
            f("fence", Field::Number(*fence));
            f("reason", Field::Text(reason));
        }
        _ => {}
    }
}

fn visit_request(kind: &EventKind, f: &mut impl FnMut(&'static str, Field<'_>)) {
    match kind {
        EventKind::RequestAdmitted {
            request,
            tenant,
            service,
            urgency,
        } => {
            f("request", Field::Text(request));
            f("tenant", Field::Text(tenant));
            f("service", Field::Text(service));
            f("urgency", Field::Number(u64::from(urgency.0)));
        }
        EventKind::RequestDispatched {
            request,
            host,
            group,
            attempt,
        } => {
            f("request", Field::Text(request));
            f("host", Field::Text(host));
            visit_optional("group", group.as_ref(), f);
            f("attempt", Field::Number(u64::from(*attempt)));
        }
        EventKind::RequestRetried {
            request,
            attempt,
            reason,
        } => {
            f("request", Field::Text(request));
            f("attempt", Field::Number(u64::from(*attempt)));
            f("reason", Field::Text(reason));
        }
        EventKind::RequestAnswered {
            request,
            status,
            took_ms,
        } => {
            f("request", Field::Text(request));
            f("status", Field::Number(u64::from(*status)));
            f("took_ms", Field::Number(*took_ms));
        }
        EventKind::RequestRefused {
            request,
            status,
            outcome,
            reason,
        } => {
            f("request", Field::Text(request));
            f("status", Field::Number(u64::from(*status)));
            f("outcome", Field::Text(outcome));
            f("reason", Field::Text(reason));
        }
        _ => {}
    }
}

fn order_kind_name(order: OrderKind) -> &'static str {
    match order {
        OrderKind::Join => "join",
        OrderKind::Leave => "leave",
    }
}

fn visit_optional(
    name: &'static str,
    value: Option<&SmolStr>,
    f: &mut impl FnMut(&'static str, Field<'_>),
) {
    if let Some(value) = value {
        f(name, Field::Text(value));
    }
}
