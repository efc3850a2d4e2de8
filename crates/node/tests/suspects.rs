//! A request that crashes every engine that runs it.

mod util;

use std::collections::BTreeSet;

use eelgrassmill_standin::{KILLER_MARK, RunEnd, expected_answer};
use util::{Cluster, text};

/// A letter holds a sequence that crashes the engine of every group that reads
/// it, and its sender sends it again and again to every entry. Without a guard
/// each try takes a replica of several machines down, and everybody else's
/// letters with it. After two deaths the request is known by its content and
/// refused, at every entry, while others are answered.
#[test]
fn a_killer_takes_two_groups_down_and_no_more() {
    let cluster = Cluster::start(3, 8);
    cluster.accept(&text(3), 0);
    cluster.wait_whole(3);
    let killer = format!("please read {KILLER_MARK}");
    let mut told = Vec::new();
    for i in 0..9 {
        let before = cluster.engine_runs().len();
        let answer = cluster.complete(i % 3, &killer, 8);
        assert_ne!(answer.status, 200, "{}", answer.text);
        // "Not run" holds for the whole call, whichever of its attempts was refused.
        let ran = cluster.engine_runs().len() > before;
        assert!(!ran || answer.outcome() == "unknown", "{}", answer.text);
        told.push(answer.status);
    }
    let runs = cluster.engine_runs();
    // Nothing else was sent: each run that stopped is the death of a group.
    let stopped = runs.iter().filter(|run| run.end != RunEnd::Whole);
    let deaths: BTreeSet<_> = stopped.map(|run| (&run.group, run.epoch)).collect();
    assert!(deaths.len() <= 2, "{deaths:?}, told {told:?}");
    assert_eq!(told.last(), Some(&422), "{told:?}");
    for i in 0..3 {
        let answer = cluster.complete(i, &killer, 8);
        assert_eq!((answer.status, answer.outcome().as_str()), (422, "not-run"));
        assert!(answer.retry_after.is_some());
    }
    let answer = cluster.complete(1, "an innocent letter", 8);
    assert_eq!(answer.status, 200, "{}", answer.text);
    let text = &answer.json()["choices"][0]["text"];
    assert_eq!(text, &expected_answer("an innocent letter", 8));
}
