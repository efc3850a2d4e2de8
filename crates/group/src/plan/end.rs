//! The transaction that starts ending a group.

use crate::plan::action::Action;
use crate::plan::round::Round;
use crate::plan::view::GroupStatus;
use crate::rows::{
    EndReason, GroupPhase, GroupRow, HostRow, RowValue, Transaction, group_key, host_key,
};

/// Whether the group could still serve when it was ended, so that it has to be drained.
pub(crate) fn is_graceful(reason: Option<EndReason>) -> bool {
    !matches!(
        reason,
        Some(EndReason::MemberLost | EndReason::MemberRestarted | EndReason::Warmed)
    )
}

/// Whether the group is to be re-formed from the same hosts where possible.
pub(crate) fn is_reformable(reason: Option<EndReason>) -> bool {
    matches!(
        reason,
        Some(
            EndReason::MemberLost
                | EndReason::MemberRestarted
                | EndReason::MemberLeaving
                | EndReason::Rollout
        )
    )
}

/// Starts ending a group; returns false if it is already ending or the round's transaction limit
/// is reached.
///
/// It raises the fence of every member, so that a host that checks orders refuses a `Join` of
/// this epoch that is still in flight.
pub(crate) fn end_group(round: &mut Round<'_>, group: &GroupStatus, reason: EndReason) -> bool {
    if !round.may_commit() || !group.is_live() {
        return false;
    }
    let row = GroupRow {
        phase: GroupPhase::Ending,
        reason: Some(reason),
        ..group.row.clone()
    };
    let key = group_key(&row.group);
    let mut transaction = Transaction::new()
        .expect(key.clone(), group.row_version)
        .put(key, RowValue::Group(row));
    for id in &group.row.members {
        let Some(host) = round
            .view
            .hosts
            .get(id)
            .filter(|h| h.is_bound_to(&group.row))
        else {
            continue;
        };
        let raised = HostRow {
            fence: host.row.fence + 1,
            ..host.row.clone()
        };
        transaction = transaction
            .expect(host_key(id), host.row_version)
            .put(host_key(id), RowValue::Host(raised));
    }
    round.push_transaction(Action::EndGroup {
        group: group.row.group.clone(),
        reason,
        transaction,
    });
    true
}
