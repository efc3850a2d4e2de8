//! Measures the cost per request of the queue and the picker: relative time and allocations.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eelgrassmill_base::Urgency;
use eelgrassmill_route::{
    AdmissionRequest, Candidate, GroupPicker, LatencySample, Pick, QueueOptions, ServiceQueue,
    Slots, Ticket, prefix_hashes,
};

/// Counts allocations.
struct Counting;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// Counting allocations needs a custom global allocator, and its trait is unsafe.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`, which is passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: `ptr` was allocated by `System` with this layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const REQUESTS: usize = 20_000;
const ROUNDS: usize = 5;
const PROMPT_BYTES: usize = 4096;

struct Cost {
    nanos: f64,
    allocations: f64,
}

fn candidates(groups: usize) -> impl Iterator<Item = Candidate> {
    (0..groups).map(|i| Candidate {
        group: format!("draft/{i}").into(),
        epoch: 1,
        distance: (i % 3) as u8,
        slots: 64,
        quota: Slots {
            normal: 64,
            urgent: 4,
        },
        leaving: false,
    })
}

fn request(tenant: usize, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        tenant: format!("tenant-{tenant}").into(),
        weight: 1,
        urgency: Urgency(if tenant.is_multiple_of(4) { 1 } else { 3 }),
        tokens: 400,
        deadline: now + Duration::from_secs(3600),
        max_tenant_queue: 1000,
    }
}

struct Bench {
    queue: ServiceQueue<usize>,
    picker: GroupPicker,
    running: VecDeque<(Ticket, Pick)>,
    prompts: Vec<String>,
    now: Instant,
}

impl Bench {
    fn new(tenants: usize, groups: usize) -> Bench {
        let now = Instant::now();
        let mut picker = GroupPicker::new(1);
        picker.set_candidates(candidates(groups), now);
        let prompt = |i| format!("tenant {i} ").repeat(PROMPT_BYTES / 10);
        Bench {
            queue: ServiceQueue::new(QueueOptions::default()),
            picker,
            running: VecDeque::new(),
            prompts: (0..tenants).map(prompt).collect(),
            // After slow start.
            now: now + Duration::from_secs(60),
        }
    }

    fn begin(&mut self, tenant: usize) {
        let now = self.now;
        if self.queue.admit(request(tenant, now), tenant, now).is_err() {
            return;
        }
        let Some(dequeued) = self.queue.dequeue(self.picker.free_slots(now), now) else {
            return;
        };
        let prefixes = prefix_hashes(&self.prompts[dequeued.payload]);
        match self.picker.pick(dequeued.slot, &prefixes, &[], now) {
            Some(pick) => self.running.push_back((dequeued.ticket, pick)),
            None => drop(self.queue.cancel(dequeued.ticket)),
        }
    }

    fn end(&mut self) {
        let Some((ticket, pick)) = self.running.pop_front() else {
            return;
        };
        self.now += Duration::from_millis(1);
        let first = LatencySample::TimeToFirstToken(Duration::from_millis(300));
        let latency = LatencySample::InterTokenLatency(Duration::from_millis(20));
        for sample in [first, latency] {
            self.picker
                .observe(&pick.group, pick.epoch, sample, self.now);
        }
        self.picker.release(&pick);
        self.queue.complete(ticket, 300, self.now);
    }
}

fn measure(tenants: usize, groups: usize, in_flight: usize) -> Cost {
    let mut bench = Bench::new(tenants, groups);
    for i in 0..in_flight {
        bench.begin(i % tenants);
    }
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    let start = Instant::now();
    for i in 0..REQUESTS {
        bench.end();
        bench.begin(i % tenants);
    }
    let took = start.elapsed().as_nanos() as f64;
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    Cost {
        nanos: took / REQUESTS as f64,
        allocations: allocations as f64 / REQUESTS as f64,
    }
}

/// Returns the fastest of several rounds, the one least disturbed by other processes.
fn best(tenants: usize, groups: usize, in_flight: usize) -> Cost {
    let rounds = (0..ROUNDS).map(|_| measure(tenants, groups, in_flight));
    let least = rounds.min_by(|a, b| a.nanos.total_cmp(&b.nanos));
    least.unwrap_or(Cost {
        nanos: f64::NAN,
        allocations: f64::NAN,
    })
}

fn main() {
    let base = best(10, 10, 1);
    println!(
        "base (10 tenants, 10 groups, 1 in flight): {:.1} us",
        base.nanos / 1000.0
    );
    println!("tenants | groups | in flight | time over base | allocations per request");
    for tenants in [10, 100] {
        for groups in [10, 110] {
            for in_flight in [1, 8, 64] {
                let cost = best(tenants, groups, in_flight);
                println!(
                    "{tenants:7} | {groups:6} | {in_flight:9} | {:14.2} | {:.1}",
                    cost.nanos / base.nanos,
                    cost.allocations
                );
            }
        }
    }
}
