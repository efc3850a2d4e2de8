//! Benchmarks text size and the time to parse, diff, accept and checksum a text by fleet size.
//!
//! `cargo run --release -p eelgrassmill-config --example sizes`

use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

use eelgrassmill_config::{Config, Decision, Submit, checksum, decide_submit, diff};

/// Model groups per service.
const GROUPS_PER_SERVICE: usize = 5;
const ROUNDS: u32 = 20;

fn main() {
    println!("groups  hosts  tenants   text B    row B    read  compare   accept  checksum");
    // A tenth, a third and the whole of the target fleet size.
    for (groups, hosts, tenants) in [(11, 88, 10), (37, 293, 33), (110, 880, 100)] {
        measure(groups, hosts, tenants);
    }
}

fn measure(groups: usize, hosts: usize, tenants: usize) {
    let text = text(groups, hosts, tenants);
    let changed = text.replace("version = v1", "version = v2");
    let old = Config::parse(&text, "old").expect("a valid text");
    let new = Config::parse(&changed, "new").expect("a valid text");
    let first = Submit {
        id: "s-1".into(),
        base: 0,
        author: "ada".into(),
        text: text.clone(),
    };
    let Decision::Accept(accepted) = decide_submit(None, None, &first) else {
        unreachable!("no concurrent submission")
    };
    let row = accepted.writes[0].value.as_ref().map_or(0, String::len);
    let second = Submit {
        id: "s-2".into(),
        base: 1,
        author: "bob".into(),
        text: changed,
    };
    let current = Some((1, &accepted.current));
    println!(
        "{groups:6} {hosts:6} {tenants:8} {:8} {row:8} {:7} {:8} {:8} {:9}",
        text.len(),
        min_micros(|| drop(black_box(Config::parse(&text, "text")))),
        min_micros(|| drop(black_box(diff(&old, &new)))),
        min_micros(|| drop(black_box(decide_submit(current, None, &second)))),
        min_micros(|| drop(black_box(checksum(&text)))),
    );
}

/// Minimum over all rounds, as `Nus`; noise can only lengthen a round.
fn min_micros(mut run: impl FnMut()) -> String {
    let mut best = Duration::MAX;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        run();
        best = best.min(start.elapsed());
    }
    format!("{}us", best.as_micros())
}

fn text(groups: usize, hosts: usize, tenants: usize) -> String {
    let mut text = String::new();
    for t in 0..tenants {
        let _ = write!(text, "[tenant t{t}]\ntoken_sha256 = {t:064x}\nweight = 2\n");
    }
    for s in 0..groups.div_ceil(GROUPS_PER_SERVICE) {
        let _ = write!(
            text,
            "[service s{s}]\nkind = model\nmodel = m{s}\nversion = v1\n\
             groups = {GROUPS_PER_SERVICE}\nhosts_per_group = 8\n"
        );
    }
    for h in 0..hosts {
        let _ = write!(text, "[target host-{h}]\nchecks_orders = yes\n");
    }
    text
}
