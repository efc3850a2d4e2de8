//! A planned stop of a node under load.

mod process;

use process::caller::{Call, Callers};
use process::http::ask;
use process::world::{Shape, World};
use process::{secs, wait};

/// An operator replaces an entry host and sends SIGTERM to its node while
/// streams and short calls run through it. If the node closed its port at once,
/// callers that still keep its address would be refused; if it ended what runs,
/// staff would see replies break off in the middle.
#[test]
fn a_node_that_is_told_to_stop_fails_no_request() {
    let mut world = World::start(Shape::default());
    let entries = world.entries();
    let calls = [Call::Short, Call::Stream, Call::Refund];
    let callers = calls.map(|call| Callers::start(&entries, call, 6));
    std::thread::sleep(secs(1));
    let stopped = world.nodes[1].ports.callers;
    world.nodes[1].process.signal("TERM");

    wait("the others no longer name it", secs(2), || {
        let path = "/v1/addresses?service=reviews";
        let reply = ask("GET", entries[0], path, &[], "", secs(2)).ok()?;
        let told = reply.json()["addresses"].to_string();
        (!told.contains(&stopped.to_string())).then_some(())
    });
    // Callers may keep what they were told: the port must still be open now.
    let kept = process::caller::send(Call::Short, stopped, "kept", "");
    assert_eq!(kept.0, process::caller::End::Whole);

    let code = world.nodes[1].process.exit_code(secs(20));
    let rows: Vec<_> = world.rows("node/");
    let tallies = callers.map(Callers::stop);
    println!("{tallies:?}");
    assert_eq!(code, Some(0));
    assert!(rows.iter().all(|row| row["node"] != "node-1"), "{rows:?}");
    for tally in &tallies {
        assert_eq!(tally.failed(), 0, "{tally:?}");
        assert!(tally.whole > 20, "{tally:?}");
    }
    assert_eq!(world.most_runs_of_a_key(), 1);
}
