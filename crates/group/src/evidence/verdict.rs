//! A watcher's verdict about one group.

use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, HostReport, Incarnation, value};

use crate::rows::{GroupPhase, GroupRow};

/// Age, counted from when the probe was sent, beyond which a report is ignored.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

value! { wire copy
    /// Why a member counts as missing.
    pub enum MissingReason {
        /// No recent report from it.
        Silent,
        /// It restarted after the group was whole.
        Restarted,
        /// It reports another group, epoch, model version or member list.
        Elsewhere,
        /// It has not loaded the model yet.
        NotReady,
    }
}

value! { wire
    /// A watcher's verdict about one group.
    pub enum Verdict {
        /// Every member is present and ready.
        Whole,
        /// A member is missing: the first in member order with the most severe reason.
        Missing {
            /// The member.
            host: HostId,
            /// Why it counts as missing.
            #[serde(rename = "why")]
            reason: MissingReason,
        },
        /// According to its row the group doesn't serve: it is ending or only loads weights.
        Ending,
    }
}

impl MissingReason {
    /// Whether the host itself reported the reason, rather than it being inferred from silence.
    pub fn is_reported(self) -> bool {
        self != MissingReason::Silent
    }
}

/// Whether `report` shows the placement that `row` requires.
pub(crate) fn matches_row(row: &GroupRow, report: &HostReport) -> bool {
    let Some(placement) = &report.placement else {
        return false;
    };
    placement.group == row.group
        && placement.epoch == row.epoch
        && placement.model == row.model
        && placement.version == row.version
        && placement.members == row.members
}

/// Why a report shows the member as missing, if it does; `bound_incarnation` is the member's
/// incarnation when the group was first whole.
pub(crate) fn member_problem(
    row: &GroupRow,
    report: &HostReport,
    bound_incarnation: Option<Incarnation>,
) -> Option<MissingReason> {
    if bound_incarnation.is_some_and(|known| known != report.incarnation) {
        return Some(MissingReason::Restarted);
    }
    if !matches_row(row, report) {
        return Some(MissingReason::Elsewhere);
    }
    (!report.ready).then_some(MissingReason::NotReady)
}

/// Evaluates one group from each member's newest report and the time its probe was sent.
///
/// `reports` and `bound_incarnations` are in member order; `bound_incarnations` holds the
/// members' incarnations when the group was first whole, and is empty before that.
pub fn evaluate<'a>(
    row: &GroupRow,
    reports: impl IntoIterator<Item = Option<(&'a HostReport, Instant)>>,
    bound_incarnations: &[Incarnation],
    now: Instant,
) -> Verdict {
    if row.phase != GroupPhase::Formed {
        return Verdict::Ending;
    }
    let mut reports = reports.into_iter();
    let mut most_severe: Option<(MissingReason, &HostId)> = None;
    for (index, host) in row.members.iter().enumerate() {
        let bound = bound_incarnations.get(index).copied();
        let reason = match reports.next().flatten() {
            Some((report, sent)) if report.host == *host => {
                check_age(sent, now).or_else(|| member_problem(row, report, bound))
            }
            _ => Some(MissingReason::Silent),
        };
        most_severe = more_severe(most_severe, reason.map(|reason| (reason, host)));
    }
    match most_severe {
        None => Verdict::Whole,
        Some((reason, host)) => Verdict::Missing {
            host: host.clone(),
            reason,
        },
    }
}

/// [`MissingReason::Silent`] if a report whose probe was sent at `sent` is too old.
pub(crate) fn check_age(sent: Instant, now: Instant) -> Option<MissingReason> {
    (now.saturating_duration_since(sent) > REPORT_MAX_AGE).then_some(MissingReason::Silent)
}

/// The more severe problem, or the first if equal: a restart needs a new epoch, a wrong
/// placement needs an order, silence may be temporary, and loading completes by itself.
pub(crate) fn more_severe<H>(
    a: Option<(MissingReason, H)>,
    b: Option<(MissingReason, H)>,
) -> Option<(MissingReason, H)> {
    match (a, b) {
        (Some(a), Some(b)) if severity(b.0) > severity(a.0) => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}

fn severity(reason: MissingReason) -> u8 {
    match reason {
        MissingReason::Restarted => 3,
        MissingReason::Elsewhere => 2,
        MissingReason::Silent => 1,
        MissingReason::NotReady => 0,
    }
}
