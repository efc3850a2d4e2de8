//! Fault scripts.

use std::borrow::Cow;

use crate::fleets::Fleet;
use crate::sim::Fault;

/// Target of a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultTarget {
    /// Fabric domain, group within it, and rank of a member.
    Member(usize, usize, usize),
    /// Fabric domain and host number.
    Host(usize, usize),
    /// A whole fabric domain.
    Fabric(usize),
    /// A whole failure domain.
    Failure(usize),
}

/// One step of a script: time in seconds, target and fault.
pub(crate) type ScriptStep = (u64, FaultTarget, Fault);

/// A fault script.
pub(crate) struct Script {
    pub(crate) name: &'static str,
    /// Duration in seconds.
    pub(crate) duration: u64,
    pub(crate) steps: Cow<'static, [ScriptStep]>,
}

use Fault::{Die, Leave, Pause, Restart};
use FaultTarget::{Fabric, Failure, Host, Member};

/// All scripts for a fleet.
pub(crate) fn scripts(fleet: &Fleet) -> Vec<Script> {
    let mut all = fixed_scripts();
    all.push(ordinary_day(fleet));
    all
}

/// The faults of an ordinary day within an hour: of 880 hosts 9 fail and 180 are restarted or
/// replaced; smaller fleets have proportionally fewer faults.
fn ordinary_day(fleet: &Fleet) -> Script {
    let hosts: Vec<(usize, usize)> = fleet
        .fabrics
        .iter()
        .enumerate()
        .flat_map(|(fabric, (_, count))| (0..*count).map(move |n| (fabric, n)))
        .collect();
    let failed = (9 * hosts.len()).div_ceil(880);
    let restarted = (180 * hosts.len()).div_ceil(880);
    let count = failed + restarted;
    let mut steps = Vec::new();
    for i in 0..count {
        // A coprime stride visits no host twice and no domain twice in a row.
        let (fabric, n) = hosts[(i * 37 + 11) % hosts.len()];
        let at = (10 + 3400 * i / count) as u64;
        let fault = match i {
            _ if i % (count / failed) == 1 => Die,
            _ if i % 2 == 0 => Restart(45),
            _ => Leave(120),
        };
        steps.push((at, Host(fabric, n), fault));
    }
    Script {
        name: "an ordinary day in an hour",
        duration: 3600,
        steps: Cow::Owned(steps),
    }
}

fn fixed_scripts() -> Vec<Script> {
    vec![
        Script {
            name: "short pauses",
            duration: 600,
            steps: Cow::Borrowed(&[
                (10, Member(0, 0, 0), Pause(3)),
                (60, Member(1, 0, 1), Pause(4)),
                (120, Member(2, 0, 2), Pause(6)),
                (180, Member(3, 0, 3), Pause(3)),
                (240, Member(4, 1, 1), Pause(5)),
                (300, Member(0, 1, 2), Pause(3)),
                (360, Member(1, 1, 3), Pause(12)),
            ]),
        },
        Script {
            name: "long pauses",
            duration: 900,
            steps: Cow::Borrowed(&[
                (10, Member(0, 0, 1), Pause(60)),
                (100, Member(2, 0, 3), Pause(200)),
                (200, Member(4, 0, 0), Pause(120)),
            ]),
        },
        Script {
            name: "one host dies",
            duration: 900,
            steps: Cow::Borrowed(&[(10, Member(1, 0, 2), Die)]),
        },
        Script {
            name: "hosts restart",
            duration: 900,
            steps: Cow::Borrowed(&[
                (10, Member(0, 0, 2), Restart(30)),
                (150, Member(3, 0, 1), Restart(60)),
                (300, Member(5, 1, 2), Restart(90)),
            ]),
        },
        Script {
            name: "two die in one fabric domain",
            duration: 1200,
            steps: Cow::Borrowed(&[(10, Member(0, 0, 0), Die), (12, Member(0, 1, 1), Die)]),
        },
        Script {
            name: "two groups lose hosts for long",
            duration: 1500,
            steps: Cow::Borrowed(&[
                (10, Member(2, 0, 0), Pause(600)),
                (30, Member(2, 1, 0), Pause(900)),
                (35, Host(2, 8), Pause(700)),
            ]),
        },
        Script {
            name: "fabric domain unreachable, short",
            duration: 600,
            steps: Cow::Borrowed(&[(10, Fabric(1), Pause(20))]),
        },
        Script {
            name: "fabric domain unreachable, long",
            duration: 1500,
            steps: Cow::Borrowed(&[(10, Fabric(1), Pause(600))]),
        },
        Script {
            name: "fabric domain loses power",
            duration: 1500,
            steps: Cow::Borrowed(&[(10, Fabric(3), Restart(180))]),
        },
        Script {
            name: "failure domain unreachable",
            duration: 1200,
            steps: Cow::Borrowed(&[(10, Failure(2), Pause(300))]),
        },
        Script {
            name: "hosts are replaced",
            duration: 1500,
            steps: Cow::Borrowed(&[
                (10, Member(0, 0, 0), Leave(120)),
                (100, Member(1, 0, 1), Leave(120)),
                (200, Member(4, 0, 2), Leave(120)),
            ]),
        },
        Script {
            name: "a host dies during a repair",
            duration: 1200,
            steps: Cow::Borrowed(&[
                (10, Member(3, 0, 0), Die),
                (16, Member(3, 0, 1), Pause(90)),
                (25, Host(3, 8), Restart(40)),
            ]),
        },
    ]
}
