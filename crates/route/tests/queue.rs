//! Tests of the service queue: order, limits, deadlines, and one outcome per request.

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

fn request(tenant: &str, urgency: u8, tokens: u64, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        tenant: tenant.into(),
        weight: 1,
        urgency: Urgency(urgency),
        tokens,
        deadline,
        max_tenant_queue: 100,
    }
}

/// Dequeues all requests one after the other and returns their order.
fn drain(queue: &mut ServiceQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.dequeue(ONE, now).map(|s| s.payload)).collect()
}

/// Guards against an urgent request waiting for all drafts queued before it.
#[googletest::test]
fn urgent_request_overtakes_drafts() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    for draft in ["draft 1", "draft 2", "draft 3"] {
        q.admit(request("a", 3, 500, now + 60 * SECOND), draft, now)
            .expect("room");
    }
    expect_that!(q.dequeue(ONE_URGENT, now), none());
    q.admit(request("b", 1, 20, now + 60 * SECOND), "refund", now)
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

/// Guards against a tenant that marks every request urgent starving the others' drafts:
/// it may get ahead by its lead and no further.
#[googletest::test]
fn marking_all_requests_urgent_gains_only_the_lead() {
    let now = Instant::now();
    let lead = 1000;
    let mut q = ServiceQueue::new(QueueOptions::default().urgent_lead(lead).burst(0));
    for _ in 0..50 {
        q.admit(request("cheat", 0, 100, now + 60 * SECOND), "cheat", now)
            .expect("room");
        q.admit(request("fair", 3, 100, now + 60 * SECOND), "fair", now)
            .expect("room");
    }
    let order = drain(&mut q, now);
    let count = |who: &str| order[..60].iter().filter(|s| **s == who).count() as u64;
    expect_that!(count("cheat"), ge(30));
    expect_that!(count("cheat") - count("fair"), le(lead / 100 + 2));
}

/// Guards against bad estimates distorting the fair order. Two tenants with weights 3 and
/// 1 both overload the service, and one overestimates its tokens; since the charge is
/// corrected on completion, tokens are still shared three to one.
#[googletest::test]
fn used_tokens_follow_weights() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    let mut served: BTreeMap<&str, u64> = BTreeMap::new();
    for _ in 0..100 {
        let mut large = request("large", 3, 1000, now + 60 * SECOND);
        large.weight = 3;
        q.admit(large, "large", now).expect("room");
        q.admit(request("small", 3, 10, now + 60 * SECOND), "small", now)
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

/// Guards against one tenant filling the queue and locking out the others. Another
/// tenant's request displaces the youngest one of the tenant that holds the most, which
/// is refused immediately with a reason caused by the tenant.
#[googletest::test]
fn full_queue_displaces_the_tenant_that_holds_most() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default().max_queue(3));
    for name in ["first", "second", "third"] {
        q.admit(request("greedy", 3, 10, now + 60 * SECOND), name, now)
            .expect("room");
    }
    let refused = q.admit(request("greedy", 3, 10, now + 60 * SECOND), "fourth", now);
    expect_that!(
        refused.map_err(|r| r.reason),
        err(eq(RefusalReason::OverFairShare))
    );
    expect_that!(
        q.admit(request("b", 3, 10, now + 60 * SECOND), "other", now),
        ok(anything())
    );
    let out = q.take_refused(now);
    expect_that!(out.len(), eq(1));
    expect_that!(out[0].0, eq("third"));
    expect_that!(out[0].1.reason.caused_by_tenant(), eq(true));
}

/// Guards against queueing requests that are bound to miss their deadline. The queue holds
/// a minute of work and the caller has ten seconds; refused immediately, it can retry at
/// another entry.
#[googletest::test]
fn request_that_would_miss_its_deadline_is_refused_immediately() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    q.admit(request("a", 3, 100, now + 600 * SECOND), "measured", now)
        .expect("room");
    let started = q.dequeue(ONE, now).expect("work");
    let now = now + 10 * SECOND;
    q.complete(started.ticket, 100, now);
    for _ in 0..6 {
        q.admit(request("a", 3, 100, now + 600 * SECOND), "work", now)
            .expect("room");
    }
    q.dequeue(ONE, now).expect("work");
    let late = q
        .admit(request("a", 3, 50, now + 10 * SECOND), "late", now)
        .expect_err("no time");
    expect_that!(late.reason, eq(RefusalReason::DeadlineTooNear));
    expect_that!(late.retry_after, ge(30 * SECOND));
    // Another tenant is served earlier in the fair order.
    q.admit(request("b", 3, 50, now + 10 * SECOND), "kept", now)
        .expect("in time");
    // It runs for five seconds, so it expires five seconds before its deadline.
    expect_that!(q.next_deadline(), some(eq(now + 5 * SECOND)));
    expect_that!(q.take_refused(now + 4 * SECOND), is_empty());
    expect_that!(q.take_refused(now + 5 * SECOND).len(), eq(1));
}

/// Guards against a stale service time that refuses every request: a stuck engine, since
/// replaced, left a very long one. If no request ran, it would never be measured again.
#[googletest::test]
fn stale_service_time_does_not_refuse_forever() {
    let mut now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    q.admit(request("a", 3, 100, now + 600 * SECOND), "stuck", now)
        .expect("room");
    let stuck = q.dequeue(ONE, now).expect("work");
    now += 300 * SECOND;
    q.complete(stuck.ticket, 100, now);
    for _ in 0..3 {
        q.admit(request("a", 3, 100, now + 10 * SECOND), "probe", now)
            .expect("an idle service admits any request");
        let probe = q.dequeue(ONE, now).expect("work");
        now += 2 * SECOND;
        q.complete(probe.ticket, 100, now);
        now += 60 * SECOND;
    }
    q.admit(request("a", 3, 100, now + 600 * SECOND), "running", now)
        .expect("room");
    q.dequeue(ONE, now).expect("work");
    expect_that!(
        q.admit(request("a", 3, 100, now + 10 * SECOND), "next", now),
        ok(anything())
    );
}

/// Guards against callers that are refused at the same time retrying at the same time.
#[googletest::test]
fn retry_after_is_jittered() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default().max_queue(0));
    let times: std::collections::BTreeSet<Duration> = (0..100)
        .map(|_| {
            q.admit(request("a", 3, 1, now + SECOND), "x", now)
                .expect_err("full")
                .retry_after
        })
        .collect();
    expect_that!(times.len(), ge(90));
}

/// Guards against a tenant that sends to all entries getting a share at each of them. Its
/// usage at other entries is charged here, up to a bound: hours of using idle slots there
/// must not lock it out here.
#[googletest::test]
fn remote_usage_is_charged_up_to_a_bound() {
    let now = Instant::now();
    let order = |remote_tokens: i64| {
        let mut q = ServiceQueue::new(QueueOptions::default().burst(1000));
        for _ in 0..30 {
            q.admit(
                request("everywhere", 3, 100, now + 60 * SECOND),
                "everywhere",
                now,
            )
            .expect("room");
            q.admit(request("here", 3, 100, now + 60 * SECOND), "here", now)
                .expect("room");
        }
        let tenant = "everywhere".into();
        q.charge_remote_usage(&TenantUsage {
            tenant,
            weight: 1,
            tokens: remote_tokens,
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

/// Guards against reporting estimates to other entries: a tenant that always requests too
/// many tokens would be charged for them at every other entry.
#[googletest::test]
fn reported_usage_is_the_tokens_actually_used() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    q.admit(request("a", 3, 1000, now + 60 * SECOND), "draft", now)
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

/// Guards against a request being preempted repeatedly, so that it never ends. One
/// tenant's drafts occupy every slot whenever another's urgent request arrives; the
/// youngest draft is preempted and resumed later, but only once.
#[googletest::test]
fn draft_of_a_tenant_over_its_share_is_preempted_once() {
    let now = Instant::now();
    let mut q = ServiceQueue::new(QueueOptions::default());
    for _ in 0..4 {
        q.admit(request("greedy", 3, 500, now + 600 * SECOND), "draft", now)
            .expect("room");
    }
    let mut first: Vec<Ticket> = (0..4)
        .map(|_| q.dequeue(ONE, now).expect("work").ticket)
        .collect();
    expect_that!(q.preemption_victim(Slots::NONE, |_| true), none());
    while let Some(youngest) = first.pop() {
        q.admit(request("guest", 1, 20, now + 60 * SECOND), "refund", now)
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
    q.admit(request("guest", 1, 20, now + 60 * SECOND), "refund", now)
        .expect("room");
    expect_that!(q.preemption_victim(Slots::NONE, |_| true), none());
}

#[derive(Clone, Debug)]
enum Step {
    Admit {
        tenant: u8,
        urgency: u8,
        tokens: u64,
        seconds: u32,
    },
    Dequeue {
        normal: bool,
    },
    Complete {
        at: usize,
    },
    Cancel {
        at: usize,
    },
    Preempt,
    Advance {
        millis: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..4u8, 0..8u8, 1..2000u64, 0..40u32).prop_map(|(tenant, urgency, tokens, seconds)| {
            Step::Admit { tenant, urgency, tokens, seconds }
        }),
        4 => any::<bool>().prop_map(|normal| Step::Dequeue { normal }),
        3 => (0..32usize).prop_map(|at| Step::Complete { at }),
        1 => (0..32usize).prop_map(|at| Step::Cancel { at }),
        3 => Just(Step::Preempt),
        3 => (0..5000u64).prop_map(|millis| Step::Advance { millis }),
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

    /// Guards against a request with two outcomes or none, with arrivals, cancellations and
    /// expiry in any order. With two it could run after its caller got a refusal; with none
    /// its caller would wait forever.
    #[test]
    fn every_request_has_exactly_one_outcome(steps in steps()) {
        let mut now = Instant::now();
        let mut preempted = 0;
        let mut q = ServiceQueue::new(QueueOptions::default().max_queue(12));
        let mut waiting: BTreeMap<usize, (Ticket, Instant)> = BTreeMap::new();
        let mut running: Vec<(Ticket, usize, Instant)> = Vec::new();
        for (id, step) in steps.into_iter().enumerate() {
            match step {
                Step::Admit { tenant, urgency, tokens, seconds } => {
                    let deadline = now + seconds * SECOND;
                    let req = request(&tenant.to_string(), urgency, tokens, deadline);
                    if let Ok(ticket) = q.admit(req, id, now) {
                        waiting.insert(id, (ticket, deadline));
                    }
                }
                Step::Dequeue { normal } => {
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
                Step::Complete { at } if !running.is_empty() => {
                    q.complete(running.remove(at % running.len()).0, 100, now);
                }
                Step::Cancel { at } if !waiting.is_empty() => {
                    let id = *waiting.keys().nth(at % waiting.len()).expect("within");
                    let (ticket, _) = waiting.remove(&id).expect("waits");
                    proptest::prop_assert_eq!(q.cancel(ticket), Some(id));
                }
                Step::Advance { millis } => now += Duration::from_millis(millis),
                _ => (),
            }
            for (id, _) in q.take_refused(now) {
                proptest::prop_assert!(waiting.remove(&id).is_some());
            }
            proptest::prop_assert!(q.len() == waiting.len() && q.len() <= 12 + preempted);
            proptest::prop_assert_eq!(q.running(), running.len());
            proptest::prop_assert!(q.next_deadline().is_none_or(|at| at > now));
        }
        // Far more slots than requests, so that headroom withholds none.
        let many_slots = Slots { normal: 1000, urgent: 0 };
        let left: Vec<usize> =
            std::iter::from_fn(|| q.dequeue(many_slots, now).map(|s| s.payload)).collect();
        proptest::prop_assert_eq!(left.len(), waiting.len());
        proptest::prop_assert_eq!(q.demand(), Slots::NONE);
    }
}
