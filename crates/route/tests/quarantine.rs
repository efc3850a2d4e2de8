//! Tests of the quarantine coordinator: it quarantines requests that crash hosts in the whole fleet,
//! and others not for long.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_route::*;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const CRASHING: Fingerprint = 666;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A run of a request on a host that crashed.
fn run(fingerprint: Fingerprint, ran_for: Duration, started: bool) -> CrashedRun {
    CrashedRun {
        ran_for,
        started,
        ..CrashedRun::from(fingerprint)
    }
}

/// A coordinator with its node's table.
#[derive(Default)]
struct Node {
    table: QuarantineTable,
    coordinator: QuarantineCoordinator,
}

impl Node {
    fn crash(&mut self, host: &str, domain: &str, running: &[CrashedRun], now: Instant) {
        let crash = CrashRecord {
            id: crash_id(host, 0),
            failure_domain: domain.into(),
            age: Duration::ZERO,
            running: running.to_vec(),
        };
        let decided = self
            .coordinator
            .on_crash(&"draft".into(), crash, &self.table, now);
        self.apply(decided, now);
    }

    fn completed(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.completed_before(fingerprint, Duration::ZERO, now);
    }

    /// A completion that was `age` ago.
    fn completed_before(&mut self, fingerprint: Fingerprint, age: Duration, now: Instant) {
        let decided =
            self.coordinator
                .on_completed(&"draft".into(), fingerprint, age, &self.table, now);
        self.apply(decided, now);
    }

    fn decide(&mut self, now: Instant) {
        let decided = self.coordinator.decide(&self.table, now);
        self.apply(decided, now);
    }

    fn may_try(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let permitted =
            self.coordinator
                .request_trial(&"draft".into(), fingerprint, SECOND, &self.table, now);
        if let Ok(decided) = &permitted {
            self.apply(decided.clone(), now);
        }
        permitted.is_ok()
    }

    fn apply(&mut self, decided: impl IntoIterator<Item = QuarantineRecord>, now: Instant) {
        for record in decided {
            self.table.merge(&record, now);
        }
    }

    fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.table.status(fingerprint, now) != QuarantineStatus::Clear
    }
}

/// Guards against quarantining requests that were retried beside the crashing one on each host.
#[gtest]
fn a_crashing_request_is_told_from_those_retried_beside_it() {
    let mut now = Instant::now();
    let mut node = Node::default();
    for (host, domain) in [("h1", "a"), ("h2", "b"), ("h3", "c")] {
        let retried = [1, 2, 3].map(|p| run(p, ms(60), true));
        let crashing = run(CRASHING, ms(60), false);
        node.crash(host, domain, &[&[crashing], &retried[..]].concat(), now);
        now += ms(400);
        node.decide(now);
    }
    expect_that!(node.is_quarantined(CRASHING, now), eq(true));
    for retried in 1..=3 {
        expect_that!(node.is_quarantined(retried, now), eq(false));
    }
}

/// Guards against quarantining a request that is sent again after each crash instead of the one that
/// runs on several hosts at the same time and crashes them all.
#[gtest]
fn a_request_sent_again_after_crashes_is_told_from_one_that_ran_in_more_of_them() {
    let start = Instant::now();
    let mut node = Node::default();
    let retried = |ran_for| run(1, ms(ran_for), false);
    let crashing = |ran_for| run(CRASHING, ms(ran_for), true);
    // The crashing request runs on h2 before h1 crashes, and on h3 before h2 does.
    let crashes = [
        (0, "h1", "a", vec![crashing(150), retried(300)]),
        (140, "h2", "b", vec![crashing(160), retried(120)]),
        (210, "h3", "c", vec![crashing(150)]),
        (450, "h4", "a", vec![crashing(180), retried(200)]),
    ];
    for (at, host, domain, running) in crashes {
        node.decide(start + ms(at));
        node.crash(host, domain, &running, start + ms(at));
    }
    let now = start + ms(700);
    node.decide(now);
    expect_that!(node.is_quarantined(CRASHING, now), eq(true));
    expect_that!(node.is_quarantined(1, now), eq(false));
}

/// Guards against losing the evidence on a crashing request when another one was quarantined, and
/// against keeping that one quarantined once the cause is known.
#[gtest]
fn evidence_outlives_the_quarantine_of_another_request() {
    let start = Instant::now();
    let mut node = Node::default();
    let hosts = [("h1", "a"), ("h2", "b"), ("h3", "c")];
    for (n, (host, domain)) in (0..).zip(hosts) {
        node.crash(host, domain, &[run(1, ms(60), false)], start + n * SECOND);
        node.decide(start + n * SECOND + ms(900));
    }
    let now = start + 3 * SECOND;
    expect_that!(node.is_quarantined(1, now), eq(true));
    // Another node's reports on these crashes come late, and the next crash is without request 1.
    for (n, (host, domain)) in (0..).zip(hosts) {
        node.crash(
            host,
            domain,
            &[run(CRASHING, ms(60), false)],
            start + n * SECOND,
        );
    }
    node.crash("h4", "a", &[run(CRASHING, ms(60), false)], now);
    node.decide(now + SECOND);
    expect_that!(node.is_quarantined(CRASHING, now + SECOND), eq(true));
    expect_that!(node.is_quarantined(1, now + SECOND), eq(false));
}

/// Guards against a first trial after a few seconds of a request that was recognized late.
#[gtest]
fn a_request_that_crashed_many_hosts_is_quarantined_for_longer() {
    let start = Instant::now();
    let mut node = Node::default();
    for n in 0..8 {
        let host = format!("h{n}");
        let at = start + n * SECOND;
        node.crash(&host, "a", &[run(CRASHING, ms(60), false)], at);
    }
    let now = start + 9 * SECOND;
    node.decide(now);
    expect_that!(node.may_try(CRASHING, now + 30 * SECOND), eq(false));
    expect_that!(node.may_try(CRASHING, now + 130 * SECOND), eq(true));
}

/// Guards against quarantining a request that many callers send, and that so runs on each host which
/// crashes.
#[gtest]
fn a_request_that_runs_everywhere_is_not_quarantined_for_crashes_of_another() {
    let mut now = Instant::now();
    let mut node = Node::default();
    for n in 0..6 {
        let common = run(1, ms(20 + n), false);
        let crashing = run(CRASHING, ms(60), false);
        let running = match node.is_quarantined(CRASHING, now) {
            true => vec![],
            false => vec![crashing, common],
        };
        node.crash(&format!("h{n}"), "a", &running, now);
        now += SECOND;
        node.decide(now);
        node.completed(1, now);
    }
    expect_that!(node.is_quarantined(CRASHING, now), eq(true));
    expect_that!(node.is_quarantined(1, now), eq(false));
}

/// Guards against counting hosts that fail together as crashes one after the other.
#[gtest]
fn hosts_that_crash_together_quarantine_nothing() {
    let mut now = Instant::now();
    let mut node = Node::default();
    for (host, domain) in [("h1", "a"), ("h2", "b"), ("h3", "c"), ("h4", "a")] {
        node.crash(host, domain, &[run(1, ms(200), false)], now);
        now += ms(10);
    }
    node.decide(now + SECOND);
    expect_that!(node.is_quarantined(1, now + SECOND), eq(false));
}

/// Guards against counting a run twice that began on two hosts which crash within the error of the
/// reported times.
#[gtest]
fn crashes_at_one_moment_count_once() {
    let start = Instant::now();
    let mut node = Node::default();
    for round in 0..2 {
        let at = start + round * 10 * SECOND;
        let hosts = [format!("h{round}"), format!("i{round}")];
        node.crash(&hosts[0], "a", &[run(1, ms(200), true)], at);
        node.crash(&hosts[1], "b", &[run(1, ms(10), false)], at + ms(2));
        node.decide(at + SECOND);
        expect_that!(node.is_quarantined(1, at + SECOND), eq(false));
        node.completed(1, at + 2 * SECOND);
    }
}

/// Guards against refusing a sound request for long: a trial clears it.
#[gtest]
fn a_completed_trial_clears_a_request() {
    let now = Instant::now();
    let mut node = Node::default();
    node.crash("h1", "a", &[run(1, ms(50), false)], now);
    node.crash("h2", "b", &[run(1, ms(50), false)], now + SECOND);
    node.decide(now + 2 * SECOND);
    expect_that!(node.may_try(1, now + 2 * SECOND), eq(false));
    let due = now + 13 * SECOND;
    expect_that!(node.may_try(1, due), eq(true));
    expect_that!(node.may_try(1, due), eq(false), "one trial at a time");
    node.completed(1, due + ms(300));
    expect_that!(node.is_quarantined(1, due + ms(300)), eq(false));
    expect_that!(node.may_try(1, due + ms(300)), eq(true));
}

/// Guards against trials that crash a host every few seconds for ever.
#[gtest]
fn failed_trials_lengthen_the_quarantine() {
    let start = Instant::now();
    let mut now = start;
    let mut node = Node::default();
    let mut crashes = 0;
    while now < start + 24 * 3600 * SECOND {
        if node.may_try(CRASHING, now) {
            crashes += 1;
            let host = format!("h{crashes}");
            node.crash(&host, "a", &[run(CRASHING, ms(50), false)], now + ms(50));
        }
        now += SECOND;
        node.decide(now);
    }
    // Two until the quarantine, and a trial after each of the first three terms.
    expect_that!(crashes, eq(5));
}

/// Guards against trials that seem over when another node reports an earlier completion.
#[gtest]
fn a_completion_from_before_a_trial_does_not_end_it() {
    let start = Instant::now();
    let mut node = Node::default();
    for (n, host) in (0..).zip(["h1", "h2", "h3", "h4"]) {
        let at = start + n * SECOND;
        node.crash(host, "a", &[run(CRASHING, ms(60), false)], at);
        node.decide(at + ms(900));
    }
    let now = start + 20 * SECOND;
    expect_that!(node.is_quarantined(CRASHING, now), eq(true));
    expect_that!(node.may_try(CRASHING, now), eq(true));
    node.completed_before(CRASHING, 21 * SECOND, now + ms(100));
    node.crash("h5", "a", &[run(CRASHING, ms(60), false)], now + ms(200));
    expect_that!(node.may_try(CRASHING, now + 30 * SECOND), eq(false));
    expect_that!(node.may_try(CRASHING, now + 130 * SECOND), eq(true));
}

/// A decision on a request that was made `age` ago.
fn record(offences: u32, age: Duration) -> QuarantineRecord {
    QuarantineRecord {
        fingerprint: 1,
        service: "draft".into(),
        offences,
        age,
        retry_after: 10 * SECOND,
    }
}

/// Guards against a late message restoring a quarantine that was lifted, and against nodes that
/// differ by the order in which they receive decisions.
#[gtest]
fn the_newest_decision_wins_in_any_order() {
    let now = Instant::now();
    let decisions = [
        record(1, 3 * SECOND),
        record(2, 2 * SECOND),
        record(0, SECOND),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]] {
        let mut table = QuarantineTable::default();
        for index in order {
            table.merge(&decisions[index], now);
        }
        expect_that!(
            table.status(1, now),
            eq(QuarantineStatus::Clear),
            "{order:?}"
        );
    }
}

/// Guards against restored decisions that end too soon or too late.
#[gtest]
fn saved_decisions_keep_their_times() {
    let (now, before) = (Instant::now(), 50 * SECOND);
    let mut table = QuarantineTable::default();
    for (fingerprint, offences) in [(1, 2), (2, 0)] {
        let record = QuarantineRecord {
            fingerprint,
            service: "draft".into(),
            offences,
            age: 3 * SECOND,
            retry_after: 100 * SECOND,
        };
        table.merge(&record, now);
    }
    let saved = table.to_saved(now, before);
    let restored = saved.iter().map(|d| d.to_record(before + 10 * SECOND));
    expect_that!(
        restored.collect::<Vec<_>>(),
        elements_are![eq(&QuarantineRecord {
            fingerprint: 1,
            service: "draft".into(),
            offences: 2,
            age: 13 * SECOND,
            retry_after: 90 * SECOND,
        })]
    );
}

/// Guards against a saved quarantine that was lifted meanwhile, and against one that is restored again
/// and again, later each time.
#[gtest]
fn a_saved_decision_is_restored_only_where_it_is_unknown() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    expect_that!(table.knows(&record(1, 5 * SECOND), now), eq(false));
    table.merge(&record(1, 5 * SECOND), now);
    expect_that!(table.knows(&record(1, 5 * SECOND - ms(200)), now), eq(true));
    expect_that!(table.knows(&record(2, SECOND), now), eq(false));
    table.merge(&record(0, 2 * SECOND), now);
    expect_that!(table.knows(&record(1, 5 * SECOND - ms(200)), now), eq(true));
}

/// Guards against saved decisions that grow with the requests that crash hosts.
#[gtest]
fn the_newest_decisions_are_saved() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    for n in 0..200 {
        let record = QuarantineRecord {
            fingerprint: n.into(),
            service: "draft".into(),
            offences: 1,
            age: n * SECOND,
            retry_after: 100 * SECOND,
        };
        table.merge(&record, now);
    }
    let saved = table.to_saved(now, 1000 * SECOND);
    let fingerprints: Vec<u64> = saved.iter().map(|d| d.fingerprint).collect();
    expect_that!(fingerprints, eq(&(0..64).collect::<Vec<u64>>()));
}

/// Guards against state that grows with the requests that crash hosts, or with the hosts.
#[gtest]
fn state_is_bounded() {
    let start = Instant::now();
    let mut node = Node::default();
    for n in 0..4000 {
        let now = start + n * ms(20);
        let running = [run(u64::from(n / 2), ms(10), false)];
        node.crash(&format!("h{n}"), ["a", "b"][n as usize % 2], &running, now);
        node.decide(now);
    }
    expect_that!(node.table.quarantined(), le(256));
    let exported = node.table.export(start + 80 * SECOND).count();
    expect_that!(exported, le(256));
}

/// Entry hosts of the largest fleet.
const NODES: usize = 985;
/// Time until a decision has reached all nodes: three hops of a tick, and a lost message.
const SPREAD: Duration = Duration::from_millis(1500);
/// How long after its third crash a request may still reach hosts freely, and how often after that.
const NOTICE_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_ARRIVALS: usize = 3;

/// Nodes that receive each decision with a delay of their own.
struct Fleet {
    tables: Vec<(QuarantineTable, usize)>,
    /// Decisions, in the order of time.
    published: Vec<(Instant, QuarantineRecord)>,
    coordinators: [Node; 2],
    hosts: u64,
    /// Arrivals at hosts and crashes, by request.
    arrivals: BTreeMap<Fingerprint, Vec<Instant>>,
    crashes: BTreeMap<Fingerprint, Vec<Instant>>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            tables: (0..NODES).map(|_| Default::default()).collect(),
            published: Vec::new(),
            coordinators: Default::default(),
            hosts: 0,
            arrivals: BTreeMap::new(),
            crashes: BTreeMap::new(),
        }
    }

    fn status(&mut self, node: usize, request: Fingerprint, now: Instant) -> QuarantineStatus {
        let (table, received) = &mut self.tables[node];
        let delay = SPREAD.mul_f64(node as f64 / NODES as f64);
        while let Some((at, record)) = self.published.get(*received) {
            if *at + delay > now {
                break;
            }
            let age = now.saturating_duration_since(*at);
            let record = QuarantineRecord {
                age: record.age + age,
                retry_after: record.retry_after.saturating_sub(age),
                ..record.clone()
            };
            table.merge(&record, now);
            *received += 1;
        }
        table.status(request, now)
    }

    /// Publishes what coordinators have decided since `before`.
    fn publish(&mut self, before: &[Vec<QuarantineRecord>; 2], now: Instant) {
        for (node, before) in self.coordinators.iter().zip(before) {
            let newer = |r: &QuarantineRecord| {
                let known = before.iter().find(|b| b.fingerprint == r.fingerprint);
                known.is_none_or(|b| b.age > r.age)
            };
            let decided = node.table.export(now).filter(newer);
            self.published.extend(decided.map(|record| (now, record)));
        }
    }

    fn exported(&self, now: Instant) -> [Vec<QuarantineRecord>; 2] {
        self.coordinators
            .each_ref()
            .map(|node| node.table.export(now).collect())
    }

    /// A request comes to a node; it runs at up to two hosts, which crash.
    fn arrive(&mut self, node: usize, request: Fingerprint, now: Instant) {
        let status = self.status(node, request, now);
        let before = self.exported(now);
        let attempts = match status {
            QuarantineStatus::Clear => 2,
            QuarantineStatus::TrialDue if self.coordinators[0].may_try(request, now) => 1,
            _ => 0,
        };
        for attempt in 0..attempts {
            let sent = now + attempt * ms(70);
            if attempt > 0 && self.status(node, request, sent) != QuarantineStatus::Clear {
                break;
            }
            self.hosts += 1;
            self.arrivals.entry(request).or_default().push(sent);
            let crashed = sent + ms(60);
            self.crashes.entry(request).or_default().push(crashed);
            let (host, domain) = (
                format!("h{}", self.hosts),
                ["a", "b", "c"][self.hosts as usize % 3],
            );
            for node in &mut self.coordinators {
                node.crash(&host, domain, &[run(request, ms(60), false)], crashed);
            }
        }
        self.publish(&before, now);
    }

    fn decide(&mut self, now: Instant) {
        let before = self.exported(now);
        for node in &mut self.coordinators {
            node.decide(now);
        }
        self.publish(&before, now);
        // The second coordinator takes over what the first one published, and the other way round.
        let [first, second] = self.exported(now);
        self.coordinators[0].apply(second, now);
        self.coordinators[1].apply(first, now);
    }

    fn late_arrivals(&self, request: Fingerprint) -> usize {
        let (Some(arrivals), Some(crashes)) =
            (self.arrivals.get(&request), self.crashes.get(&request))
        else {
            return 0;
        };
        let third = crashes.get(2).or(crashes.last());
        let late = |at: &&Instant| third.is_some_and(|third| **at > *third + NOTICE_TIME);
        arrivals.iter().filter(late).count()
    }
}

/// Guards against requests that go on crashing hosts because each attempt comes to another node of
/// the largest fleet, while the coordinators are replaced.
#[gtest]
fn many_crashing_requests_stop_reaching_hosts_in_the_largest_fleet() {
    const REQUESTS: u64 = 20;
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet = Fleet::new();
    for step in 0..1800_u32 {
        let now = start + step * ms(100);
        for request in 0..REQUESTS {
            fleet.arrive(rng.usize(..NODES), request, now);
        }
        fleet.decide(now + ms(99));
        if step == 300 {
            let [first, _] = fleet.exported(now);
            for node in &mut fleet.coordinators {
                node.coordinator = QuarantineCoordinator::default();
                node.apply(first.clone(), now);
            }
        }
    }
    for request in 0..REQUESTS {
        expect_that!(fleet.late_arrivals(request), le(MAX_LATE_ARRIVALS));
    }
    // Two coordinators: the quarantine, a trial and its failure for each of the first terms.
    expect_that!(fleet.published.len() as u64, le(REQUESTS * 2 * 8));
}

/// A run of requests with a part that others share.
fn part(fingerprint: Fingerprint) -> CrashedRun {
    CrashedRun {
        breadth: 1,
        ..run(fingerprint, ms(60), false)
    }
}

/// Guards against beginning anew with the evidence against a part when all nodes restart.
#[gtest]
fn saved_evidence_counts_for_coordinators_that_start_anew() {
    let start = Instant::now();
    let clock = 1000 * SECOND;
    let mut first = Node::default();
    for (n, host) in (0..).zip(["h1", "h2"]) {
        let running = [
            part(CRASHING),
            part(10 + u64::from(n)),
            run(20 + u64::from(n), ms(60), false),
        ];
        first.crash(host, ["a", "b"][n as usize], &running, start + n * SECOND);
    }
    first.completed(11, start + SECOND);
    let saved = first.coordinator.to_saved(start + 2 * SECOND, clock);
    let at = [clock - 2 * SECOND, clock - SECOND];
    let mut crashes: Vec<_> = saved
        .crashes
        .iter()
        .map(|c| (c.at, c.running.clone()))
        .collect();
    crashes.sort_by_key(|(at, _)| *at);
    // Only the part was in several crashes.
    expect_that!(
        crashes,
        eq(&at.map(|at| (at, vec![part(CRASHING)])).to_vec())
    );
    let now = start + 10 * SECOND;
    for has_evidence in [false, true] {
        let mut node = Node::default();
        for n in 0..20 {
            let sound = [(100 + n, 0), (12 + n, 1)];
            let sound = sound.map(|(fingerprint, breadth)| CrashCandidate {
                fingerprint,
                breadth,
            });
            node.coordinator.on_request(&"draft".into(), &sound);
        }
        if has_evidence {
            let table = QuarantineTable::default();
            node.coordinator
                .restore(&saved, clock + 8 * SECOND, &table, now);
        }
        node.crash("h3", "c", &[part(CRASHING), part(12)], now);
        for n in 1..40 {
            node.decide(now + n * ms(100));
        }
        let later = now + 3 * SECOND;
        expect_that!(node.is_quarantined(CRASHING, later), eq(has_evidence));
        expect_that!(node.is_quarantined(12, later), eq(false));
    }
}

/// Guards against writes of evidence that the store has already, or of none.
#[gtest]
fn evidence_that_is_saved_is_the_same_when_it_is_restored() {
    let now = Instant::now();
    let clock = 1000 * SECOND;
    let mut first = Node::default();
    let none = first.coordinator.to_saved(now, clock);
    expect_true!(none.is_same(&SavedEvidence::default()));
    first.crash("h1", "a", &[part(CRASHING), part(1)], now);
    expect_true!(first.coordinator.to_saved(now, clock).is_same(&none));
    first.crash("h2", "b", &[part(CRASHING), part(2)], now);
    let saved = first.coordinator.to_saved(now, clock);
    expect_false!(saved.is_same(&none));
    let mut second = Node::default();
    second
        .coordinator
        .restore(&saved, clock, &QuarantineTable::default(), now);
    expect_true!(second.coordinator.to_saved(now, clock).is_same(&saved));
    second.crash("h3", "c", &[part(CRASHING)], now);
    expect_false!(second.coordinator.to_saved(now, clock).is_same(&saved));
}
