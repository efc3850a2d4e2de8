//! New versions, services that depend on others, and texts in quick succession.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::time::{Duration, Instant};

use eelgrassmill_standin::engine_specs;
use util::load::{check_honest, under_load};
use util::observe::{Observed, observe};
use util::{Cluster, eventually, text};

const NODES: usize = 2;

/// Two groups of which one must always serve, at `version`.
fn floor_one(version: &str) -> String {
    text(2)
        .replace("floor = 0", "floor = 1")
        .replace("version = 1", &format!("version = {version}"))
}

/// Versions of the groups that serve at node `i`.
fn versions(cluster: &Cluster, i: usize) -> Vec<String> {
    let groups = cluster.admin(i, "GET", "/admin/v1/groups", "").json();
    let groups = groups.as_array().unwrap().iter();
    let serving = groups.filter(|g| g["serving"].as_bool().unwrap());
    serving
        .map(|g| g["version"].as_str().unwrap().to_owned())
        .collect()
}

fn all_at(cluster: &Cluster, version: &str) -> bool {
    (0..NODES).all(|i| {
        let versions = versions(cluster, i);
        versions.len() == 2 && versions.iter().all(|v| v == version)
    })
}

fn never_below(seen: &Observed, floor: usize, from: Instant) {
    seen.check();
    for i in 0..NODES {
        let fewest = seen.fewest_serving(i, from);
        assert!(fewest >= floor, "node-{i} had {fewest} groups serving");
    }
}

/// Rolls version 2 out over `engines` hosts under load.
fn roll_out(engines: usize) {
    let cluster = Cluster::of(NODES, engine_specs(engines, 8));
    let version = cluster.accept(&floor_one("1"), 0);
    cluster.wait_whole(2);
    let ((from, calls), seen) = observe(&cluster, |_| {
        under_load(&cluster, || {
            let from = Instant::now();
            cluster.accept(&floor_one("2"), version);
            eventually("version 2 everywhere", || all_at(&cluster, "2"));
            from
        })
    });
    never_below(&seen, 1, from);
    check_honest(&calls);
    let refused = calls.iter().filter(|c| !c.right).count();
    println!("{refused} of {} calls were not answered", calls.len());
    assert_eq!(refused, 0);
}

/// A new version of the letters' model comes while guests write, and every
/// machine is in use: one group at a time has to stop, load and come back. Were
/// both taken at once, nobody would get an answer until the weights are loaded.
#[test]
fn a_version_without_spares_rolls_out_above_the_floor() {
    roll_out(4);
}

/// The same with machines to spare.
#[test]
fn a_version_with_spares_rolls_out_above_the_floor() {
    roll_out(6);
}

/// An operator writes a version that the weight store doesn't have. Nothing can
/// be loaded for it; groups that were ended for it would never come back. Those
/// that serve the old version must go on, at the least as many as the floor.
#[test]
fn a_version_that_does_not_exist_keeps_the_floor() {
    let cluster = Cluster::of(NODES, engine_specs(4, 8));
    let version = cluster.accept(&floor_one("1"), 0);
    cluster.wait_whole(2);
    let ((from, version), seen) = observe(&cluster, |_| {
        let from = Instant::now();
        let version = cluster.accept(&floor_one("9"), version);
        let end = Instant::now() + Duration::from_secs(6);
        eventually("the planner had time for it", || Instant::now() > end);
        (from, version)
    });
    never_below(&seen, 1, from);
    let fewest = (0..NODES).map(|i| seen.fewest_serving(i, from)).min();
    println!("fewest groups serving: {fewest:?} of 2");
    // The mistake is mended by the next text.
    cluster.accept(&floor_one("2"), version);
    eventually("version 2 everywhere", || all_at(&cluster, "2"));
}

/// Two texts are accepted one right after the other: the second version is
/// what counts, and the first leaves nothing behind.
#[test]
fn the_last_of_two_quick_texts_is_in_force() {
    let cluster = Cluster::of(NODES, engine_specs(6, 8));
    let version = cluster.accept(&floor_one("1"), 0);
    cluster.wait_whole(2);
    let (from, seen) = observe(&cluster, |_| {
        let from = Instant::now();
        let version = cluster.submit(0, &floor_one("2"), version);
        let version = cluster.submit(
            1,
            &floor_one("1").replace("slots = 8", "slots = 6"),
            version,
        );
        for i in 0..NODES {
            eventually("in force", || cluster.version_at(i) == version);
        }
        eventually("version 1 everywhere", || all_at(&cluster, "1"));
        from
    });
    never_below(&seen, 1, from);
}

/// The reply service needs a status service, whose only target isn't there.
/// Replies that are written without the status would be wrong: it must not
/// serve, and say why; and serve as soon as the status service is there.
#[test]
fn a_service_without_its_dependency_does_not_serve_and_says_why() {
    let cluster = Cluster::of(NODES, engine_specs(2, 4));
    cluster.list_as("plain-1", "gone");
    let status = "\n[service status]\nkind = plain\ntargets = plain-1\nrepeatable = yes\n";
    let reply = text(1).replace("kind = model", "kind = model\ndepends_on = status");
    cluster.accept(&format!("{reply}{status}"), 0);
    // The reason is worked out a moment after the group turns whole.
    eventually(
        "the group is whole, and its service says why it waits",
        || {
            (0..NODES).all(|i| {
                let groups = cluster.admin(i, "GET", "/admin/v1/groups", "").json();
                let group = &groups[0];
                assert_ne!(group["serving"], true);
                let why = group["reason"].as_str().unwrap_or_default();
                group["whole"] == true && why.contains("status")
            })
        },
    );
    let answer = cluster.complete(0, "without status", 5);
    assert_eq!((answer.status, answer.outcome().as_str()), (503, "not-run"));
    assert!(answer.retry_after.is_some());
    assert!(cluster.engine_runs().is_empty());
    cluster.list_as("plain-1", "live");
    eventually("it serves", || {
        cluster.complete(1, "with status", 5).status == 200
    });
}

/// An adapter is served by the groups of its base. Without a group of the base
/// it can't serve, and nothing else may answer in its place.
#[test]
fn an_adapter_without_its_base_does_not_serve() {
    let cluster = Cluster::of(NODES, engine_specs(2, 4));
    let adapter = "\n[service polite]\nkind = adapter\nbase = reply\nadapter = polite\n";
    let version = cluster.accept(&format!("{}{adapter}", text(0)), 0);
    let ask = || {
        let body = r#"{"model":"polite","prompt":"p","max_tokens":4}"#;
        cluster.caller(0, "/v1/completions", &[], body)
    };
    let answer = ask();
    assert_eq!((answer.status, answer.outcome().as_str()), (503, "not-run"));
    assert!(cluster.engine_runs().is_empty());
    cluster.accept(&format!("{}{adapter}", text(1)), version);
    eventually("its base is there", || ask().status == 200);
}

/// An adapter may need more than its base. Its base serves, but the status
/// service that only the adapter needs is not there: the adapter must refuse.
#[test]
fn an_adapter_without_its_own_dependency_does_not_serve() {
    let cluster = Cluster::of(NODES, engine_specs(2, 4));
    cluster.list_as("plain-1", "gone");
    let more = "\n[service status]\nkind = plain\ntargets = plain-1\nrepeatable = yes\n\
                \n[service polite]\nkind = adapter\nbase = reply\nadapter = polite\n\
                depends_on = status\n";
    cluster.accept(&format!("{}{more}", text(1)), 0);
    cluster.wait_whole(1);
    eventually("its base serves", || {
        cluster.complete(0, "base", 4).status == 200
    });
    let body = r#"{"model":"polite","prompt":"p","max_tokens":4}"#;
    let answer = cluster.caller(0, "/v1/completions", &[], body);
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert_eq!(answer.outcome(), "not-run");
    assert!(answer.text.contains("status"), "{}", answer.text);
}
