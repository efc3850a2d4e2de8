//! Tests of evacuated failure domains and cold hosts.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, HostId};
use eelgrassmill_fleet::{
    ColdRateLimiter, ColdStart, EngineSpeed, EvacuationChange, Fleet, FleetChange, Host, HostState,
    Millionths, OpenHead, PendingRequest, RequestKey, Scheduler, SlotOutcome,
};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, proptest};

/// Requests per second that a cold host can handle.
const RATE: f64 = 15.0;
/// Permitted number of requests in any second: the rate plus half, plus a few.
const BOUND: usize = (RATE * 1.5) as usize + 5;
const COLD_TIME: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(5);

fn cold() -> ColdStart {
    ColdStart {
        duration: COLD_TIME,
        max_rate: Millionths::of(RATE),
    }
}

fn host(id: &str, domain: &str, cold_ms: u64) -> Host {
    Host {
        id: id.into(),
        started_ms: 1,
        service: "writer".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: domain.into(),
        fabric: "".into(),
        state: HostState::Ready,
        slots: 20,
        cold_ms,
        staged: Default::default(),
        model: None,
        membership: None,
    }
}

/// Maximum number of `times` within any second.
fn max_per_second(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let near = |at: &&Instant| **at >= *from && **at - *from < Duration::from_secs(1);
        times.iter().filter(near).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// A cold head with far more slots than its rate, and requests that end immediately.
struct Play {
    head: OpenHead,
    scheduler: Scheduler,
    granted: Vec<Instant>,
    asked: u64,
}

impl Play {
    fn new(cold: Option<ColdStart>, now: Instant) -> Play {
        let head = OpenHead {
            key: ("r1".into(), 1),
            host: "h1".into(),
            slots: 60,
            failure_domain: "z1".into(),
            inherited_requests: 0,
            unscheduled_requests: 0,
            cold,
            limit: None,
        };
        Play {
            head,
            scheduler: scheduler(now),
            granted: Vec::new(),
            asked: 0,
        }
    }

    /// Sends one request per [`TICK`] from `now` on.
    fn run(&mut self, now: Instant, time: Duration) -> Instant {
        let mut at = now;
        while at < now + time {
            self.asked += 1;
            let heads = [self.head.clone()];
            self.scheduler.enqueue(ask(self.asked, at), at);
            for (key, outcome) in self.scheduler.assign(&heads, at) {
                if matches!(outcome, SlotOutcome::Granted(_)) {
                    self.granted.push(at);
                    self.scheduler.on_first_event(&key, at);
                    self.scheduler.release(&key);
                }
            }
            at += TICK;
        }
        at
    }
}

fn scheduler(now: Instant) -> Scheduler {
    let speed = EngineSpeed {
        decode_step: Duration::from_millis(1),
        decode_per_request: Duration::ZERO,
        steps_per_pass: 1,
        prefill_per_token: Duration::ZERO,
        time_factor: Millionths::of(1.0),
    };
    Scheduler::new(speed, now)
}

fn ask(number: u64, now: Instant) -> PendingRequest {
    PendingRequest {
        key: RequestKey {
            node: "n1".into(),
            number,
        },
        failure_domain: "z1".into(),
        prompt_tokens: 1,
        resumed: false,
        urgency: 1,
        on_time_until: now + Duration::from_millis(300),
        deadline: now + Duration::from_millis(600),
        max_event_gap: Duration::from_millis(300),
        avoid: Default::default(),
        excluded: Default::default(),
    }
}

/// Guards against overloading a cold host because of its free slots.
#[gtest]
fn a_scheduler_keeps_the_rate_limit_of_a_cold_head() {
    let now = Instant::now();
    let mut play = Play::new(Some(cold()), now);
    play.run(now, COLD_TIME);
    let most = max_per_second(&play.granted);
    expect_that!(most, le(RATE as usize));
    // It still gets requests.
    expect_that!(play.granted.len(), ge(2 * RATE as usize));
    play.head.cold = None;
    let warm = play.granted.len();
    play.run(now + COLD_TIME, Duration::from_secs(1));
    expect_that!(play.granted.len() - warm, ge(150));
}

/// Guards against two schedulers that each use the full rate of a cold head, the second of which
/// doesn't know the grants of the first.
#[gtest]
fn the_successor_of_a_scheduler_keeps_the_rate_limit_of_a_cold_head() {
    for handover in [50, 300, 700, 990] {
        let now = Instant::now();
        let mut play = Play::new(Some(cold()), now);
        let at = play.run(
            now,
            Duration::from_secs(1) + Duration::from_millis(handover),
        );
        play.scheduler = scheduler(at);
        play.run(at, Duration::from_millis(1500));
        expect_that!(
            max_per_second(&play.granted),
            le(BOUND),
            "after {handover} ms"
        );
    }
}

/// Times of requests to a cold host if `nodes` nodes choose independently, each with `per_s`
/// requests per second.
fn sent_by_shares(nodes: usize, per_s: f64) -> Vec<Instant> {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let host = HostId::from("h1");
    let mut sent = Vec::new();
    for _ in 0..nodes {
        let mut limiter = ColdRateLimiter::default();
        let mut at = now;
        loop {
            at += Duration::from_secs_f64(-rng.f64().max(1e-9).ln() / per_s);
            if at >= now + COLD_TIME {
                break;
            }
            if limiter.may_send(&host, &cold(), nodes, rng.f64(), at) {
                limiter.on_sent(&host);
                sent.push(at);
            }
        }
    }
    sent
}

/// Guards against many nodes without a common scheduler overloading a cold host.
#[gtest]
fn shares_of_many_nodes_keep_the_rate_limit_of_a_cold_host() {
    for nodes in [1, 30, 1000, 2000] {
        let sent = sent_by_shares(nodes, 20.0);
        expect_that!(max_per_second(&sent), le(BOUND), "{nodes} nodes");
        expect_that!(sent.len(), ge(RATE as usize / 2), "{nodes} nodes");
    }
}

#[gtest]
fn a_host_is_cold_for_as_long_as_its_entry_first_stated() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let entry = host("a", "z1", 2000);
    fleet.apply(FleetChange::Snapshot(vec![entry.clone()]), now);
    let until = now + Duration::from_secs(2);
    expect_that!(fleet.cold_until(&entry, &cold()), some(eq(until)));
    // Reading the same entry again changes nothing.
    let later = now + Duration::from_secs(1);
    fleet.apply(FleetChange::Snapshot(vec![entry.clone()]), later);
    expect_that!(fleet.cold_until(&entry, &cold()), some(eq(until)));
    let warm = host("a", "z1", 0);
    fleet.apply(FleetChange::Put(Box::new(warm.clone())), later);
    expect_that!(fleet.cold_until(&warm, &cold()), none());
}

/// Guards against full traffic at hosts that became cold during an evacuation: their entries show
/// that late.
#[gtest]
fn hosts_count_as_cold_after_an_evacuation_ends() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let (near, far) = (host("a", "z1", 0), host("b", "z2", 0));
    let hosts = vec![near.clone(), far.clone()];
    fleet.apply(FleetChange::Snapshot(hosts), now);
    fleet.apply_evacuation(EvacuationChange::Evacuated("z1".into()), now);
    expect_that!(fleet.takes_requests(&near), eq(false));
    expect_that!(fleet.takes_requests(&far), eq(true));
    let back = now + Duration::from_secs(5);
    fleet.apply_evacuation(EvacuationChange::Snapshot(BTreeSet::new()), back);
    expect_that!(fleet.takes_requests(&near), eq(true));
    expect_that!(fleet.cold_until(&near, &cold()), some(eq(back + COLD_TIME)));
    expect_that!(fleet.cold_until(&far, &cold()), none());
}

/// A decision on one of three failure domains.
fn decision() -> impl Strategy<Value = (usize, bool)> {
    (0_usize..3, any::<bool>())
}

proptest! {
    /// The last decision on each failure domain applies, however many of the operator's decisions a
    /// node receives as a snapshot or as changes, including repeated changes.
    #[test]
    fn the_last_decision_on_a_failure_domain_holds(
        decisions in proptest::collection::vec(decision(), 1..12),
        read_at in 0_usize..12,
        repeated in 0_usize..4,
    ) {
        let now = Instant::now();
        let domains: [FailureDomain; 3] = ["z1".into(), "z2".into(), "z3".into()];
        let state = |decided: &[(usize, bool)]| {
            let mut evacuated = BTreeSet::new();
            for (domain, is_evacuated) in decided {
                if *is_evacuated {
                    evacuated.insert(domains[*domain].clone());
                } else {
                    evacuated.remove(&domains[*domain]);
                }
            }
            evacuated
        };
        let read_at = read_at.min(decisions.len());
        let mut fleet = Fleet::default();
        let list = EvacuationChange::Snapshot(state(&decisions[..read_at]));
        fleet.apply_evacuation(list, now);
        for (domain, is_evacuated) in &decisions[read_at.saturating_sub(repeated)..] {
            let domain = domains[*domain].clone();
            let change = if *is_evacuated {
                EvacuationChange::Evacuated(domain)
            } else {
                EvacuationChange::Cancelled(domain)
            };
            fleet.apply_evacuation(change, now);
        }
        let known: BTreeSet<FailureDomain> = fleet.evacuated().cloned().collect();
        assert_eq!(known, state(&decisions));
    }
}
