//! Tests of the measurement of demand, under generated load, and of adding up its reports.

mod support;

use std::time::{Duration, Instant};

use eelgrassmill_base::SchedulerScope;
use eelgrassmill_fleet::{
    DemandMeter, DemandReport, DemandSnapshot, DemandTable, ModelDemand, OpenHead, PendingRequest,
    RequestKey, Scheduler, SlotOutcome,
};
use googletest::prelude::*;

const STEP: Duration = Duration::from_millis(50);
/// Mean time for which requests of [`Load`] hold a slot.
const MEAN_HELD: f64 = 2.0;

/// Callers that send requests at random times, and send each rejected one again after 0.5 s.
struct Load {
    meter: DemandMeter,
    rng: fastrand::Rng,
    slots: usize,
    /// Grant and end of each request that holds a slot.
    held: Vec<(Instant, Instant)>,
    /// When rejected callers come back.
    returning: Vec<Instant>,
    now: Instant,
}

impl Load {
    fn new(slots: usize, seed: u64) -> Load {
        let now = Instant::now();
        Load {
            meter: DemandMeter::new(now),
            rng: fastrand::Rng::with_seed(seed),
            slots,
            held: Vec::new(),
            returning: Vec::new(),
            now,
        }
    }

    /// Runs for `seconds` at `rate` new requests per second. Returns the means of the measurements.
    fn run(&mut self, seconds: u32, rate: f64) -> ModelDemand {
        let steps = seconds * 20;
        let mut sum = ModelDemand::default();
        let mut measured = 0.0;
        for _ in 0..steps {
            self.now += STEP;
            self.release_ended();
            // Several tries make the count of arrivals nearly Poisson-distributed.
            let tries = (rate * STEP.as_secs_f64() * 10.0).ceil();
            let chance = rate * STEP.as_secs_f64() / tries.max(1.0);
            for _ in 0..tries as usize {
                if self.rng.f64() < chance {
                    self.arrive(false);
                }
            }
            let due = self.returning.iter().filter(|at| **at <= self.now).count();
            self.returning.retain(|at| *at > self.now);
            (0..due).for_each(|_| self.arrive(true));
            self.meter.set_used(self.held.len(), self.now);
            if let Some(demand) = self.meter.measure(self.now) {
                sum.used += demand.used;
                sum.wanted += demand.wanted;
                sum.rejected_per_second += demand.rejected_per_second;
                sum.prompt_tokens_per_second += demand.prompt_tokens_per_second;
                sum.peak = sum.peak.max(demand.peak);
                measured += 1.0;
            }
        }
        ModelDemand {
            used: sum.used / measured,
            wanted: sum.wanted / measured,
            peak: sum.peak,
            rejected_per_second: sum.rejected_per_second / measured,
            prompt_tokens_per_second: sum.prompt_tokens_per_second / measured,
        }
    }

    fn arrive(&mut self, repeated: bool) {
        self.meter.on_arrival(repeated, 100, self.now);
        if self.held.len() < self.slots {
            let held = MEAN_HELD * (0.5 + self.rng.f64());
            let end = self.now + Duration::from_secs_f64(held);
            self.meter.on_grant(self.now);
            self.held.push((self.now, end));
        } else {
            self.meter.on_rejections(1, self.now);
            if !repeated {
                self.returning.push(self.now + Duration::from_millis(500));
            }
        }
    }

    fn release_ended(&mut self) {
        let (meter, now) = (&mut self.meter, self.now);
        self.held.retain(|(granted_at, end)| {
            if *end <= now {
                meter.on_ended(*granted_at, false, now);
                meter.on_release(*granted_at);
            }
            *end > now
        });
    }
}

/// Guards against demand that depends on something else than arrivals and holding times.
#[gtest]
fn wanted_slots_are_arrivals_times_holding_time() {
    for seed in 0..5 {
        let mut load = Load::new(usize::MAX, seed);
        load.run(10, 50.0);
        let mean = load.run(30, 50.0);
        expect_that!(mean.wanted, near(100.0, 12.0), "seed {seed}");
        expect_that!(mean.used, near(100.0, 12.0), "seed {seed}");
        expect_that!(mean.prompt_tokens_per_second, near(5000.0, 600.0));
        expect_that!(mean.rejected_per_second, eq(0.0));
    }
}

/// Guards against callers that come back counting as further demand.
#[gtest]
fn repeats_of_rejected_requests_are_no_demand() {
    for seed in 0..5 {
        let mut load = Load::new(50, seed);
        load.run(10, 50.0);
        let mean = load.run(30, 50.0);
        expect_that!(mean.wanted, near(100.0, 12.0), "seed {seed}");
        expect_that!(mean.used, le(50.0), "seed {seed}");
        expect_that!(mean.used, ge(47.0), "seed {seed}");
        // Each of 50 a second is rejected with a chance of a third to two thirds, twice at most.
        expect_that!(mean.rejected_per_second, ge(30.0), "seed {seed}");
    }
}

/// Guards against giving capacity away between two waves of a burst, and against keeping it for ever.
#[gtest]
fn the_peak_of_a_burst_counts_for_eight_seconds() {
    let mut load = Load::new(usize::MAX, 7);
    load.run(10, 20.0);
    let burst = load.run(5, 60.0);
    expect_that!(burst.peak, ge(80.0));
    load.run(6, 20.0);
    let after = load.meter.measure(load.now);
    expect_that!(after.map(|d| d.peak), some(ge(80.0)));
    expect_that!(after.map(|d| d.wanted), some(le(60.0)));
    load.run(9, 20.0);
    let later = load.meter.measure(load.now);
    expect_that!(later.map(|d| d.peak), some(le(70.0)));
}

/// Guards against a new scheduler that reports a part of the demand since it has seen only the
/// shortest streams end.
#[gtest]
fn demand_is_unknown_until_streams_have_ended() {
    let start = Instant::now();
    let mut meter = DemandMeter::new(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut known_since = None;
    for ms in (0..12_000).step_by(50) {
        meter.on_arrival(false, 0, at(ms));
        meter.on_grant(at(ms));
        if ms >= 5_600 {
            meter.on_ended(at(ms - 5_600), false, at(ms));
            meter.on_release(at(ms - 5_600));
        }
        if let Some(demand) = meter.measure(at(ms)) {
            known_since.get_or_insert(ms);
            expect_that!(demand.wanted, near(112.0, 6.0), "at {ms} ms");
        }
    }
    expect_that!(known_since, some(all![ge(5_600), le(8_000)]));
}

/// Guards against taking a model for idle whose first requests take longer than they are waited for.
#[gtest]
fn requests_that_never_end_are_demand() {
    let start = Instant::now();
    let mut meter = DemandMeter::new(start);
    let at = |s: u64| start + Duration::from_secs(s);
    for s in 0..20 {
        meter.on_arrival(false, 0, at(s));
        meter.on_grant(at(s));
    }
    expect_that!(meter.measure(at(20)).map(|d| d.wanted), some(ge(8.0)));
}

/// Guards against taking streams that are cut off and resumed elsewhere for short ones.
#[gtest]
fn both_runs_of_a_resumed_stream_count() {
    let start = Instant::now();
    let mut meter = DemandMeter::new(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    for ms in (0..12_000).step_by(50) {
        meter.on_arrival(false, 0, at(ms));
        meter.on_grant(at(ms));
        for (ended, resumed) in [(1_000, false), (2_000, true)] {
            if ms >= ended {
                meter.on_ended(at(ms - 1_000), resumed, at(ms));
                meter.on_release(at(ms - 1_000));
            }
        }
        if ms >= 1_000 {
            meter.on_arrival(true, 0, at(ms));
            meter.on_grant(at(ms));
        }
    }
    expect_that!(
        meter.measure(at(12_000)).map(|d| d.wanted),
        some(near(40.0, 2.0))
    );
}

/// Guards against a mean holding time of hours when only resumed streams have ended lately.
#[gtest]
fn resumed_streams_alone_count_as_requests() {
    let start = Instant::now();
    let mut meter = DemandMeter::new(start);
    let at = |s: u64| start + Duration::from_secs(s);
    for (granted, ended, resumed) in [(0, 1, false), (60, 63, true), (61, 64, true)] {
        meter.on_arrival(resumed, 0, at(granted));
        meter.on_grant(at(granted));
        meter.on_ended(at(granted), resumed, at(ended));
        meter.on_release(at(granted));
    }
    meter.on_arrival(false, 0, at(64));
    expect_that!(meter.measure(at(64)).map(|d| d.wanted), some(le(3.5)));
}

/// Guards against slots leaking from the measurement when heads reject requests, and against these
/// counting as short holding times.
#[gtest]
fn the_scheduler_counts_grants_releases_and_rejections() {
    let start = Instant::now();
    let mut scheduler = Scheduler::new(support::speed(), start);
    let heads = [OpenHead {
        key: ("r0".into(), 1),
        host: "h0".into(),
        slots: 4,
        failure_domain: "z1".into(),
        inherited_requests: 0,
        unscheduled_requests: 0,
        cold: None,
        limit: None,
    }];
    let mut held: Vec<(Instant, RequestKey)> = Vec::new();
    let mut last = None;
    for number in 0..100_u64 {
        let now = start + Duration::from_millis(100) * number as u32;
        let ended = held.extract_if(.., |(at, _)| now - *at >= Duration::from_secs(1));
        ended.for_each(|(_, key)| scheduler.on_released(&key, now));
        let key = RequestKey {
            node: "n1".into(),
            number,
        };
        let request = PendingRequest {
            key: key.clone(),
            failure_domain: "z1".into(),
            prompt_tokens: 10,
            resumed: false,
            urgency: 1,
            on_time_until: now + Duration::from_millis(300),
            deadline: now,
            max_event_gap: Duration::from_millis(300),
            avoid: Default::default(),
            excluded: Default::default(),
        };
        if scheduler.enqueue(request, now) {
            scheduler.count_demand(false, 10, now);
        }
        for (key, outcome) in scheduler.assign(&heads, now) {
            if matches!(outcome, SlotOutcome::Granted(_)) && number % 10 == 0 {
                scheduler.on_rejected(&key, now);
            } else if matches!(outcome, SlotOutcome::Granted(_)) {
                scheduler.on_first_event(&key, now);
                held.push((now, key));
            }
        }
        last = scheduler.measure_demand(&heads, now);
    }
    let (demand, _) = last.expect("10 s are enough to measure it");
    expect_that!(demand.wanted, near(10.0, 1.5));
    // A full head gets one request more than it has slots.
    expect_that!(demand.used, all![ge(2.5), le(5.0)]);
    expect_that!(demand.rejected_per_second, ge(5.0));
}

fn slots(wanted: f64) -> ModelDemand {
    ModelDemand {
        used: wanted,
        wanted,
        peak: wanted,
        ..ModelDemand::default()
    }
}

fn scope(heads_in: &str) -> SchedulerScope {
    SchedulerScope {
        service: "s".into(),
        model: "m".into(),
        heads_in: (!heads_in.is_empty()).then(|| heads_in.into()),
    }
}

fn report(demand: ModelDemand, measured_at: Instant) -> DemandReport {
    DemandReport {
        demand,
        slots: 40.0,
        measured_at,
        last_request: measured_at,
    }
}

fn table(reports: &[(&str, &str, DemandReport)]) -> DemandTable {
    let mut table = DemandTable::default();
    for (node, heads_in, report) in reports {
        table.on_report(&(*node).into(), &scope(heads_in), *report);
    }
    table
}

fn wanted(table: &DemandTable, now: Instant) -> Option<f64> {
    table.demand("s", "m", now).map(|d| d.wanted)
}

/// Guards against counting a scope twice while its scheduler moves to another node.
#[gtest]
fn the_newest_report_of_each_scope_is_added_up() {
    let now = Instant::now();
    let then = now - Duration::from_secs(1);
    let table = table(&[
        ("n1", "z1", report(slots(10.0), then)),
        ("n2", "z1", report(slots(12.0), now)),
        ("n2", "z2", report(slots(20.0), then)),
    ]);
    expect_that!(wanted(&table, now), some(near(32.0, 0.001)));
    expect_that!(table.demand("s", "other", now), none());
}

/// Guards against adding a model's former scheduler, which still reports while it is idle, to those
/// that replaced it.
#[gtest]
fn schedulers_that_nodes_no_longer_use_do_not_count() {
    let now = Instant::now();
    let idle = DemandReport {
        last_request: now - Duration::from_secs(2),
        ..report(slots(30.0), now)
    };
    let then = now - Duration::from_millis(500);
    let sharded = [
        ("n1", "", idle),
        ("n2", "z1", report(slots(10.0), then)),
        ("n3", "z2", report(slots(11.0), then)),
    ];
    expect_that!(wanted(&table(&sharded), now), some(near(21.0, 0.001)));
    let single = [
        ("n1", "", report(slots(30.0), then)),
        ("n2", "z1", idle),
        ("n3", "z2", idle),
    ];
    expect_that!(wanted(&table(&single), now), some(near(30.0, 0.001)));
}

/// Guards against taking a lost or cut off scheduler's demand for zero.
#[gtest]
fn old_reports_make_demand_unknown() {
    let now = Instant::now();
    let old = now - Duration::from_millis(3001);
    let mut table = table(&[
        ("n1", "z1", report(slots(10.0), old)),
        ("n2", "z2", report(slots(20.0), now)),
    ]);
    expect_that!(wanted(&table, now), none());
    table.on_report(&"n3".into(), &scope("z1"), report(slots(9.0), now));
    expect_that!(wanted(&table, now), some(near(29.0, 0.001)));
    table.forget_node("n3");
    expect_that!(wanted(&table, now), none());
    table.remove("n1", &scope("z1"));
    expect_that!(wanted(&table, now), some(near(20.0, 0.001)));
    table.forget_node("n2");
    expect_that!(wanted(&table, now), none());
}

/// Guards against steps that follow the numbers of a faulty node.
#[gtest]
fn contradictory_reports_make_demand_unknown() {
    let now = Instant::now();
    let faulty = [
        slots(f64::NAN),
        slots(f64::INFINITY),
        slots(-1.0),
        slots(4001.0),
        ModelDemand {
            rejected_per_second: f64::NAN,
            ..slots(1.0)
        },
    ];
    for demand in faulty {
        let reports = [
            ("n1", "z1", report(demand, now)),
            ("n2", "z2", report(slots(20.0), now)),
        ];
        expect_that!(wanted(&table(&reports), now), none(), "{demand:?}");
    }
    let fewer_wanted_than_used = ModelDemand {
        used: 30.0,
        ..slots(20.0)
    };
    let reports = [("n1", "", report(fewer_wanted_than_used, now))];
    expect_that!(wanted(&table(&reports), now), some(near(20.0, 0.001)));
}

/// Guards against a sum without the failure domain whose scheduler runs at a node that doesn't
/// report.
#[gtest]
fn domains_without_a_report_are_not_covered() {
    let now = Instant::now();
    let sharded = table(&[("n1", "z1", report(slots(10.0), now))]);
    expect_that!(sharded.covers("s", "m", ["z1".into()].iter()), eq(true));
    let both = ["z1".into(), "z2".into()];
    expect_that!(sharded.covers("s", "m", both.iter()), eq(false));
    let single = table(&[("n1", "", report(slots(10.0), now))]);
    expect_that!(single.covers("s", "m", both.iter()), eq(true));
    expect_that!(single.covers("s", "other", both.iter()), eq(false));
}

/// Guards against mixing up models of the same name.
#[gtest]
fn a_snapshot_is_by_service_and_model() {
    let mut snapshot = DemandSnapshot::default();
    snapshot.insert("a", "m", slots(1.0));
    snapshot.insert("b", "m", slots(2.0));
    expect_that!(snapshot.get("a", "m"), some(eq(&slots(1.0))));
    expect_that!(snapshot.get("b", "m"), some(eq(&slots(2.0))));
    expect_that!(snapshot.get("b", "other"), none());
}
