//! The planner of a region dies, or is frozen past its lease.

mod process;

use process::caller::{Call, Callers};
use process::watch::Watch;
use process::world::{Shape, World, health, rows};
use process::{secs, wait};

/// From a decision, made with a slow table, to the middle of the round that sends its orders.
const INTO_THE_ROUND: std::time::Duration = std::time::Duration::from_millis(1_500);

/// The planner's host loses power. Nobody plans until its lease has lapsed, but
/// groups serve by evidence alone, so callers of the other nodes notice nothing.
/// When a host of a group dies after that, the next planner has to mend the
/// group; without a takeover it would stay broken for good.
#[test]
fn groups_serve_on_when_the_planner_is_killed_and_the_next_one_repairs() {
    let mut world = World::start(Shape::default());
    let planner = wait("a planner", secs(20), || world.planner(0));
    let others: Vec<usize> = (0..3).filter(|i| *i != planner).collect();
    let entries: Vec<_> = others
        .iter()
        .map(|i| world.nodes[*i].ports.callers)
        .collect();
    let watch = Watch::start(&world);
    world.nodes[planner].process.signal("KILL");
    assert_eq!(world.nodes[planner].process.exit_code(secs(5)), None);
    // The dead entry stands in the addresses until its lease has lapsed: these
    // callers are not judged by it, they ask living nodes directly.
    let served = std::thread::scope(|scope| {
        let calls = entries.iter().map(|at| {
            let at = *at;
            scope.spawn(move || {
                let end = std::time::Instant::now() + secs(4);
                let mut ends = Vec::new();
                while std::time::Instant::now() < end {
                    let name = format!("call {}", ends.len());
                    ends.push(process::caller::send(Call::Short, at, &name, "").0);
                }
                ends
            })
        });
        let calls: Vec<_> = calls.collect();
        calls
            .into_iter()
            .flat_map(|c| c.join().expect("a caller"))
            .collect::<Vec<_>>()
    });
    let whole = served
        .iter()
        .filter(|end| **end == process::caller::End::Whole);
    assert_eq!(whole.count(), served.len(), "{served:?}");
    assert!(served.len() > 20);

    let next = wait("the next planner", secs(20), || {
        world.planner(others[0]).filter(|p| *p != planner)
    });
    assert!(others.contains(&next));
    let victim = world.groups(others[0])[0].members[1].clone();
    world.fault(&victim, "die", "");
    wait("the group without the dead host", secs(30), || {
        let groups = world.groups(others[0]);
        let serving = groups.iter().filter(|g| g.serving);
        let without = serving.filter(|g| !g.members.contains(&victim));
        (without.count() == 2).then_some(())
    });
    world.wait_serving_at(&others, 2, secs(10));
    watch.finish();
}

/// A planner's process freezes, with a repair just decided and its orders in
/// hand, for longer than its lease lasts. Another planner takes over and gives
/// the hosts out anew. Then the old one goes on as if nothing had happened. If
/// its orders took effect, a host would be torn out of a group that serves, and
/// callers would get answers of a group that isn't whole.
#[test]
fn a_planner_frozen_past_its_lease_changes_nothing_when_it_wakes() {
    let world = World::start(Shape {
        engines: 8,
        per_fabric: 8,
        ..Shape::default()
    });
    // Half of the engines obey whoever gives them an order.
    for (host, _) in world.engines.iter().step_by(2) {
        world.fault(host, "ignore-fences", "");
    }
    let old = wait("a planner", secs(20), || world.planner(0));
    let others: Vec<usize> = (0..3).filter(|i| *i != old).collect();
    let entries: Vec<_> = others
        .iter()
        .map(|i| world.nodes[*i].ports.callers)
        .collect();
    let watch = Watch::start(&world);
    let victim = world.groups(others[0])[0].members[1].clone();
    let before = epochs(&world);
    // A slow table stretches the round that reads the rows and sends the orders.
    world.fault("platform", "slow", "&n=400");
    world.fault(&victim, "die", "");
    let end = std::time::Instant::now() + secs(20);
    while epochs(&world) == before {
        assert!(std::time::Instant::now() < end, "no repair was decided");
    }
    // Into the next round, whose rows are read and whose orders aren't sent.
    std::thread::sleep(INTO_THE_ROUND);
    world.nodes[old].process.signal("STOP");
    world.end_fault("platform", "slow");

    let next = wait("the next planner", secs(20), || {
        world.planner(others[0]).filter(|p| *p != old)
    });
    wait("the new planner's repair", secs(30), || {
        let groups = world.groups(others[0]);
        let serving = groups.iter().filter(|g| g.serving);
        let without = serving.filter(|g| !g.members.contains(&victim));
        (without.count() == 2).then_some(())
    });
    let orders_before = orders_from(&world, old);
    world.nodes[old].process.signal("CONT");
    let callers = Callers::start(&entries, Call::Short, 4);
    wait("the old planner learns of the other", secs(10), || {
        (world.planner(old) == Some(next)).then_some(())
    });
    // It has had rounds of planning by now; what it held back would be out.
    std::thread::sleep(secs(2));
    assert_eq!(orders_from(&world, old), orders_before);
    orders_respect_the_takeover(&world, old, next);
    placements_follow_the_table(&world);
    let tally = callers.stop();
    assert_eq!(tally.wrong, 0, "{tally:?}");
    assert!(tally.whole > 20, "{tally:?}");
    watch.finish();
}

/// Epochs of all groups in the table.
fn epochs(world: &World) -> Vec<u64> {
    let groups = rows(world.platform, "group/");
    groups.iter().filter_map(|g| g["epoch"].as_u64()).collect()
}

fn orders_from(world: &World, node: usize) -> usize {
    let name = &world.nodes[node].name;
    let hosts = world.engines.iter();
    hosts
        .map(|(host, _)| {
            let orders = world.runs(host).orders;
            orders.iter().filter(|o| o.from == *name).count()
        })
        .sum()
}

/// Once a host has had an order of the new planner, none of the old one comes,
/// and a host that checks obeys rising fences only.
fn orders_respect_the_takeover(world: &World, old: usize, new: usize) {
    let (old, new) = (&world.nodes[old].name, &world.nodes[new].name);
    for (place, (host, _)) in world.engines.iter().enumerate() {
        let orders = world.runs(host).orders;
        let taken = orders.iter().position(|o| o.from == *new);
        let after = &orders[taken.unwrap_or(orders.len())..];
        assert!(after.iter().all(|o| o.from != *old), "{host}: {orders:?}");
        let checks = place % 2 == 1;
        let fences: Vec<u64> = orders
            .iter()
            .filter(|o| o.obeyed)
            .map(|o| o.fence)
            .collect();
        if checks {
            assert!(fences.is_sorted(), "{host}: {orders:?}");
        }
    }
}

/// Every host that answers is where the table says.
fn placements_follow_the_table(world: &World) {
    wait("the hosts follow the table", secs(10), || {
        let table = rows(world.platform, "host/");
        let follows = world.engines.iter().all(|(host, at)| {
            let row = table.iter().find(|row| row["host"] == **host);
            let wanted = row.and_then(|row| row["group"].as_str()).map(str::to_owned);
            health(*at).is_none_or(|r| r.placement.map(|p| p.group.to_string()) == wanted)
        });
        follows.then_some(())
    });
}
