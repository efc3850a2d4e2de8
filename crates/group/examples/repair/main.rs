//! Runs fixed fault scripts against the repair policy and prints the cost of each strategy.
//!
//! `cargo run --release -p eelgrassmill-group --example repair`

mod cost;
mod fleets;
mod scripts;
mod sim;

use std::time::Duration;

use eelgrassmill_config::RepairObjective;
use eelgrassmill_group::{RepairPolicy, RepairStrategy};

use crate::fleets::Fleet;
use crate::scripts::{FaultTarget, Script};
use crate::sim::{STEP, Simulation, Totals};

const STRATEGIES: [RepairStrategy; 3] = [
    RepairStrategy::WaitForReturn,
    RepairStrategy::FirstSpare,
    RepairStrategy::CostBased,
];

fn main() {
    let filter = std::env::args().nth(1);
    let mut totals = [Totals::default(); 3];
    for fleet in [fleets::today(), fleets::full(), fleets::with_spares()] {
        if filter.as_ref().is_none_or(|name| name == fleet.name) {
            let sums = run_all(&fleet);
            for (total, sum) in totals.iter_mut().zip(&sums) {
                total.add(sum);
            }
        }
    }
    if filter.is_none() {
        println!();
        print_line("all fleets", &totals);
        print_ratios(&totals);
    }
    if filter.is_none_or(|name| name == "cost") {
        cost::measure();
    }
}

fn run_all(fleet: &Fleet) -> [Totals; 3] {
    println!(
        "\n{}: group downtime in s, stranded accelerator-seconds",
        fleet.name
    );
    println!(
        "{:<34}{:>20}{:>20}{:>20}",
        "script", "wait-for-return", "first-spare", "cost-based"
    );
    let starts = run_parallel(|i| fleet.start(policy(STRATEGIES[i])));
    let mut sums = [Totals::default(); 3];
    let filter = std::env::args().nth(2).unwrap_or_default();
    let scripts = scripts::scripts(fleet).into_iter();
    for script in scripts.filter(|s| s.name.contains(&filter)) {
        let runs = run_parallel(|i| run_script(&starts[i], fleet.group_size, &script));
        print_line(script.name, &runs);
        for (sum, run) in sums.iter_mut().zip(&runs) {
            sum.add(run);
        }
    }
    print_line("sum", &sums);
    print_ratios(&sums);
    sums
}

fn print_ratios(sums: &[Totals; 3]) {
    let [wait, spare, cost_based] = sums;
    println!(
        "downtime against wait-for-return {:.2}, against first-spare {:.2}; max transactions \
         per round {}, max concurrent loads {}",
        cost_based.downtime / wait.downtime,
        cost_based.downtime / spare.downtime,
        cost_based.max_transactions,
        cost_based.max_loads
    );
}

/// Runs `f` for the index of each strategy, each in its own thread.
fn run_parallel<T: Send>(f: impl Fn(usize) -> T + Sync) -> [T; 3] {
    std::thread::scope(|scope| {
        let threads = [0, 1, 2].map(|i| {
            scope.spawn({
                let f = &f;
                move || f(i)
            })
        });
        threads.map(|t| t.join().expect("a run panicked"))
    })
}

fn policy(strategy: RepairStrategy) -> RepairPolicy {
    RepairPolicy::new(RepairObjective::Downtime).with_strategy(strategy)
}

fn run_script(start: &Simulation, size: usize, script: &Script) -> Totals {
    let mut sim = start.clone();
    let mut elapsed = Duration::ZERO;
    let mut steps = script.steps.iter().peekable();
    let duration = Duration::from_secs(script.duration);
    while elapsed < duration {
        while let Some((_, target, fault)) = steps.next_if(|(at, ..)| elapsed.as_secs() >= *at) {
            for host in targeted_hosts(&sim, size, *target) {
                sim.inject(&host, *fault);
            }
        }
        sim.step();
        elapsed += STEP;
        // Skip idle time, which doesn't affect the totals.
        if sim.is_idle() {
            let next = steps.peek().map(|(at, ..)| Duration::from_secs(*at));
            elapsed = elapsed.max(next.unwrap_or(duration));
        }
    }
    sim.totals
}

fn targeted_hosts(sim: &Simulation, size: usize, target: FaultTarget) -> Vec<String> {
    let matches = |h: &sim::FakeHost| match target {
        FaultTarget::Member(fabric, group, rank) => {
            h.entry.id == format!("h{fabric}-{:02}", group * size + rank)
        }
        FaultTarget::Host(fabric, n) => h.entry.id == format!("h{fabric}-{n:02}"),
        FaultTarget::Fabric(n) => h.entry.fabric_domain == format!("f{n}"),
        FaultTarget::Failure(n) => h.entry.failure_domain == format!("d{n}"),
    };
    let target = sim.hosts.values().filter(|h| matches(h));
    target.map(|h| h.entry.id.to_string()).collect()
}

fn print_line(name: &str, runs: &[Totals; 3]) {
    print!("{name:<34}");
    for run in runs {
        let cell = format!("{:.1} {:.0}", run.downtime, run.stranded);
        print!("{cell:>20}");
    }
    println!();
}
