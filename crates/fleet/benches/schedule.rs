//! Cost of one request at its scheduler.
//!
//! Run with `cargo bench -p eelgrassmill-fleet --bench schedule`.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use divan::Bencher;
use eelgrassmill_fleet::{
    EngineSpeed, Millionths, OpenHead, PendingRequest, RequestKey, RequestOrigin, Scheduler,
    SchedulingPolicy,
};
use smol_str::format_smolstr;

const SLOTS: usize = 13;
/// Running requests per head.
const RUNNING: u64 = 9;

fn main() {
    divan::main();
}

fn heads(count: usize) -> Vec<OpenHead> {
    let head = |n: usize| OpenHead {
        key: (format_smolstr!("r1-{n}"), 1),
        host: format_smolstr!("host-{n}"),
        slots: SLOTS,
        failure_domain: "east".into(),
        inherited_requests: 0,
        unscheduled_requests: 0,
        cold: None,
        limit: None,
    };
    (0..count).map(head).collect()
}

fn pending_request(number: u64, now: Instant) -> PendingRequest {
    PendingRequest {
        key: RequestKey {
            node: "node-1".into(),
            number,
        },
        failure_domain: "east".into(),
        prompt_tokens: 700,
        resumed: false,
        urgency: 1,
        on_time_until: now + Duration::from_millis(300),
        deadline: now + Duration::from_millis(1400),
        max_event_gap: Duration::from_millis(200),
        avoid: Default::default(),
        excluded: Default::default(),
    }
}

fn speed() -> EngineSpeed {
    EngineSpeed {
        decode_step: Duration::from_millis(6),
        decode_per_request: Duration::from_micros(45),
        steps_per_pass: 7,
        prefill_per_token: Duration::from_micros(18),
        time_factor: Millionths::of(1.0),
    }
}

/// Enqueueing and deciding one more request while all heads are full, by queue length.
#[divan::bench(args = [30, 300, 1000])]
fn enqueue_while_full(bencher: Bencher, waiting: u64) {
    let heads = heads(16);
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let full = (heads.len() * (SLOTS + 1)) as u64;
    for n in 0..full {
        scheduler.enqueue(pending_request(n, now), now);
        scheduler.assign(&heads, now);
        scheduler.on_first_event(&pending_request(n, now).key, now);
    }
    for n in full..full + waiting {
        scheduler.enqueue(pending_request(n, now), now);
    }
    scheduler.assign(&heads, now);
    let again = pending_request(full + waiting / 2, now);
    bencher.bench_local(|| {
        scheduler.enqueue(again.clone(), now);
        scheduler.assign(&heads, now).len()
    });
}

/// One request from enqueueing to its end, by number of heads.
#[divan::bench(args = [5, 24, 120])]
fn request(bencher: Bencher, count: usize) {
    let heads = heads(count);
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let mut number = 0;
    let mut run = |scheduler: &mut Scheduler| {
        number += 1;
        let another = pending_request(number, now);
        let key = another.key.clone();
        scheduler.enqueue(another, now);
        scheduler.assign(&heads, now);
        scheduler.on_first_event(&key, now);
        key
    };
    for _ in 0..RUNNING * count as u64 {
        run(&mut scheduler);
    }
    bencher.bench_local(|| {
        let key = run(&mut scheduler);
        scheduler.assign(&heads, now);
        scheduler.release(&key);
        scheduler.assign(&heads, now);
    });
}

/// One more request that is decided at once while others wait, with fair shares, by number of
/// customers and queue length.
#[divan::bench(args = [(24, 10), (24, 10_000), (333, 10), (333, 10_000)])]
fn decide_fairly(bencher: Bencher, (customers, waiting): (u64, u64)) {
    let heads = heads(16);
    let now = Instant::now();
    let policy = SchedulingPolicy { fair_share: true };
    let mut scheduler = Scheduler::with_policy(speed(), policy, now);
    let origin = |n: u64| RequestOrigin {
        customer: format_smolstr!("customer-{}", n % customers),
        returning: false,
    };
    let full = (heads.len() * (SLOTS + 1)) as u64;
    for n in 0..full {
        scheduler.enqueue_from(pending_request(n, now), origin(n), now);
        scheduler.assign(&heads, now);
        scheduler.on_first_event(&pending_request(n, now).key, now);
    }
    for n in full..full + waiting {
        scheduler.enqueue_from(pending_request(n, now), origin(n), now);
    }
    let mut number = full + waiting;
    let mut running: VecDeque<RequestKey> =
        (0..full).map(|n| pending_request(n, now).key).collect();
    bencher.bench_local(|| {
        number += 1;
        scheduler.enqueue_from(pending_request(number, now), origin(number), now);
        if let Some(ended) = running.pop_front() {
            scheduler.release(&ended);
        }
        let decided = scheduler.decide_all(&heads, now);
        for granted in &decided {
            scheduler.on_first_event(&granted.key, now);
            running.push_back(granted.key.clone());
        }
        decided.len()
    });
    assert!(
        scheduler.queue_len() as u64 >= waiting,
        "the queue keeps its length"
    );
}
