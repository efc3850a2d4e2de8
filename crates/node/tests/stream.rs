//! Streams whose engine dies: taken up at another group, or seen to have broken off.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::time::Duration;

use eelgrassmill_standin::{HostSpec, Pace, engine_specs, expected_answer};
use util::stream::Raw;
use util::{Cluster, completion, text};

const TOKENS: u64 = 300;
/// Events after which the engine is lost.
const SOME: usize = 20;

/// Engines slow enough for something to happen in the middle of an answer.
fn slow_engines(count: usize) -> Vec<HostSpec> {
    let pace = Pace {
        token: Duration::from_millis(8),
        prefill: Duration::ZERO,
        batch_permille: 0,
    };
    let slow = |h: HostSpec| h.pace(pace.clone());
    engine_specs(count, 4).into_iter().map(slow).collect()
}

fn two_groups() -> Cluster {
    let cluster = Cluster::of(2, slow_engines(4));
    cluster.accept(&text(2), 0);
    cluster.wait_whole(2);
    cluster
}

/// Streams a letter and does `then` to the lead that runs it, once some tokens have come.
fn stream_and(cluster: &Cluster, then: impl FnOnce(&str)) -> Raw {
    let body = completion("a letter", TOKENS, true);
    let mut reading = cluster.open(0, "/v1/completions", &body);
    reading.events(SOME);
    let host = cluster.engine_runs()[0].host.clone();
    then(&host);
    reading.into_whole()
}

/// How many engines took a stream up in its middle.
fn resumed(cluster: &Cluster) -> usize {
    let runs = cluster.engine_runs();
    runs.iter().filter(|r| r.resume_from > 0).count()
}

/// The machine that writes a long letter loses its power in the middle of it.
/// The reader has the first words. Another group goes on from the next one, and
/// the reader gets each word once, in order, to the end.
#[test]
fn a_stream_goes_on_at_another_group() {
    let cluster = two_groups();
    let raw = stream_and(&cluster, |host| cluster.fault(host, "die", ""));
    assert_eq!(raw.status(), 200, "{}", raw.head);
    assert!(raw.ended, "broke off after {}", raw.tokens().len());
    assert_eq!(raw.tokens().len() as u64, TOKENS);
    assert_eq!(raw.tokens().concat(), expected_answer("a letter", TOKENS));
    assert_eq!(resumed(&cluster), 1);
}

/// Not the lead but another machine of the group is lost; the engine itself
/// breaks the stream off.
#[test]
fn a_stream_goes_on_when_another_member_dies() {
    let cluster = two_groups();
    let raw = stream_and(&cluster, |host| {
        let groups = cluster.serving(0);
        let group = groups.iter().find(|(_, m)| m[0] == host).unwrap();
        cluster.fault(&group.1[1], "die", "");
    });
    assert!(raw.ended, "broke off after {}", raw.tokens().len());
    assert_eq!(raw.tokens().concat(), expected_answer("a letter", TOKENS));
    assert_eq!(resumed(&cluster), 1);
}

/// The other group's engine can't resume: it would begin the letter anew, and
/// the reader would get the first words twice and take the whole for the
/// letter. The stream must break off, in a way that any HTTP client reports.
#[test]
fn a_stream_that_cannot_be_resumed_is_seen_to_break_off() {
    let cluster = two_groups();
    let raw = stream_and(&cluster, |host| {
        for other in ["engine-0", "engine-1", "engine-2", "engine-3"] {
            cluster.fault(other, "no-resume", "");
        }
        cluster.fault(host, "die", "");
    });
    assert!(!raw.ended, "taken for whole: {:?}", raw.tokens());
    let tokens = raw.tokens();
    assert!(tokens.len() >= SOME && (tokens.len() as u64) < TOKENS);
    let whole = expected_answer("a letter", TOKENS);
    assert!(whole.starts_with(&tokens.concat()), "{tokens:?}");
}

/// There is one group only and it is lost: nothing can take the stream up.
#[test]
fn a_stream_without_another_group_is_seen_to_break_off() {
    let cluster = Cluster::of(2, slow_engines(2));
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let raw = stream_and(&cluster, |host| cluster.fault(host, "die", ""));
    assert!(!raw.ended);
    let whole = expected_answer("a letter", TOKENS);
    assert!(whole.starts_with(&raw.tokens().concat()));
    assert!((raw.tokens().len() as u64) < TOKENS);
}
