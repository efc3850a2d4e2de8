//! What a watcher finds about one group.

use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, HostReport, Incarnation, value};

use crate::rows::{GroupPhase, GroupRow};

/// Age, counted from when the probe was sent, beyond which a report says nothing.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

value! { wire copy
    /// Why a member doesn't count as there.
    pub enum MissingReason {
        /// No fresh report of it has arrived.
        Silent,
        /// It restarted after the group had been whole.
        Restarted,
        /// It says that it belongs elsewhere, or to another epoch, version or member list.
        Elsewhere,
        /// It has not loaded the model yet.
        NotReady,
    }
}

value! { wire
    /// What a watcher finds about one group.
    pub enum Verdict {
        /// Every member is there.
        Whole,
        /// One member is not; the first in member order with the gravest cause.
        Missing {
            /// The member.
            host: HostId,
            /// Why it doesn't count.
            #[serde(rename = "why")]
            reason: MissingReason,
        },
        /// The group's row says that it is not for serving: it ends, or it only loads.
        Ending,
    }
}

impl MissingReason {
    /// Whether the cause was reported by the host itself and not inferred from silence.
    pub fn is_positive(self) -> bool {
        self != MissingReason::Silent
    }
}

/// Whether `report` is that of a member of the group as `row` says now.
pub(crate) fn fits(row: &GroupRow, report: &HostReport) -> bool {
    let Some(placement) = &report.placement else {
        return false;
    };
    placement.group == row.group
        && placement.epoch == row.epoch
        && placement.model == row.model
        && placement.version == row.version
        && placement.members == row.members
}

/// What one report says of a member; `whole_as` is its incarnation when the group was whole.
pub(crate) fn fault(
    row: &GroupRow,
    report: &HostReport,
    whole_as: Option<Incarnation>,
) -> Option<MissingReason> {
    if whole_as.is_some_and(|known| known != report.incarnation) {
        return Some(MissingReason::Restarted);
    }
    if !fits(row, report) {
        return Some(MissingReason::Elsewhere);
    }
    (!report.ready).then_some(MissingReason::NotReady)
}

/// Judges one group from the newest report of each member and when its probe was sent.
///
/// `reports` and `whole_as` go in member order; `whole_as` holds the
/// incarnations that the members had when the group was found whole, and is
/// empty before that.
pub fn evaluate<'a>(
    row: &GroupRow,
    reports: impl IntoIterator<Item = Option<(&'a HostReport, Instant)>>,
    whole_as: &[Incarnation],
    now: Instant,
) -> Verdict {
    if row.phase != GroupPhase::Formed {
        return Verdict::Ending;
    }
    let mut reports = reports.into_iter();
    let mut worst: Option<(MissingReason, &HostId)> = None;
    for (index, host) in row.members.iter().enumerate() {
        let known = whole_as.get(index).copied();
        let reason = match reports.next().flatten() {
            Some((report, sent)) if report.host == *host => {
                aged(sent, now).or_else(|| fault(row, report, known))
            }
            _ => Some(MissingReason::Silent),
        };
        worst = graver(worst, reason.map(|reason| (reason, host)));
    }
    match worst {
        None => Verdict::Whole,
        Some((reason, host)) => Verdict::Missing {
            host: host.clone(),
            reason,
        },
    }
}

/// [`MissingReason::Silent`] when a report whose probe was sent at `sent` is too old.
pub(crate) fn aged(sent: Instant, now: Instant) -> Option<MissingReason> {
    (now.saturating_duration_since(sent) > REPORT_MAX_AGE).then_some(MissingReason::Silent)
}

/// The graver finding, the earlier one of equals: a restart can't be mended by waiting,
/// a wrong placement needs an order, silence may pass, loading ends by itself.
pub(crate) fn graver<H>(
    a: Option<(MissingReason, H)>,
    b: Option<(MissingReason, H)>,
) -> Option<(MissingReason, H)> {
    match (a, b) {
        (Some(a), Some(b)) if weight(b.0) > weight(a.0) => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}

fn weight(reason: MissingReason) -> u8 {
    match reason {
        MissingReason::Restarted => 3,
        MissingReason::Elsewhere => 2,
        MissingReason::Silent => 1,
        MissingReason::NotReady => 0,
    }
}
