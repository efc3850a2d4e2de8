//! Many streams at once.

mod process;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassmill_standin::expected_token;
use process::http::open;
use process::secs;
use process::world::{Shape, TENANT, World};
use serde_json::{Value, json};

const STREAMS: usize = 64;
const GROUPS: usize = 8;
const TOKENS: usize = 100;
/// By how much engines are slowed, to about 23 ms between tokens.
const SLOWED: &str = "&n=10";
/// Most that the time between tokens may grow from the engine to the caller.
const MOST: f64 = 1.1;

/// Where a stream goes and what its head says.
struct Way {
    at: SocketAddr,
    headers: Vec<(String, String)>,
}

/// Entries pass tokens on as they come. One that gathers them, or has too little
/// time for each of many streams, sends them in bursts: staff would see a reply
/// stand still and jump. Sixty-four streams run at once, first straight from
/// the engines and then through an entry, and their times are compared.
#[test]
fn tokens_of_many_streams_reach_callers_as_fast_as_engines_make_them() {
    let world = World::start(Shape {
        nodes: 1,
        engines: 2 * GROUPS,
        per_fabric: 4,
        groups: GROUPS,
        slots: STREAMS / GROUPS,
        ..Shape::default()
    });
    for (host, _) in &world.engines {
        world.fault(host, "slow", SLOWED);
    }
    let direct = gaps(&engine_ways(&world));
    let relayed = gaps(&entry_ways(&world));
    let mean = ratio(mean(&relayed), mean(&direct));
    let p95 = ratio(percentile(&relayed, 95), percentile(&direct, 95));
    println!(
        "{STREAMS} streams: mean {:?} at the caller, {:?} at the engine, ratio {mean:.3}; \
         95 in 100 within {:?} and {:?}, ratio {p95:.3}",
        self::mean(&relayed),
        self::mean(&direct),
        percentile(&relayed, 95),
        percentile(&direct, 95),
    );
    assert!(mean <= MOST, "ratio {mean:.3}");
}

/// Straight to the leads, as an entry would send it.
fn engine_ways(world: &World) -> Vec<Way> {
    let groups = world.groups(0);
    let ways = (0..STREAMS).map(|i| {
        let group = &groups[i % GROUPS];
        let lead = world.engines.iter().find(|(h, _)| *h == group.members[0]);
        Way {
            at: lead.expect("the lead").1,
            headers: vec![
                ("x-request-id".to_owned(), format!("direct-{i}")),
                ("x-group".to_owned(), group.group.to_string()),
                ("x-group-epoch".to_owned(), group.epoch.to_string()),
            ],
        }
    });
    ways.collect()
}

fn entry_ways(world: &World) -> Vec<Way> {
    let way = || Way {
        at: world.entries()[0],
        headers: vec![
            ("authorization".to_owned(), format!("Bearer {TENANT}")),
            ("priority".to_owned(), "u=0".to_owned()),
        ],
    };
    (0..STREAMS).map(|_| way()).collect()
}

/// Times between tokens of all streams, which run at once.
fn gaps(ways: &[Way]) -> Vec<Duration> {
    let mut gaps: Vec<Duration> = std::thread::scope(|scope| {
        let streams: Vec<_> = ways
            .iter()
            .enumerate()
            .map(|(i, way)| scope.spawn(move || stream(way, i)))
            .collect();
        let each = streams.into_iter().map(|s| s.join().expect("a stream"));
        each.flatten().collect()
    });
    gaps.sort();
    assert_eq!(gaps.len(), STREAMS * (TOKENS - 1));
    gaps
}

/// Times between the tokens of one stream; each token is checked.
fn stream(way: &Way, i: usize) -> Vec<Duration> {
    let prompt = format!("stream {i}");
    let body = json!({
        "model": "reviews", "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let headers: Vec<(&str, &str)> = way
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    let path = "/v1/completions";
    let answer = open("POST", way.at, path, &headers, &body.to_string(), secs(30));
    let answer = answer.expect("an answer");
    assert_eq!(answer.status().as_u16(), 200, "{:?}", answer.headers());
    let mut times = Vec::with_capacity(TOKENS);
    for line in BufReader::new(answer.into_body()).lines() {
        let line = line.expect("a line");
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return times.windows(2).map(|two| two[1] - two[0]).collect();
        }
        let event: Value = serde_json::from_str(data).expect("an event");
        let token = event["choices"][0]["text"].as_str().expect("a token");
        let expected = expected_token(&prompt, times.len() as u64);
        assert_eq!(token.trim(), expected);
        times.push(Instant::now());
    }
    panic!("stream {i} has no end marker");
}

fn mean(sorted: &[Duration]) -> Duration {
    let count = u32::try_from(sorted.len()).expect("not that many");
    sorted.iter().sum::<Duration>() / count
}

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() - 1) * percent / 100]
}

fn ratio(a: Duration, b: Duration) -> f64 {
    a.as_secs_f64() / b.as_secs_f64()
}
