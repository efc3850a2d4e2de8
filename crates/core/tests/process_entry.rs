//! An entry dies or freezes with calls in hand that must not run twice, and two operators meet.

mod process;

use std::net::SocketAddr;
use std::thread::JoinHandle;

use process::caller::{Call, End, send};
use process::world::{Shape, World, submit};
use process::{secs, wait};

/// As many as one entry runs at once: its part of the slots of two hosts.
const CALLS: usize = 4;
/// Milliseconds for which a plain stand-in holds each answer back.
const HELD_BACK: &str = "&n=3000";

/// Sends refunds to an entry that are still under way when this returns.
fn begin(world: &World, entry: usize) -> Vec<JoinHandle<End>> {
    for (host, _) in &world.plain {
        world.fault(host, "late", HELD_BACK);
    }
    let at = world.nodes[entry].ports.callers;
    let calls = (0..CALLS).map(|i| std::thread::spawn(move || refund(at, i)));
    let calls: Vec<_> = calls.collect();
    wait("the refunds run", secs(10), || {
        let plain = world.plain.iter();
        let runs: usize = plain.map(|(host, _)| world.runs(host).by_key.len()).sum();
        (runs == CALLS).then_some(())
    });
    calls
}

fn refund(at: SocketAddr, i: usize) -> End {
    let name = format!("refund-{i}");
    send(Call::Refund, at, &name, &name).0
}

/// Repeats each refund at `entry` until it gets a final answer.
fn repeat(world: &World, entry: usize) -> Vec<End> {
    let at = world.nodes[entry].ports.callers;
    let finals = (0..CALLS).map(|i| {
        wait("a final answer", secs(20), || match refund(at, i) {
            End::InProgress | End::NotRun => None,
            end => Some(end),
        })
    });
    finals.collect()
}

/// An entry's host loses power while refunds run through it. The callers' own
/// connections break, so they ask again at another entry. That one finds the
/// claim of the dead entry: it must not run the refund again, even though it
/// can't know how the first run ended. Guests would be paid twice.
#[test]
fn a_repeat_after_its_entry_was_killed_runs_nothing_twice() {
    let mut world = World::start(Shape::default());
    let calls = begin(&world, 0);
    world.nodes[0].process.signal("KILL");
    world.nodes[0].process.exit_code(secs(5));
    let ends: Vec<End> = calls
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .collect();
    assert!(ends.iter().all(|end| *end == End::Broken), "{ends:?}");
    let ends = repeat(&world, 1);
    assert!(
        ends.iter().all(|e| matches!(e, End::Whole | End::Unknown)),
        "{ends:?}"
    );
    assert_eq!(world.most_runs_of_a_key(), 1);
}

/// An entry freezes for 8 s with refunds under way, longer than its lease lasts,
/// and goes on. Callers that asked again elsewhere meanwhile were told that the
/// refund may have run; the entry that wakes up must neither run it again nor
/// send one caller the answer to another's refund.
#[test]
fn a_repeat_while_its_entry_is_frozen_runs_nothing_twice() {
    let world = World::start(Shape::default());
    let calls = begin(&world, 0);
    world.nodes[0].process.signal("STOP");
    let frozen = std::time::Instant::now();
    let meanwhile = repeat(&world, 1);
    std::thread::sleep(secs(8).saturating_sub(frozen.elapsed()));
    world.nodes[0].process.signal("CONT");
    let first: Vec<End> = calls
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .collect();
    wait("the frozen entry takes refunds again", secs(15), || {
        let at = world.nodes[0].ports.callers;
        (send(Call::Refund, at, "another", "another").0 == End::Whole).then_some(())
    });
    let after = repeat(&world, 0);
    println!("{first:?} {meanwhile:?} {after:?}");
    for end in first.iter().chain(&meanwhile).chain(&after) {
        assert!(matches!(end, End::Whole | End::Unknown), "{end:?}");
    }
    assert_eq!(world.most_runs_of_a_key(), 1);
}

/// Two operators change the text in the same minute, each from the version they
/// had seen, through different nodes. If both were accepted, the change of one
/// would be gone without anybody being told. The third one's answer is lost on
/// the way; asking again with the same id must not count as a second change.
#[test]
fn of_two_operators_one_is_accepted_and_the_other_is_told() {
    let world = World::start(Shape::default());
    let ports = [world.nodes[0].ports.admin, world.nodes[1].ports.admin];
    for round in 0..5 {
        let base = world_version(&world);
        let texts = [0, 1].map(|i| {
            let section = format!("\n[node node-{i}-{round}]\ndrain = yes\n");
            world.text(&section)
        });
        let barrier = std::sync::Barrier::new(2);
        let replies: Vec<serde_json::Value> = std::thread::scope(|scope| {
            let threads = [0, 1].map(|i| {
                let (barrier, text, at) = (&barrier, &texts[i], ports[i]);
                scope.spawn(move || {
                    barrier.wait();
                    let id = format!("operator-{i}-{round}");
                    submit(at, &id, base, text).expect("an answer").json()
                })
            });
            threads.map(|t| t.join().expect("an operator")).into()
        });
        let accepted = replies.iter().filter(|r| r["result"] == "accepted");
        let conflicts = replies.iter().filter(|r| r["title"] == "conflict");
        let counts = (accepted.count(), conflicts.count());
        assert_eq!(counts, (1, 1), "{replies:?}");
        let won = replies
            .iter()
            .position(|r| r["result"] == "accepted")
            .expect("one");
        let told = replies[1 - won]["conflict"].to_string();
        assert!(told.contains(&format!("operator-{won}-{round}")), "{told}");
        assert!(told.contains("node-"), "{told}");
        wait("the version at both", secs(10), || {
            (world_version(&world) == base + 1).then_some(())
        });
    }
    let base = world_version(&world);
    let text = world.text("");
    world.fault("platform", "lose-answer", "&n=1");
    let first = world.submit(0, "lost", base, &text);
    let again = world.submit(1, "lost", base, &text);
    println!("{first} {again}");
    assert!(
        again["result"] == "already-accepted" || again["result"] == "accepted",
        "{again}"
    );
    assert_eq!(again["version"], base + 1, "{again}");
    assert_eq!(world_version(&world), base + 1);
}

/// The accepted version by the table itself.
fn world_version(world: &World) -> u64 {
    let rows = world.rows("config/current");
    rows[0]["version"].as_u64().expect("a version")
}
