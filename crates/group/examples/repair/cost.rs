//! Cost of one decision by number of groups.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eelgrassmill_config::RepairObjective;
use eelgrassmill_group::{Evidence, EvidenceStore, GroupWatch, RepairPolicy, Verdict, plan};

use crate::fleets::Fleet;
use crate::sim::{Fault, Simulation};

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

struct CountingAllocator;

// Counts allocations; every call is forwarded to the system allocator.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Time and allocations of one call.
struct Cost {
    time: Duration,
    allocations: u64,
}

/// Minimum over several calls, to exclude interference.
fn cost_of(times: u32, mut call: impl FnMut()) -> Cost {
    let mut best = Cost {
        time: Duration::MAX,
        allocations: u64::MAX,
    };
    for _ in 0..times {
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        let start = Instant::now();
        call();
        best.time = best.time.min(start.elapsed());
        let made = ALLOCATIONS.load(Ordering::Relaxed) - before;
        best.allocations = best.allocations.min(made);
    }
    best
}

/// Prints the cost at 11, 110 and 1100 groups of 8.
pub(crate) fn measure() {
    println!(
        "\ncost of one call as groups grow tenfold: time, allocations (ratio to the row before)"
    );
    let mut before: Option<Vec<Cost>> = None;
    for scale in [1, 10, 100] {
        let costs = costs_at(scale);
        let names = [
            "plan, idle",
            "plan, 2 hosts failed",
            "wholeness update",
            "evidence and serving",
        ];
        for (i, (name, cost)) in names.iter().zip(&costs).enumerate() {
            let ratio = before.as_ref().map(|b| {
                let time = cost.time.as_secs_f64() / b[i].time.as_secs_f64();
                let allocations = cost.allocations as f64 / (b[i].allocations.max(1)) as f64;
                format!("x{time:.1}, x{allocations:.1}")
            });
            let (time, made) = (cost.time, cost.allocations);
            let groups = 11 * scale;
            let ratio = ratio.unwrap_or_default();
            println!("{groups:>5} groups  {name:<22}{time:>12.1?}{made:>8}  {ratio}");
        }
        before = Some(costs);
    }
}

fn costs_at(scale: usize) -> Vec<Cost> {
    let fleet = Fleet::of_groups(11 * scale);
    let mut sim = fleet.form(RepairPolicy::new(RepairObjective::Downtime));
    sim.warm_all();
    assert!(
        plan(&sim.view, &sim.policy, sim.now).is_empty(),
        "the fleet is not idle"
    );
    let idle = cost_of(20, || {
        black_box(plan(&sim.view, &sim.policy, sim.now));
    });
    for host in ["h0-00", "h0-09"] {
        sim.inject(host, Fault::Die);
    }
    // Advance until they count as missing and the planner acts.
    let has_actions = |sim: &Simulation| !plan(&sim.view, &sim.policy, sim.now).is_empty();
    for _ in 0..60 {
        if has_actions(&sim) {
            break;
        }
        sim.now += Duration::from_millis(500);
        sim.observe();
    }
    assert!(
        has_actions(&sim),
        "the planner doesn't act on the failed hosts"
    );
    let broken = cost_of(20, || {
        black_box(plan(&sim.view, &sim.policy, sim.now));
    });
    vec![idle, broken, wholeness(&sim), evidence(&sim)]
}

fn wholeness(sim: &Simulation) -> Cost {
    let mut watches = sim.watches.clone();
    let last = watches
        .keys()
        .next_back()
        .cloned()
        .expect("groups were formed");
    let mut now = sim.now;
    cost_of(200, || {
        now += Duration::from_millis(1);
        let watch = watches.get_mut(&last).expect("as above");
        let host = watch.row().members[0].clone();
        watch.on_report(&sim.hosts[&host].report(), now);
        black_box(watch.verdict(now));
    })
}

fn evidence(sim: &Simulation) -> Cost {
    let mut store = EvidenceStore::new();
    sim.watches
        .values()
        .for_each(|watch: &GroupWatch| store.on_row(watch.row()));
    let row = sim.watches.values().next_back().map(GroupWatch::row);
    let row = row.expect("groups were formed");
    let mut sequence = 0;
    cost_of(200, || {
        sequence += 1;
        let evidence = Evidence {
            watcher: "n1".into(),
            incarnation: 1,
            sequence,
            group: row.group.clone(),
            epoch: row.epoch,
            lead: row.members[0].clone(),
            verdict: Verdict::Whole,
            age: Duration::ZERO,
        };
        store.on_evidence(&evidence, sim.now);
        black_box(store.serving(&row.group, sim.now).is_ok());
    })
}
