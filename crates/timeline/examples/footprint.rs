//! Measures the memory use of one node's event log, and the time to record and find an event.
//!
//! `cargo run --release -p eelgrassmill-timeline --example footprint`

use std::hint::black_box;
use std::time::{Duration, Instant};

use eelgrassmill_timeline::{EventKind, EventLog, LogCapacity, Query};

const QUERY_ROUNDS: u32 = 10;

fn main() {
    println!("recorded   stored  counted B  resident B record     find   serialised B");
    for requests in [1_000u64, 10_000, 100_000, 400_000] {
        measure(requests);
    }
}

fn measure(requests: u64) {
    let resident_before = resident_bytes();
    let log = EventLog::new("node-a", 1, LogCapacity::default());
    let start = Instant::now();
    let mut recorded = 0;
    for i in 0..requests {
        recorded += record(&log, i);
    }
    let per_event = start.elapsed() / u32::try_from(recorded).unwrap_or(u32::MAX);
    let resident_growth = resident_bytes().saturating_sub(resident_before);
    let query = Query {
        request: Some("node-a-1-7".into()),
        ..Query::default()
    };
    let find = shortest(|| drop(black_box(log.query(&query))));
    let result = log.query(&Query::default());
    let bytes = serde_json::to_vec(&result).map_or(0, |v| v.len());
    println!(
        "{recorded:8} {:8} {:10} {resident_growth:11} {:4}ns {:6}us {bytes:14}",
        log.len(),
        log.bytes(),
        per_event.as_nanos(),
        find.as_micros(),
    );
}

/// Records the events of one request, and a state change for every tenth; returns their number.
fn record(log: &EventLog, i: u64) -> u64 {
    let request: smol_str::SmolStr = format!("node-a-1-{i}").into();
    log.record(
        EventKind::RequestAdmitted {
            request: request.clone(),
            tenant: "tenant-1".into(),
            service: "reply".into(),
            urgency: eelgrassmill_base::Urgency::DEFAULT,
        },
        i,
    );
    log.record(
        EventKind::RequestDispatched {
            request: request.clone(),
            host: "engine-17".into(),
            group: Some("reply/3".into()),
            attempt: 1,
        },
        i,
    );
    log.record(
        EventKind::RequestAnswered {
            request,
            status: 200,
            took_ms: 900,
        },
        i,
    );
    if !i.is_multiple_of(10) {
        return 3;
    }
    let reason = "host engine-17 is missing: Silent".into();
    let host = Some("engine-17".into());
    log.record(
        EventKind::GroupBroken {
            group: "reply/3".into(),
            epoch: i,
            host,
            reason,
        },
        i,
    );
    4
}

fn shortest(mut work: impl FnMut()) -> Duration {
    let mut best = Duration::MAX;
    for _ in 0..QUERY_ROUNDS {
        let start = Instant::now();
        work();
        best = best.min(start.elapsed());
    }
    best
}

/// Resident set size of this process from `/proc`; 0 if unavailable.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}
