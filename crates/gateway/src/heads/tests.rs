use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::{
    Catalog, Fleet, FleetChange, Host, HostState, Membership, MembershipPhase,
};
use googletest::prelude::*;
use smol_str::SmolStr;

use crate::heads::{Head, HeadTable};
use crate::scheduler::ScheduledLoad;

fn assigned(assigned: usize) -> ScheduledLoad {
    ScheduledLoad {
        assigned,
        queued: 0,
        is_ejected: false,
    }
}

/// A member of the replica r1-1.
fn member(id: &str, rank: usize) -> Host {
    Host {
        id: id.into(),
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
            rank,
            phase: MembershipPhase::Open,
        }),
    }
}

fn head() -> Head {
    Head::new(&member("host-1", 0), "large".into(), &Fleet::default())
        .expect("the host has a membership")
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

/// Guards against giving up streams that end at the head of a dissolved replica, since its members
/// have left.
#[gtest]
fn members_that_left_did_not_crash() {
    let now = Instant::now();
    let put = |fleet: &mut Fleet, host: Host| fleet.apply(FleetChange::Put(Box::new(host)), now);
    let mut fleet = Fleet::default();
    for (rank, id) in ["host-1", "host-2", "host-3"].into_iter().enumerate() {
        put(&mut fleet, member(id, rank));
    }
    let head = Head::new(&member("host-1", 0), "large".into(), &fleet).expect("it is a head");
    let crashed = |fleet: &Fleet| -> Vec<SmolStr> {
        head.forget_left_members(fleet);
        let members = head.crashed_members(fleet).into_iter();
        members.map(|member| member.start.0).collect()
    };
    let left = Host {
        membership: None,
        ..member("host-2", 1)
    };
    put(&mut fleet, left);
    expect_that!(crashed(&fleet), is_empty());
    fleet.apply(FleetChange::Removed("host-2".into()), now);
    expect_that!(crashed(&fleet), is_empty());
    fleet.apply(FleetChange::Removed("host-3".into()), now);
    expect_that!(crashed(&fleet), eq(&vec![SmolStr::from("host-3")]));
}

/// Guards against placing requests by the slots of an entry that has been replaced.
#[gtest]
fn a_head_has_the_slots_of_its_newest_entry() {
    let now = Instant::now();
    let (mut fleet, mut heads) = (Fleet::default(), HeadTable::default());
    for slots in [13, 1_000, 4] {
        let mut host = member("host-1", 0);
        host.slots = slots;
        fleet.apply(FleetChange::Snapshot(vec![host]), now);
        heads.update(&fleet, &Catalog::default());
        let slots_of = |h: &std::sync::Arc<Head>| h.slots();
        expect_that!(heads.open("r1-1", 7).map(slots_of), some(eq(slots)));
    }
}
