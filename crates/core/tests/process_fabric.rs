//! A whole fabric domain goes dark and comes back.

mod process;

use std::collections::BTreeSet;

use eelgrassmill_base::OrderKind;
use process::caller::{Call, Callers};
use process::watch::Watch;
use process::world::{Shape, World};
use process::{secs, wait};

/// A switch fails and every host behind it is gone at once, with the groups on
/// them. The planner has to form them anew on the spare hosts of the other
/// fabric domain, each once: loading weights for the same group again and again
/// would keep the weight store busy and the groups down. When the switch is
/// back, its hosts hold nothing and must not be counted into any group.
#[test]
fn groups_are_formed_anew_when_a_fabric_domain_goes_dark() {
    let world = World::start(Shape {
        engines: 8,
        per_fabric: 4,
        ..Shape::default()
    });
    let entries = world.entries();
    let watch = Watch::start(&world);
    let callers = Callers::start(&entries, Call::Short, 4);
    let used = world.groups(0)[0].members[0].clone();
    let place = world.engines.iter().position(|(host, _)| *host == used);
    let first = place.expect("the lead") / 4 * 4;
    let dark: Vec<String> = world.engines[first..first + 4]
        .iter()
        .map(|(host, _)| host.clone())
        .collect();
    let before = joins(&world);
    for host in &dark {
        world.fault(host, "die", "");
    }
    wait("all groups serve elsewhere", secs(30), || {
        let groups = world.groups(0);
        let lit = |g: &&eelgrassmill_node::GroupInfo| {
            g.serving && g.members.iter().all(|m| !dark.contains(&m.to_string()))
        };
        (groups.iter().filter(lit).count() == 2).then_some(())
    });
    let formed = joins(&world).difference(&before).count();
    println!("{formed} places ordered for {} dark hosts", dark.len());
    // Two groups of two hosts, and at most as many warm spares.
    assert!(formed <= 8, "{formed}");
    callers.take();
    for host in &dark {
        world.end_fault(host, "die");
    }
    wait("the hosts are back", secs(10), || {
        let back = world
            .engines
            .iter()
            .filter(|(_, at)| process::world::health(*at).is_some());
        (back.count() == 8).then_some(())
    });
    world.wait_serving(2, secs(10));
    let mut whole = 0;
    wait("calls after the return", secs(10), || {
        whole += callers.take().whole;
        (whole > 50).then_some(())
    });
    let tally = callers.stop();
    assert_eq!(tally.wrong, 0, "{tally:?}");
    watch.finish();
}

/// Every group and epoch that a host was ordered to join.
fn joins(world: &World) -> BTreeSet<(String, String, u64)> {
    let hosts = world.engines.iter();
    hosts
        .flat_map(|(host, _)| {
            let orders = world.runs(host).orders;
            let joins = orders.into_iter().filter(|o| o.kind == OrderKind::Join);
            joins.map(|o| (host.clone(), o.group.to_string(), o.epoch))
        })
        .collect()
}
