//! What the host list says of hosts that were used before.

use std::time::Instant;

use eelgrassmill_fleet::{Fleet, FleetChange, Host, HostPresence, HostState, MAX_HOSTS};
use googletest::prelude::*;
use smol_str::format_smolstr;

fn host(started_ms: u64, state: HostState) -> FleetChange {
    FleetChange::Put(Box::new(Host {
        id: "host-1".into(),
        started_ms,
        service: "desk".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "z1".into(),
        fabric: "".into(),
        state,
        slots: 8,
        cold_ms: 0,
        staged: Default::default(),
        model: None,
        membership: None,
    }))
}

/// Presence of the first start of the host after each change.
fn presences(changes: impl IntoIterator<Item = FleetChange>) -> Vec<HostPresence> {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    let after = |change| {
        fleet.apply(change, now);
        fleet.presence("host-1", 1)
    };
    changes.into_iter().map(after).collect()
}

#[gtest]
fn a_host_that_is_gone_without_notice_vanished_or_restarted() {
    let changes = [
        host(1, HostState::Ready),
        FleetChange::Removed("host-1".into()),
        host(2, HostState::Ready),
    ];
    let expected = vec![
        HostPresence::Listed,
        HostPresence::Vanished,
        HostPresence::Restarted,
    ];
    expect_that!(presences(changes), eq(&expected));
}

/// Guards against taking a host that ended as announced for one that crashed.
#[gtest]
fn a_host_that_announced_that_it_leaves_has_left_for_good() {
    let changes = [
        host(1, HostState::Ready),
        host(1, HostState::Leaving),
        FleetChange::Removed("host-1".into()),
        host(2, HostState::Ready),
    ];
    let expected = vec![
        HostPresence::Listed,
        HostPresence::Left,
        HostPresence::Left,
        HostPresence::Left,
    ];
    expect_that!(presences(changes), eq(&expected));
}

/// Guards against a list without end, by changes as well as read whole.
#[gtest]
fn hosts_beyond_the_limit_are_not_kept() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    let FleetChange::Put(template) = host(1, HostState::Ready) else {
        panic!("it is the entry of one host");
    };
    let mut next = (0..).map(|n| Host {
        id: format_smolstr!("host-{n:06}"),
        ..Host::clone(&template)
    });
    fleet.apply(
        FleetChange::Snapshot(next.by_ref().take(MAX_HOSTS + 1).collect()),
        now,
    );
    expect_that!(fleet.hosts().count(), eq(MAX_HOSTS));
    fleet.apply(
        FleetChange::Put(Box::new(next.next().expect("it has no end"))),
        now,
    );
    expect_that!(fleet.hosts().count(), eq(MAX_HOSTS));
    // Those that are known are followed, and others take the place of one that is gone.
    fleet.apply(FleetChange::Removed("host-000000".into()), now);
    expect_that!(fleet.hosts().count(), eq(MAX_HOSTS - 1));
    fleet.apply(FleetChange::Put(template), now);
    expect_that!(fleet.host("host-1"), some(anything()));
}
