//! Plays fixed fault scripts over the repair policy and prints what each way to repair costs.
//!
//! `cargo run --release -p eelgrassmill-group --example repair`

mod cost;
mod fake;
mod fleets;
mod scripts;

use std::time::Duration;

use eelgrassmill_config::RepairWeight;
use eelgrassmill_group::{RepairPolicy, RepairStrategy};

use crate::fake::{Fake, STEP, Totals};
use crate::fleets::Fleet;
use crate::scripts::{Hit, Script};

const STRATEGIES: [RepairStrategy; 3] = [
    RepairStrategy::WaitForReturn,
    RepairStrategy::FirstSpare,
    RepairStrategy::CostBased,
];

fn main() {
    let only = std::env::args().nth(1);
    let mut totals = [Totals::default(); 3];
    for fleet in [fleets::today(), fleets::full(), fleets::spared()] {
        if only.as_ref().is_none_or(|name| name == fleet.name) {
            let sums = play_all(&fleet);
            for (total, sum) in totals.iter_mut().zip(&sums) {
                total.add(sum);
            }
        }
    }
    if only.is_none() {
        println!();
        print_line("all fleets", &totals);
        print_ratios(&totals);
    }
    if only.is_none_or(|name| name == "cost") {
        cost::measure();
    }
}

fn play_all(fleet: &Fleet) -> [Totals; 3] {
    println!(
        "\n{}: group downtime in s, stranded accelerator-seconds",
        fleet.name
    );
    println!(
        "{:<34}{:>20}{:>20}{:>20}",
        "script", "wait-for-return", "first-spare", "weighed"
    );
    let starts = at_once(|i| fleet.start(policy(STRATEGIES[i])));
    let mut sums = [Totals::default(); 3];
    let only = std::env::args().nth(2).unwrap_or_default();
    let scripts = scripts::scripts(fleet).into_iter();
    for script in scripts.filter(|s| s.name.contains(&only)) {
        let runs = at_once(|i| play(&starts[i], fleet.group_size, &script));
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
    let [wait, spare, ours] = sums;
    println!(
        "downtime against wait-for-return {:.2}, against first-spare {:.2}; most transactions \
         in a round {}, most loads at once {}",
        ours.downtime / wait.downtime,
        ours.downtime / spare.downtime,
        ours.max_transactions,
        ours.most_loads
    );
}

/// Runs `f` for the place of each choice, each in its own thread.
fn at_once<T: Send>(f: impl Fn(usize) -> T + Sync) -> [T; 3] {
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
    RepairPolicy::new(RepairWeight::Downtime).with_strategy(strategy)
}

fn play(start: &Fake, size: usize, script: &Script) -> Totals {
    let mut fake = start.clone();
    let mut clock = Duration::ZERO;
    let mut lines = script.lines.iter().peekable();
    let length = Duration::from_secs(script.length);
    while clock < length {
        while let Some((_, hit, fault)) = lines.next_if(|(at, ..)| clock.as_secs() >= *at) {
            for host in hosts_of(&fake, size, *hit) {
                fake.suffer(&host, *fault);
            }
        }
        fake.step();
        clock += STEP;
        // Time in which nothing happens adds nothing to the figures.
        if fake.is_quiet() {
            let next = lines.peek().map(|(at, ..)| Duration::from_secs(*at));
            clock = clock.max(next.unwrap_or(length));
        }
    }
    fake.totals
}

fn hosts_of(fake: &Fake, size: usize, hit: Hit) -> Vec<String> {
    let matches = |h: &fake::FakeHost| match hit {
        Hit::Member(fabric, group, rank) => {
            h.entry.id == format!("h{fabric}-{:02}", group * size + rank)
        }
        Hit::Host(fabric, n) => h.entry.id == format!("h{fabric}-{n:02}"),
        Hit::Fabric(n) => h.entry.fabric_domain == format!("f{n}"),
        Hit::Failure(n) => h.entry.failure_domain == format!("d{n}"),
    };
    let hit = fake.hosts.values().filter(|h| matches(h));
    hit.map(|h| h.entry.id.to_string()).collect()
}

fn print_line(name: &str, runs: &[Totals; 3]) {
    print!("{name:<34}");
    for run in runs {
        let cell = format!("{:.1} {:.0}", run.downtime, run.stranded);
        print!("{cell:>20}");
    }
    println!();
}
