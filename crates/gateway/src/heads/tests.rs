use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::{Fleet, Host, HostState, Membership, MembershipPhase};
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
    Head::new(&host, "large".into(), &Fleet::default()).expect("the host has a membership")
}

/// Guards against a head that looks full after its scheduler was replaced because the reports of
/// both were added up.
#[gtest]
fn a_new_schedulers_report_replaces_the_former_ones() {
    let head = head();
    let now = Instant::now();
    let (former, successor): (NodeId, NodeId) = ("n1".into(), "n2".into());
    head.report_assigned(&former, assigned(9), now);
    head.report_assigned(&successor, assigned(4), now + Duration::from_secs(1));
    expect_that!(head.load(), eq(4));
    // A report from before the change arrives late.
    head.report_assigned(&former, assigned(9), now);
    expect_that!(head.load(), eq(4));
    head.report_assigned(&former, assigned(0), now + Duration::from_secs(2));
    expect_that!(head.load(), eq(4));
    head.forget_node(&successor);
    expect_that!(head.load(), eq(0));
}

#[gtest]
fn unscheduled_requests_add_to_scheduled_ones() {
    let head = head();
    let now = Instant::now();
    head.report_assigned(&"n1".into(), assigned(5), now);
    head.report_unscheduled(&"n2".into(), 2);
    head.report_unscheduled(&"n3".into(), 1);
    expect_that!(head.load(), eq(8));
    head.report_unscheduled(&"n2".into(), 0);
    expect_that!(head.load(), eq(6));
}

/// Guards against choosing a failure domain as idle while its heads reject all requests.
#[gtest]
fn an_ejected_head_counts_with_one_slot() {
    let head = head();
    let now = Instant::now();
    let scheduler = NodeId::from("n1");
    let rejecting = ScheduledLoad {
        is_ejected: true,
        ..assigned(0)
    };
    expect_that!(head.usable_slots(), eq(13));
    head.report_assigned(&scheduler, rejecting, now);
    expect_that!(head.usable_slots(), eq(1));
    head.report_assigned(&scheduler, assigned(0), now + Duration::from_secs(1));
    expect_that!(head.usable_slots(), eq(13));
}
