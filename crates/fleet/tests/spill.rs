//! Simulates spillover with callers in several failure domains.

use eelgrassmill_base::FailureDomain;
use eelgrassmill_fleet::{DomainLoad, choose_domain};
use googletest::prelude::*;

/// Maximum number of concurrent requests of one domain's heads.
const SLOTS: usize = 300;
/// Mean duration of a stream in ticks; durations vary.
const MEAN_DURATION: f64 = 40.0;
/// Loads are reported this many ticks late.
const REPORT_LAG: usize = 15;
const TICKS: usize = 2_000;
/// At least 0.95 of the requests should be served on time.
const MAX_FOUND_FULL: f64 = 0.05;

/// Result of a simulation.
struct Played {
    /// Fraction of the requests that stayed in their caller's domain.
    stayed: f64,
    /// Fraction of the requests after the first half that found the heads of their domain full.
    found_full: f64,
}

/// Simulates callers that send `arrivals[d]` requests per tick in each domain, to heads with
/// `slots[d]` slots.
fn play(arrivals: &[usize], slots: &[usize]) -> Played {
    let count = arrivals.len();
    let domains: Vec<FailureDomain> = (0..count).map(|d| format!("z{d}").into()).collect();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut history: Vec<Vec<usize>> = vec![vec![0; count]];
    let mut running: Vec<(usize, usize)> = Vec::new();
    let (mut stayed, mut all) = (0, 0);
    let (mut found_full, mut settled) = (0, 0_usize);
    for tick in 0..TICKS {
        let loads = history.last().cloned().unwrap_or_default();
        let reported = history[history.len().saturating_sub(REPORT_LAG)].clone();
        running.retain(|(end, _)| *end > tick);
        for (home, requests) in arrivals.iter().enumerate() {
            for _ in 0..*requests {
                let seen = (0..count).map(|d| DomainLoad {
                    failure_domain: &domains[d],
                    load: reported[d],
                    slots: slots[d],
                });
                let seen = seen.filter(|d| d.slots > 0);
                let chosen = choose_domain(&domains[home], seen, rng.f64(), rng.f64());
                let chosen = chosen.expect("some domain has heads");
                let at = domains.iter().position(|d| d == chosen).unwrap_or_default();
                let duration = -MEAN_DURATION * (1.0 - rng.f64()).ln();
                running.push((tick + duration.ceil() as usize, at));
                stayed += usize::from(at == home);
                if tick > TICKS / 2 {
                    settled += 1;
                    found_full += usize::from(loads[at] >= slots[at]);
                }
                all += 1;
            }
        }
        let mut loads = vec![0; count];
        for (_, at) in &running {
            loads[*at] += 1;
        }
        history.push(loads);
    }
    Played {
        stayed: stayed as f64 / all as f64,
        found_full: found_full as f64 / settled as f64,
    }
}

#[gtest]
fn requests_stay_in_their_domain_while_it_is_no_fuller_than_the_others() {
    let played = play(&[5, 5, 5], &[SLOTS; 3]);
    expect_that!(played.stayed, ge(0.95));
}

/// Guards against a busy failure domain rejecting requests while others have free slots.
#[gtest]
fn a_domain_with_more_callers_spills_before_it_is_full() {
    let played = play(&[9, 5, 4], &[SLOTS; 3]);
    // Nine requests per tick would be 1.2 per slot if all stayed.
    expect_that!(played.found_full, le(MAX_FOUND_FULL));
    expect_that!(played.stayed, ge(0.7));
}

/// Guards against rejecting callers of a failure domain that lost its heads.
#[gtest]
fn a_domain_without_heads_sends_to_those_that_have_some() {
    let played = play(&[5, 5, 3], &[SLOTS, SLOTS, 0]);
    expect_that!(played.found_full, le(MAX_FOUND_FULL));
}
