//! Hosts at which responses broke, and what shows that they crashed.

use std::time::{Duration, Instant};

use eelgrassmill_fleet::{
    BrokenResponse, CheckStep, CrashDetector, HostCrash, HostPresence, HostStart, ProbeResult,
};
use googletest::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// A detector that checks one host, and the time.
struct World {
    detector: CrashDetector<&'static str>,
    host: HostStart,
    now: Instant,
}

impl World {
    fn new() -> World {
        World {
            detector: CrashDetector::default(),
            host: ("host-1".into(), 7),
            now: Instant::now(),
        }
    }

    /// A response breaks whose request was sent `sent` ago; the host was last heard `received` ago.
    fn breaks(&mut self, run: &'static str, sent: Duration, received: Option<Duration>) {
        let ago = |age: Duration| self.now.checked_sub(age).expect("the clock is past that");
        let response = BrokenResponse {
            sent: ago(sent),
            broke_at: self.now,
            last_received: received.map(ago),
            run,
        };
        self.detector.on_broken(&self.host, response, self.now);
    }

    /// Lets the check go on for a time. Probes have this result.
    fn runs_for(
        &mut self,
        time: Duration,
        presence: HostPresence,
        probe: ProbeResult,
    ) -> Vec<HostCrash<&'static str>> {
        let until = self.now + time;
        let mut crashes = Vec::new();
        loop {
            match self.detector.step(&self.host, presence, self.now) {
                CheckStep::Probe => self.detector.on_probed(&self.host, probe, self.now),
                CheckStep::Crashed(crash) => crashes.push(crash),
                CheckStep::Wait(wait) if self.now + wait <= until => self.now += wait,
                CheckStep::Wait(_) => {
                    self.now = until;
                    return crashes;
                }
                CheckStep::End => return crashes,
            }
        }
    }
}

fn running(crashes: &[HostCrash<&'static str>]) -> Vec<&'static str> {
    crashes.iter().flat_map(|c| c.running.clone()).collect()
}

/// Guards against missing the crash of a host that is back, or whose port accepts connections.
#[gtest]
fn a_host_that_accepts_connections_crashed_if_the_list_shows_it() {
    for shown in [HostPresence::Restarted, HostPresence::Vanished] {
        let mut world = World::new();
        world.breaks("a", 40 * MS, None);
        world.breaks("b", 900 * MS, Some(10 * MS));
        let listed = world.runs_for(600 * MS, HostPresence::Listed, ProbeResult::Accepted);
        expect_that!(listed, is_empty());
        let crashes = world.runs_for(100 * MS, shown, ProbeResult::Accepted);
        expect_that!(running(&crashes), eq(&vec!["a", "b"]));
    }
}

#[gtest]
fn a_host_that_refuses_connections_crashed() {
    let mut world = World::new();
    world.breaks("a", 40 * MS, None);
    let crashes = world.runs_for(100 * MS, HostPresence::Listed, ProbeResult::Refused);
    expect_that!(running(&crashes), eq(&vec!["a"]));
    // The other response breaks a little later.
    world.breaks("b", 900 * MS, None);
    let crashes = world.runs_for(100 * MS, HostPresence::Vanished, ProbeResult::Refused);
    expect_that!(running(&crashes), eq(&vec!["b"]));
}

#[gtest]
fn a_host_that_stays_up_or_leaves_did_not_crash() {
    for shown in [HostPresence::Listed, HostPresence::Left] {
        let mut world = World::new();
        world.breaks("a", 40 * MS, None);
        let crashes = world.runs_for(9000 * MS, shown, ProbeResult::Accepted);
        expect_that!(crashes, is_empty());
        expect_that!(world.detector.is_idle(), eq(true));
    }
}

/// Guards against naming requests that were sent to a host after it crashed.
#[gtest]
fn requests_sent_after_the_crash_are_not_in_it() {
    let mut world = World::new();
    world.breaks("a", 40 * MS, None);
    let probe = ProbeResult::Accepted;
    world.runs_for(200 * MS, HostPresence::Listed, probe);
    world.breaks("later", 2 * MS, None);
    let crashes = world.runs_for(100 * MS, HostPresence::Vanished, probe);
    expect_that!(running(&crashes), eq(&vec!["a"]));
}

/// Guards against naming requests whose connections a host reset before it crashed.
#[gtest]
fn only_responses_that_break_together_are_in_one_crash() {
    let mut world = World::new();
    let probe = ProbeResult::Accepted;
    world.breaks("reset", 40 * MS, None);
    world.runs_for(800 * MS, HostPresence::Listed, probe);
    world.breaks("a", 500 * MS, Some(30 * MS));
    world.breaks("b", 40 * MS, None);
    let crashes = world.runs_for(400 * MS, HostPresence::Restarted, probe);
    expect_that!(running(&crashes), eq(&vec!["a", "b"]));
}

/// Guards against missing a crash right after the host was found to be up.
#[gtest]
fn a_host_that_was_found_up_is_probed_again() {
    let mut world = World::new();
    world.breaks("reset", 40 * MS, None);
    world.runs_for(800 * MS, HostPresence::Listed, ProbeResult::Accepted);
    world.breaks("a", 500 * MS, Some(30 * MS));
    let crashes = world.runs_for(400 * MS, HostPresence::Listed, ProbeResult::Refused);
    expect_that!(running(&crashes), eq(&vec!["a"]));
}
