//! The table service is down, slow, loses answers, or makes writes late.

mod process;

use std::time::Instant;

use process::caller::{Call, Callers, End, send};
use process::watch::Watch;
use process::world::{Shape, World, submit};
use process::{secs, wait};
use serde_json::Value;

/// The platform's store goes down for 20 s in the middle of the day. Callers of
/// model services must not notice: groups that are whole serve on. A refund
/// can't be claimed meanwhile, so its caller is told at once that it was not run
/// and when to come back. A node that starts in that time can't read the text
/// from the table and has it from its peers.
#[test]
fn groups_serve_on_while_the_table_is_down() {
    let mut world = World::start(Shape::default());
    let entries = world.entries();
    let model = Callers::start(&entries, Call::Short, 4);
    let refunds = Callers::start(&entries, Call::Refund, 4);
    wait("some refunds", secs(10), || {
        (refunds.take().whole > 0).then_some(())
    });
    world.fault("platform", "down", "&ms=20000");
    let down = Instant::now();
    // Refunds that were under way when it went down may end either way.
    std::thread::sleep(secs(1));
    refunds.take();
    let new = world.add_node();
    let at = world.nodes[new].ports;
    wait("the new node has the text from its peers", secs(8), || {
        let path = "/admin/v1/config/status";
        let status: Value = process::world::admin(at.admin, path)?;
        (status["accepted"].as_u64() == Some(1)).then_some(())
    });
    assert!(down.elapsed() < secs(19), "the table was back too early");
    std::thread::sleep(secs(19).saturating_sub(down.elapsed()));
    let (served, refused) = (model.take(), refunds.take());
    println!("{served:?}\n{refused:?}");
    assert_eq!(served.failed(), 0, "{served:?}");
    assert!(served.whole > 200 && served.gap < secs(1), "{served:?}");
    assert_eq!(
        refused.whole + refused.unknown + refused.wrong + refused.broken,
        0,
        "{refused:?}"
    );
    assert!(refused.not_run > 20, "{refused:?}");
    assert_eq!(refused.late_or_bare, 0, "{refused:?}");

    let mut whole = 0;
    wait("refunds run again", secs(15), || {
        whole += refunds.take().whole;
        (whole > 10).then_some(())
    });
    let reply = world.submit(
        new,
        "after",
        1,
        &world.text("# after\n[node node-9]\ndrain = yes\n"),
    );
    assert_eq!(reply["result"], "accepted", "{reply}");
    world.wait_in_force(2);
    let served = model.stop();
    assert_eq!(served.failed(), 0, "{served:?}");
    refunds.stop();
    assert_eq!(world.most_runs_of_a_key(), 1);
}

/// A host dies while the store is down, so nobody can end its group or form it
/// anew. Without a look at the hosts themselves the group would still count as
/// whole by its row, and its callers would get refusals or broken answers for as
/// long as the outage lasts instead of answers of the other group.
#[test]
fn a_group_that_lost_a_host_stops_although_the_table_is_down() {
    let world = World::start(Shape::default());
    let watch = Watch::start(&world);
    let broken = world.groups(0)[0].clone();
    world.fault("platform", "down", "&ms=10000");
    let down = Instant::now();
    world.fault(&broken.members[1], "die", "");
    for node in 0..3 {
        wait("the group stops", secs(4), || {
            let groups = world.groups(node);
            let group = groups.iter().find(|g| g.group == broken.group)?;
            (!group.serving).then_some(())
        });
    }
    let callers = Callers::start(&world.entries(), Call::Short, 4);
    std::thread::sleep(secs(8).saturating_sub(down.elapsed()));
    let tally = callers.stop();
    assert_eq!(tally.failed(), 0, "{tally:?}");
    assert!(tally.whole > 50, "{tally:?}");
    world.wait_serving(2, secs(30));
    watch.finish();
}

/// The store goes down just while a refund runs. The refund is made and its
/// answer is there; if the entry waited for the store before it passed the
/// answer on, the guest would look at an empty page for as long as the outage
/// lasts, and a repeat must still not run it again.
#[test]
fn a_refund_that_ran_is_answered_although_the_table_went_down_meanwhile() {
    let world = World::start(Shape::default());
    for (host, _) in &world.plain {
        world.fault(host, "late", "&n=1000");
    }
    let at = world.nodes[0].ports.callers;
    let call = std::thread::spawn(move || send(Call::Refund, at, "refund", "refund").0);
    wait("it runs", secs(10), || {
        (world.most_runs_of_a_key() > 0).then_some(())
    });
    world.fault("platform", "down", "&ms=12000");
    let down = Instant::now();
    assert_eq!(call.join().expect("a caller"), End::Whole);
    assert!(
        down.elapsed() < secs(5),
        "answered after {:?}",
        down.elapsed()
    );
    let repeated = wait("a final answer to the repeat", secs(25), || {
        let end = send(Call::Refund, at, "refund", "refund").0;
        (!matches!(end, End::NotRun | End::InProgress)).then_some(end)
    });
    // Its answer could not be kept, so the repeat is told that it may have run.
    assert_eq!(repeated, End::Unknown);
    assert_eq!(world.most_runs_of_a_key(), 1);
}

/// The store answers slowly, then makes writes and loses the answers, then makes
/// them late, while operators change the text and guests ask for refunds. A node
/// that took a lost answer for a failure would run a refund a second time or
/// bring an older text back into force; staff would see settings change back.
#[test]
fn lost_and_late_writes_revert_no_text_and_repeat_no_refund() {
    let world = World::start(Shape::default());
    let entries = world.entries();
    let refunds = Callers::start(&entries, Call::Refund, 6);
    let versions = Versions::start(&world);
    let mut base = 1;
    let faults = [
        ("slow", "&ms=3000&n=300"),
        ("lose-answer", "&n=4"),
        ("apply-late", "&ms=1500&n=4"),
    ];
    for (round, (fault, more)) in faults.into_iter().enumerate() {
        world.fault("platform", fault, more);
        let text = world.text(&format!("\n[node node-{}]\ndrain = yes\n", round + 7));
        let id = format!("round-{round}");
        // An answer that was lost is asked for again with the same id.
        let version = wait("the text accepted", secs(40), || {
            let reply = submit(world.nodes[round].ports.admin, &id, base, &text).ok()?;
            reply.json()["version"].as_u64()
        });
        assert_eq!(version, base + 1, "{fault}");
        base = version;
        world.wait_in_force(version);
    }
    let fallen = versions.finish();
    let tally = refunds.stop();
    println!("{tally:?}");
    assert!(fallen.is_empty(), "{fallen:?}");
    assert_eq!((tally.wrong, tally.broken), (0, 0), "{tally:?}");
    assert!(tally.whole > 50, "{tally:?}");
    assert_eq!(world.most_runs_of_a_key(), 1);
}

/// Looks at every node's own version all the time.
struct Versions {
    stop: std::sync::mpsc::Sender<()>,
    thread: std::thread::JoinHandle<Vec<String>>,
}

impl Versions {
    fn start(world: &World) -> Versions {
        let nodes: Vec<_> = world.nodes.iter().map(|n| n.ports.admin).collect();
        let (stop, stopped) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let mut highest = vec![0; nodes.len()];
            let mut fallen = Vec::new();
            while stopped
                .recv_timeout(std::time::Duration::from_millis(50))
                .is_err()
            {
                for (node, highest) in nodes.iter().zip(&mut highest) {
                    let now = own_version(*node).unwrap_or(*highest);
                    if now < *highest {
                        fallen.push(format!("{node} went from {highest} to {now}"));
                    }
                    *highest = now;
                }
            }
            fallen
        });
        Versions { stop, thread }
    }

    fn finish(self) -> Vec<String> {
        let _ = self.stop.send(());
        self.thread.join().expect("the looks")
    }
}

/// The version in force, by the node's own metrics.
fn own_version(node: std::net::SocketAddr) -> Option<u64> {
    let token = format!("Bearer {}", process::world::ADMIN);
    let headers = [("authorization", token.as_str())];
    let reply = process::http::ask("GET", node, "/metrics", &headers, "", secs(2)).ok()?;
    let body = reply.body.ok()?;
    let line = body
        .lines()
        .find(|l| l.starts_with("eelgrassmill_config_version"))?;
    line.rsplit(' ').next()?.parse().ok()
}
