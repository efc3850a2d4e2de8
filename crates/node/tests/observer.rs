//! What the observer of the other tests takes for a broken promise, and what it doesn't.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::panic::catch_unwind;
use std::time::{Duration, Instant};

use util::observe::{EVIDENCE_TIME, Listed, Observed, SLACK, Sample};

const GROUP: &str = "reply/1";
const HOST: &str = "engine-2";
const EPOCH: u64 = 4;
/// Time between two looks at the host, and from the first to what the tests are about.
const LOOK: u64 = 40;
const LONG: u64 = 7_400;

/// Everything that is seen in one test, at milliseconds from its start.
struct Scene {
    start: Instant,
    seen: Observed,
}

impl Scene {
    fn new() -> Scene {
        Scene {
            start: Instant::now(),
            seen: Observed::default(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// The host was looked at every 40 ms of this time, and found ready in the epoch or not.
    fn looks(&self, from: u64, to: u64, epoch: Option<u64>) {
        for ms in (from..to).step_by(LOOK as usize) {
            let ready = epoch.map(|epoch| (GROUP.to_owned(), epoch));
            self.seen.host_showed(HOST, (self.at(ms), ready));
        }
    }

    fn ready_from(&self, ms: u64) {
        self.seen.became_ready(HOST, GROUP, EPOCH, self.at(ms));
    }

    /// A node was asked and answered then that the group serves.
    fn listed(&self, asked: u64, answered: u64) {
        let group = Listed {
            group: GROUP.to_owned(),
            epoch: EPOCH,
            members: vec![HOST.to_owned()],
            version: "2".to_owned(),
            serving: true,
        };
        let sample = Sample {
            at: self.at(asked),
            answered: self.at(answered),
            groups: vec![group],
        };
        self.seen.node_listed(1, sample);
    }

    /// Whether the observer finds a broken promise.
    fn finds_fault(self) -> bool {
        let check = std::panic::AssertUnwindSafe(|| self.seen.check());
        catch_unwind(check).is_err()
    }
}

/// A host becomes ready between two looks, and a node says so before the second:
/// it was quicker than the observer, which is no fault.
#[test]
fn a_node_may_know_of_a_ready_host_before_the_next_look() {
    let scene = Scene::new();
    scene.looks(0, LONG, None);
    scene.ready_from(LONG);
    scene.listed(LONG + 10, LONG + 14);
    scene.looks(LONG + 20, LONG + 500, Some(EPOCH));
    assert!(!scene.finds_fault());
}

/// A look comes a second late, as on a busy machine; the node's word is right all along.
#[test]
fn a_late_look_is_no_fault_of_the_node() {
    let scene = Scene::new();
    scene.looks(0, LONG, None);
    scene.ready_from(LONG);
    for ms in (LONG + 60..LONG + 1_200).step_by(40) {
        scene.listed(ms, ms + 1);
    }
    scene.looks(LONG + 1_000, LONG + 1_500, Some(EPOCH));
    assert!(!scene.finds_fault());
}

/// A node serves a group one millisecond before its host is ready: requests would fail.
#[test]
fn a_group_served_before_its_host_is_ready_is_a_fault() {
    let scene = Scene::new();
    scene.looks(0, LONG, None);
    scene.listed(LONG - 11, LONG - 1);
    scene.ready_from(LONG);
    scene.looks(LONG, LONG + 500, Some(EPOCH));
    assert!(scene.finds_fault());
}

/// The same right after the first look, where little is known yet.
#[test]
fn a_group_served_early_at_the_beginning_is_a_fault() {
    let scene = Scene::new();
    scene.looks(0, 400, None);
    scene.listed(200, 202);
    scene.ready_from(400);
    scene.looks(400, 800, Some(EPOCH));
    assert!(scene.finds_fault());
}

/// The host is in another epoch of the group and never comes to this one.
#[test]
fn a_group_whose_host_was_never_ready_in_it_is_a_fault() {
    let scene = Scene::new();
    scene.looks(0, LONG, Some(EPOCH - 1));
    scene.listed(LONG, LONG + 1);
    assert!(scene.finds_fault());
}

/// A host falls silent; its group may be served for as long as evidence counts, and no longer.
#[test]
fn a_group_served_too_long_after_its_host_is_a_fault() {
    let bound = (EVIDENCE_TIME + SLACK).as_millis() as u64;
    for (late, fault) in [(0, false), (1, true)] {
        let scene = Scene::new();
        scene.ready_from(0);
        scene.looks(0, LONG + 1, Some(EPOCH));
        scene.looks(LONG + LOOK, LONG + 2 * bound, None);
        let last = LONG / LOOK * LOOK;
        scene.listed(last + bound + late, last + bound + late + 1);
        assert_eq!(scene.finds_fault(), fault);
    }
}

/// A host becomes ready and answers nobody: no node can know of it for longer than
/// evidence counts.
#[test]
fn a_group_served_long_after_a_host_that_never_answered_is_a_fault() {
    let bound = (EVIDENCE_TIME + SLACK).as_millis() as u64;
    let scene = Scene::new();
    scene.looks(0, LONG + 2 * bound, None);
    scene.ready_from(LONG);
    scene.listed(LONG + bound + 1, LONG + bound + 2);
    assert!(scene.finds_fault());
}
