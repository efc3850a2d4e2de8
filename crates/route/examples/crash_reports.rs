//! Measures the cost of crash reports at a quarantine coordinator while requests have many random
//! prompt parts.
//!
//! Each crash is reported by one node for each of its runs, which is most in the largest fleet.

use std::time::{Duration, Instant};

use eelgrassmill_route::{
    BrokenRun, CrashRecord, QuarantineCoordinator, QuarantineTable, crash_candidates, crash_id,
    crashed_runs,
};

const CRASHES: u64 = 1000;
/// Requests that run on a host.
const RUNS: u64 = 26;
const CRASH_INTERVAL: Duration = Duration::from_millis(200);
const SERVICE: &str = "draft";
const CRASHING_PART: u64 = 0xbad;

fn main() {
    println!("parts  us a report  us a decision  slowest decision  quarantined at crash");
    for parts in [2, 16, 64] {
        println!("{}", measure(parts));
    }
}

fn measure(parts: u64) -> String {
    let mut coordinator = QuarantineCoordinator::default();
    let mut table = QuarantineTable::default();
    let (mut reporting, mut deciding, mut slowest) = (Duration::ZERO, Vec::new(), Duration::ZERO);
    let mut quarantined = None;
    let mut now = Instant::now();
    let mut next_part = 1 << 32;
    for crash in 0..CRASHES {
        now += CRASH_INTERVAL;
        for run in 0..RUNS {
            let mut ids = vec![1];
            // One of the runs is the cause.
            ids.extend((run == 0).then_some(CRASHING_PART));
            ids.extend(next_part..next_part + parts - 1);
            next_part += parts;
            let broken = BrokenRun {
                candidates: crash_candidates(crash * RUNS + run, SERVICE, &ids),
                ran_for: Duration::from_millis(150),
                started: false,
                wrote_for: Duration::ZERO,
            };
            let record = CrashRecord {
                id: crash_id("host", crash),
                failure_domain: ["a", "b", "c"][crash as usize % 3].into(),
                age: Duration::ZERO,
                running: crashed_runs([broken]),
            };
            let began = Instant::now();
            let decided = coordinator.on_crash(&SERVICE.into(), record, &table, now);
            reporting += began.elapsed();
            for record in decided {
                table.merge(&record, now);
            }
        }
        // A request that many share completes all the time.
        let common = crash_candidates(0, SERVICE, [1])[1].fingerprint;
        coordinator.on_completed(&SERVICE.into(), common, Duration::ZERO, &table, now);
        let began = Instant::now();
        for record in coordinator.decide(&table, now + CRASH_INTERVAL) {
            quarantined.get_or_insert(crash + 1);
            table.merge(&record, now);
        }
        slowest = slowest.max(began.elapsed());
        deciding.push(began.elapsed());
    }
    let mean = |total: Duration, n: u64| total.as_secs_f64() * 1e6 / n as f64;
    format!(
        "{parts:5}  {:11.1}  {:13.1}  {:16.1}  {:20}",
        mean(reporting, CRASHES * RUNS),
        mean(deciding.iter().sum(), CRASHES),
        mean(slowest, 1),
        quarantined.map_or("never".to_owned(), |n: u64| n.to_string()),
    )
}
