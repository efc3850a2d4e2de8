//! The service queue: order, bounds, deadlines, and every request's one fate.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::Urgency;
use eelgrassmill_route::*;
use googletest::prelude::*;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof};
use proptest::test_runner::RngSeed;

const SECOND: Duration = Duration::from_secs(1);
const ONE: Slots = Slots {
    normal: 1,
    urgent: 0,
};
const ONE_URGENT: Slots = Slots {
    normal: 0,
    urgent: 1,
};

fn offer(tenant: &str, urgency: u8, tokens: u64, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        tenant: tenant.into(),
        weight: 1,
        urgency: Urgency(urgency),
        tokens,
        deadline,
        max_tenant_queue: 100,
    }
}

/// Runs requests one after the other and gives the order in which they start.
fn drain(queue: &mut ServiceQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.dequeue(ONE, now).map(|s| s.payload)).collect()
}

/// A council digest fills the queue and a guest's refund check comes in behind it.
/// Without the classes, the guest would wait for all of the digest.
#[googletest::test]
fn an_urgent_call_passes_drafts() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    for draft in ["draft 1", "draft 2", "draft 3"] {
        q.admit(offer("a", 3, 500, now + 60 * SECOND), draft, now)
            .expect("room");
    }
    expect_that!(q.dequeue(ONE_URGENT, now), none());
    q.admit(offer("b", 1, 20, now + 60 * SECOND), "refund", now)
        .expect("room");
    let started = q.dequeue(ONE_URGENT, now).expect("the urgent call");
    expect_that!(
        (started.payload, started.slot),
        eq(("refund", SlotKind::Urgent))
    );
    expect_that!(
        drain(&mut q, now),
        elements_are![eq(&"draft 1"), eq(&"draft 2"), eq(&"draft 3")]
    );
}

/// One tenant marks everything urgent. It gets ahead by its lead and no further; then
/// the others' drafts have their turns.
#[googletest::test]
fn a_tenant_that_marks_all_urgent_gains_only_its_lead() {
    let now = Instant::now();
    let lead = 1000;
    let mut q = ServiceQueue::new(QueueOptions::default().urgent_lead(lead).burst(0));
    for _ in 0..50 {
        q.admit(offer("cheat", 0, 100, now + 60 * SECOND), "cheat", now)
            .expect("room");
        q.admit(offer("fair", 3, 100, now + 60 * SECOND), "fair", now)
            .expect("room");
    }
    let order = drain(&mut q, now);
    let count = |who: &str| order[..60].iter().filter(|s| **s == who).count() as u64;
    expect_that!(count("cheat"), ge(30));
    expect_that!(count("cheat") - count("fair"), le(lead / 100 + 2));
}

/// Tenants with weights 3 and 1 both send more than is served. Tokens go three to one,
/// also when one of them estimates badly, since estimates are settled.
#[googletest::test]
fn tokens_follow_weights_after_settling() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    let mut served: BTreeMap<&str, u64> = BTreeMap::new();
    for _ in 0..100 {
        let mut large = offer("large", 3, 1000, now + 60 * SECOND);
        large.weight = 3;
        q.admit(large, "large", now).expect("room");
        q.admit(offer("small", 3, 10, now + 60 * SECOND), "small", now)
            .expect("room");
    }
    for _ in 0..80 {
        let started = q.dequeue(ONE, now).expect("work");
        *served.entry(started.payload).or_default() += 100;
        q.complete(started.ticket, 100, now);
    }
    let ratio = served["large"] as f64 / served["small"] as f64;
    expect_that!(ratio, near(3.0, 0.3));
}

/// One tenant has filled the queue. Another's request still gets in: the greedy one's
/// youngest request gives way and is told so at once, as its own fault.
#[googletest::test]
fn a_full_queue_refuses_the_greedy_tenant() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default().max_queue(3));
    for name in ["first", "second", "third"] {
        q.admit(offer("greedy", 3, 10, now + 60 * SECOND), name, now)
            .expect("room");
    }
    let again = q.admit(offer("greedy", 3, 10, now + 60 * SECOND), "fourth", now);
    expect_that!(
        again.map_err(|r| r.reason),
        err(eq(RefusalReason::OverFairShare))
    );
    expect_that!(
        q.admit(offer("b", 3, 10, now + 60 * SECOND), "other", now),
        ok(anything())
    );
    let out = q.take_refused(now);
    expect_that!(out.len(), eq(1));
    expect_that!(out[0].0, eq("third"));
    expect_that!(out[0].1.reason.caused_by_tenant(), eq(true));
}

/// The queue is as long as a minute's work and a caller has ten seconds. Told at once,
/// it can go elsewhere; kept, it would wait ten seconds for nothing.
#[googletest::test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    q.admit(offer("a", 3, 100, now + 600 * SECOND), "pace", now)
        .expect("room");
    let started = q.dequeue(ONE, now).expect("work");
    let now = now + 10 * SECOND;
    q.complete(started.ticket, 100, now);
    for _ in 0..6 {
        q.admit(offer("a", 3, 100, now + 600 * SECOND), "work", now)
            .expect("room");
    }
    q.dequeue(ONE, now).expect("work");
    let late = q
        .admit(offer("a", 3, 50, now + 10 * SECOND), "late", now)
        .expect_err("no time");
    expect_that!(late.reason, eq(RefusalReason::DeadlineTooNear));
    expect_that!(late.retry_after, ge(30 * SECOND));
    // Another tenant's turn comes sooner.
    q.admit(offer("b", 3, 50, now + 10 * SECOND), "kept", now)
        .expect("in time");
    // It needs five seconds, so it is given up five seconds before its deadline.
    expect_that!(q.next_deadline(), some(eq(now + 5 * SECOND)));
    expect_that!(q.take_refused(now + 4 * SECOND), is_empty());
    expect_that!(q.take_refused(now + 5 * SECOND).len(), eq(1));
}

/// A stuck engine has made the measured pace very slow, and it has been replaced since.
/// Judged by the old pace for good, every request would be refused, none would run, and
/// nothing would ever correct the pace.
#[googletest::test]
fn an_old_pace_does_not_refuse_for_good() {
    let mut now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    q.admit(offer("a", 3, 100, now + 600 * SECOND), "stuck", now)
        .expect("room");
    let stuck = q.dequeue(ONE, now).expect("work");
    now += 300 * SECOND;
    q.complete(stuck.ticket, 100, now);
    for _ in 0..3 {
        q.admit(offer("a", 3, 100, now + 10 * SECOND), "probe", now)
            .expect("an idle service tries");
        let probe = q.dequeue(ONE, now).expect("work");
        now += 2 * SECOND;
        q.complete(probe.ticket, 100, now);
        now += 60 * SECOND;
    }
    q.admit(offer("a", 3, 100, now + 600 * SECOND), "running", now)
        .expect("room");
    q.dequeue(ONE, now).expect("work");
    expect_that!(
        q.admit(offer("a", 3, 100, now + 10 * SECOND), "next", now),
        ok(anything())
    );
}

/// A hundred callers are refused in one instant. With the same time to come back, they
/// would all come back in one instant too.
#[googletest::test]
fn refused_callers_come_back_spread() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default().max_queue(0));
    let times: std::collections::BTreeSet<Duration> = (0..100)
        .map(|_| {
            q.admit(offer("a", 3, 1, now + SECOND), "x", now)
                .expect_err("full")
                .retry_after
        })
        .collect();
    expect_that!(times.len(), ge(90));
}

/// One tenant sends to all entries and another to this one only. Were each entry fair by
/// itself alone, the first would get a share at each of them. What it used elsewhere is
/// charged here, up to a bound: hours of idle slots elsewhere must not shut it out.
#[googletest::test]
fn what_a_tenant_used_elsewhere_counts_here() {
    let now = Instant::now();
    let order = |elsewhere: i64| {
        let mut q = ServiceQueue::new(QueueOptions::default().burst(1000));
        for _ in 0..30 {
            q.admit(
                offer("everywhere", 3, 100, now + 60 * SECOND),
                "everywhere",
                now,
            )
            .expect("room");
            q.admit(offer("here", 3, 100, now + 60 * SECOND), "here", now)
                .expect("room");
        }
        let tenant = "everywhere".into();
        q.charge_remote_usage(&TenantUsage {
            tenant,
            weight: 1,
            tokens: elsewhere,
        });
        let order = drain(&mut q, now);
        order[..20]
            .iter()
            .filter(|who| **who == "everywhere")
            .count()
    };
    expect_that!(order(0), eq(10));
    expect_that!(order(600), eq(7));
    expect_that!(order(1_000_000), eq(5));
}

/// Entries tell each other what was really used. Told the estimates only, a tenant that
/// always asks for too many tokens would be charged for them at every other entry.
#[googletest::test]
fn usage_told_to_others_is_what_was_used() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    q.admit(offer("a", 3, 1000, now + 60 * SECOND), "draft", now)
        .expect("room");
    let started = q.dequeue(ONE, now).expect("work");
    let used = |tokens| TenantUsage {
        tenant: "a".into(),
        weight: 1,
        tokens,
    };
    expect_that!(q.take_usage(), elements_are![eq(&used(1000))]);
    q.complete(started.ticket, 300, now);
    expect_that!(q.take_usage(), elements_are![eq(&used(-700))]);
    expect_that!(q.take_usage(), is_empty());
}

/// A greedy tenant's drafts hold every slot each time a guest's refund check comes in. The
/// youngest draft is cancelled and goes on later; none is cancelled twice, or it would
/// never end.
#[googletest::test]
fn a_draft_over_its_share_gives_way_once() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    for _ in 0..4 {
        q.admit(offer("greedy", 3, 500, now + 600 * SECOND), "draft", now)
            .expect("room");
    }
    let mut first: Vec<Ticket> = (0..4)
        .map(|_| q.dequeue(ONE, now).expect("work").ticket)
        .collect();
    expect_that!(q.preemption_victim(Slots::NONE, |_| true), none());
    while let Some(youngest) = first.pop() {
        q.admit(offer("guest", 1, 20, now + 60 * SECOND), "refund", now)
            .expect("room");
        expect_that!(q.preemption_victim(ONE, |_| true), none());
        expect_that!(
            q.preemption_victim(Slots::NONE, |_| true),
            some(eq(youngest))
        );
        expect_that!(q.requeue(youngest, 100, "draft"), some(anything()));
        let refund = q.dequeue(ONE, now).expect("the refund");
        expect_that!(refund.payload, eq("refund"));
        q.complete(refund.ticket, 20, now);
        expect_that!(q.dequeue(ONE, now).map(|s| s.payload), some(eq("draft")));
    }
    q.admit(offer("guest", 1, 20, now + 60 * SECOND), "refund", now)
        .expect("room");
    expect_that!(q.preemption_victim(Slots::NONE, |_| true), none());
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        tenant: u8,
        urgency: u8,
        tokens: u64,
        seconds: u32,
    },
    Start {
        normal: bool,
    },
    Settle {
        at: usize,
    },
    Cancel {
        at: usize,
    },
    Preempt,
    Wait {
        millis: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..4u8, 0..8u8, 1..2000u64, 0..40u32).prop_map(|(tenant, urgency, tokens, seconds)| {
            Step::Offer { tenant, urgency, tokens, seconds }
        }),
        4 => any::<bool>().prop_map(|normal| Step::Start { normal }),
        3 => (0..32usize).prop_map(|at| Step::Settle { at }),
        1 => (0..32usize).prop_map(|at| Step::Cancel { at }),
        3 => Just(Step::Preempt),
        3 => (0..5000u64).prop_map(|millis| Step::Wait { millis }),
    ];
    proptest::collection::vec(step, 1..150)
}

proptest::proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x00fa_1105),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Callers come, leave, and run out of time in any order. A request that had two
    /// fates could run after its caller was told that it didn't; one without any would
    /// leave its caller waiting for good.
    #[test]
    fn every_request_has_exactly_one_fate(steps in steps()) {
        let mut now = Instant::now();
        let mut preempted = 0;
        let mut q = ServiceQueue::new(QueueOptions::default().max_queue(12));
        let mut waiting: BTreeMap<usize, (Ticket, Instant)> = BTreeMap::new();
        let mut running: Vec<(Ticket, usize, Instant)> = Vec::new();
        for (id, step) in steps.into_iter().enumerate() {
            match step {
                Step::Offer { tenant, urgency, tokens, seconds } => {
                    let deadline = now + seconds * SECOND;
                    let offer = offer(&tenant.to_string(), urgency, tokens, deadline);
                    if let Ok(ticket) = q.admit(offer, id, now) {
                        waiting.insert(id, (ticket, deadline));
                    }
                }
                Step::Start { normal } => {
                    let free = if normal { ONE } else { ONE_URGENT };
                    if let Some(started) = q.dequeue(free, now) {
                        let was = waiting.remove(&started.payload);
                        proptest::prop_assert!(was.is_some_and(|(t, d)| t == started.ticket && d > now));
                        let deadline = was.map_or(now, |(_, d)| d);
                        running.push((started.ticket, started.payload, deadline));
                    }
                }
                Step::Preempt => {
                    if let Some(victim) = q.preemption_victim(Slots::NONE, |_| true) {
                        preempted += 1;
                        let at = running.iter().position(|(t, ..)| *t == victim).expect("runs");
                        let (_, id, deadline) = running.remove(at);
                        let ticket = q.requeue(victim, 1, id).expect("runs");
                        waiting.insert(id, (ticket, deadline));
                    }
                }
                Step::Settle { at } if !running.is_empty() => {
                    q.complete(running.remove(at % running.len()).0, 100, now);
                }
                Step::Cancel { at } if !waiting.is_empty() => {
                    let id = *waiting.keys().nth(at % waiting.len()).expect("within");
                    let (ticket, _) = waiting.remove(&id).expect("waits");
                    proptest::prop_assert_eq!(q.cancel(ticket), Some(id));
                }
                Step::Wait { millis } => now += Duration::from_millis(millis),
                _ => (),
            }
            for (id, _) in q.take_refused(now) {
                proptest::prop_assert!(waiting.remove(&id).is_some());
            }
            proptest::prop_assert!(q.len() == waiting.len() && q.len() <= 12 + preempted);
            proptest::prop_assert_eq!(q.running(), running.len());
            proptest::prop_assert!(q.next_deadline().is_none_or(|at| at > now));
        }
        // Plenty is free, so that no slot is left to tenants with nothing waiting.
        let plenty = Slots { normal: 1000, urgent: 0 };
        let left: Vec<usize> =
            std::iter::from_fn(|| q.dequeue(plenty, now).map(|s| s.payload)).collect();
        proptest::prop_assert_eq!(left.len(), waiting.len());
        proptest::prop_assert_eq!(q.demand(), Slots::NONE);
    }
}
