//! Plays fixed fault scripts over the repair policy and prints what each way to repair costs.
//!
//! `cargo run --release -p eelgrassmill-group --example repair`

mod fake;
mod fleets;
mod scripts;

use std::time::Duration;

use eelgrassmill_config::RepairWeight;
use eelgrassmill_group::{RepairChoice, RepairPolicy};

use crate::fake::{Fake, Totals};
use crate::fleets::Fleet;
use crate::scripts::{Hit, SCRIPTS, Script};

const CHOICES: [RepairChoice; 3] = [
    RepairChoice::WaitForReturn,
    RepairChoice::FirstSpare,
    RepairChoice::Weighed,
];

fn main() {
    let only = std::env::args().nth(1);
    for fleet in [fleets::today(), fleets::full(), fleets::spared()] {
        if only.as_ref().is_none_or(|name| name == fleet.name) {
            play_all(&fleet);
        }
    }
}

fn play_all(fleet: &Fleet) {
    println!(
        "\n{}: group downtime in s, stranded accelerator-seconds",
        fleet.name
    );
    println!(
        "{:<34}{:>20}{:>20}{:>20}",
        "script", "wait-for-return", "first-spare", "weighed"
    );
    let starts = CHOICES.map(|choice| fleet.start(policy(choice)));
    let mut sums = [Totals::default(); 3];
    for script in SCRIPTS {
        let runs = [0, 1, 2].map(|i| play(&starts[i], script));
        print_line(script.name, &runs);
        for (sum, run) in sums.iter_mut().zip(&runs) {
            sum.downtime += run.downtime;
            sum.stranded += run.stranded;
            sum.changes += run.changes;
            sum.most_changes = sum.most_changes.max(run.most_changes);
            sum.most_loads = sum.most_loads.max(run.most_loads);
        }
    }
    print_line("sum", &sums);
    let [wait, spare, ours] = &sums;
    println!(
        "downtime against wait-for-return {:.2}, against first-spare {:.2}; most transactions \
         in a round {}, most loads at once {}",
        ours.downtime / wait.downtime,
        ours.downtime / spare.downtime,
        ours.most_changes,
        ours.most_loads
    );
}

fn policy(choice: RepairChoice) -> RepairPolicy {
    RepairPolicy::new(RepairWeight::Downtime).with_choice(choice)
}

fn play(start: &Fake, script: &Script) -> Totals {
    let mut fake = start.clone();
    let begin = fake.now;
    let mut lines = script.lines.iter().peekable();
    while fake.now < begin + Duration::from_secs(script.length) {
        while let Some((_, hit, fault)) =
            lines.next_if(|(at, ..)| fake.now >= begin + Duration::from_secs(*at))
        {
            for host in hosts_of(&fake, *hit) {
                fake.suffer(&host, *fault);
            }
        }
        fake.step();
    }
    fake.totals
}

fn hosts_of(fake: &Fake, hit: Hit) -> Vec<String> {
    let matches = |h: &fake::FakeHost| match hit {
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
