use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::{Host, HostState, Membership, MembershipPhase};
use googletest::prelude::*;

use crate::heads::Head;
use crate::scheduler::ScheduledLoad;

fn assigned(assigned: usize) -> ScheduledLoad {
    ScheduledLoad {
        assigned,
        queued: 0,
        is_ejected: false,
    }
}

fn head() -> Head {
    let host = Host {
        id: "host-1".into(),
        address: "127.0.0.1:1".into(),
        service: "writer".into(),
        failure_domain: "east".into(),
        fabric: "rack-1".into(),
        state: HostState::Ready,
        slots: 13,
        cold_ms: 0,
        started_ms: 1,
        staged: Default::default(),
        model: Some("large".into()),
        membership: Some(Membership {
            replica: "r1-1".into(),
            epoch: 7,
            rank: 0,
            phase: MembershipPhase::Open,
        }),
    };
    Head::new(&host, "large".into()).expect("it is a head")
}

/// Guards against a head that looks full after its scheduler was replaced, since the reports of
/// both were added up.
#[gtest]
fn the_newest_scheduler_replaces_the_report_of_the_one_before() {
    let head = head();
    let now = Instant::now();
    let (former, successor): (NodeId, NodeId) = ("n1".into(), "n2".into());
    head.reported_assigned(&former, assigned(9), now);
    head.reported_assigned(&successor, assigned(4), now + Duration::from_secs(1));
    expect_that!(head.load(), eq(4));
    // A report of before the change comes late.
    head.reported_assigned(&former, assigned(9), now);
    expect_that!(head.load(), eq(4));
    head.reported_assigned(&former, assigned(0), now + Duration::from_secs(2));
    expect_that!(head.load(), eq(4));
    head.forget(&successor);
    expect_that!(head.load(), eq(0));
}

#[gtest]
fn requests_placed_without_a_scheduler_count_beside_its_own() {
    let head = head();
    let now = Instant::now();
    head.reported_assigned(&"n1".into(), assigned(5), now);
    head.reported_unscheduled(&"n2".into(), 2);
    head.reported_unscheduled(&"n3".into(), 1);
    expect_that!(head.load(), eq(8));
    head.reported_unscheduled(&"n2".into(), 0);
    expect_that!(head.load(), eq(6));
}

/// Guards against a failure domain whose heads all reject their requests looking like an idle one.
#[gtest]
fn a_head_that_rejects_all_requests_counts_with_the_one_slot_that_it_is_tried_by() {
    let head = head();
    let now = Instant::now();
    let scheduler = NodeId::from("n1");
    let rejecting = ScheduledLoad {
        is_ejected: true,
        ..assigned(0)
    };
    expect_that!(head.usable_slots(), eq(13));
    head.reported_assigned(&scheduler, rejecting, now);
    expect_that!(head.usable_slots(), eq(1));
    head.reported_assigned(&scheduler, assigned(0), now + Duration::from_secs(1));
    expect_that!(head.usable_slots(), eq(13));
}
