//! Tests of the quarantine of prompt parts, against fleets in which the cause of each crash is known.

mod support;

use std::time::Duration;

use googletest::prelude::*;

use crate::support::{COMMON, CRASHING, Day, Fleet, Outcome, ms};

/// Arrivals of requests with a crashing part that are permitted after it should be quarantined.
const MAX_LATE_ARRIVALS: usize = 3;
/// Seeds of each kind of day.
const SEEDS: u64 = 20;

/// Plays a day with several seeds. Checks that crashing parts stop reaching hosts, that the common
/// part is quarantined for no longer than `common`, and that at most `rejected` in a thousand sound
/// requests are rejected.
fn check(day: Day, common: Duration, rejected: usize) {
    for seed in 1..=SEEDS {
        let day = Day {
            seed,
            ..day.clone()
        };
        let restarted = day.restart_at;
        let (parts, late_limit) = (day.crashing_parts, MAX_LATE_ARRIVALS);
        let (start, out) = Fleet::new(day).play();
        let touch = restarted.map(|at| start + at + ms(3000));
        for part in CRASHING..CRASHING + parts {
            let late = out.late_arrivals(part, touch);
            let crashes = out.crashes.get(&part).map_or(0, Vec::len);
            expect_that!(
                late,
                le(late_limit),
                "seed {seed}, {part:x}: {crashes} crashes"
            );
        }
        expect_that!(out.common_quarantined, le(common), "seed {seed}");
        expect_that!(
            out.sound_rejected * 1000,
            le(out.sound_sent * rejected),
            "seed {seed}: {} of {}",
            out.sound_rejected,
            out.sound_sent
        );
    }
}

/// Guards against counting requests with one crashing part as different causes.
#[gtest]
fn a_crashing_part_is_quarantined() {
    check(Day::default(), Duration::ZERO, 5);
}

/// Guards against a crashing part that comes seldom.
#[gtest]
fn a_crashing_part_that_comes_seldom_is_quarantined() {
    let day = Day {
        crashing_per_s: 0.3,
        lasts: ms(120_000),
        attack: (ms(5_000), ms(115_000)),
        ..Day::default()
    };
    check(day, Duration::ZERO, 5);
}

/// Guards against a part that is forgotten, or tried again and again, when it comes back minutes later.
#[gtest]
fn a_crashing_part_that_comes_back_after_minutes_stays_quarantined() {
    let day = Day {
        attack: (ms(5_000), ms(15_000)),
        second_attack: Some((ms(200_000), ms(230_000))),
        lasts: ms(240_000),
        ..Day::default()
    };
    check(day, Duration::ZERO, 5);
}

/// Guards against attributing the crashes of several parts to the part that all requests hold.
#[gtest]
fn several_crashing_parts_are_told_from_the_part_that_all_requests_hold() {
    let day = Day {
        crashing_parts: 3,
        ..Day::default()
    };
    check(day, Duration::ZERO, 10);
}

/// Guards against many crashing parts before anything has completed.
#[gtest]
fn five_crashing_parts_from_the_start_are_quarantined() {
    let day = Day {
        crashing_parts: 5,
        crashing_per_s: 1.5,
        attack: (ms(0), ms(40_000)),
        ..Day::default()
    };
    check(day, Duration::ZERO, 20);
}

/// Guards against the same where all hosts are often down, so that few sound requests complete.
#[gtest]
fn two_crashing_parts_before_two_hosts_leave_the_common_part_clear() {
    for (seed, out) in small_fleet_days() {
        expect_that!(out.common_quarantined, eq(Duration::ZERO), "seed {seed}");
    }
}

/// Guards against crashing parts that are taken for sound ones, which were in the same crashes.
#[gtest]
fn two_crashing_parts_before_two_hosts_are_quarantined() {
    for (seed, out) in small_fleet_days() {
        for part in CRASHING..CRASHING + 2 {
            let late = out.late_arrivals(part, None);
            expect_that!(late, le(MAX_LATE_ARRIVALS), "seed {seed}, {part:x}");
        }
    }
}

/// Days of two hosts that are attacked from the start and before which nothing has completed, with
/// their seeds.
fn small_fleet_days() -> impl Iterator<Item = (u64, Outcome)> {
    (1..=SEEDS).map(|seed| {
        let day = Day {
            seed,
            crashing_parts: 2,
            crashing_per_s: 1.25,
            attack: (ms(0), ms(24_000)),
            lasts: ms(30_000),
            nodes: 3,
            hosts: 2,
            domains: 1,
            sound_per_s: 5.0,
            subjects: 5,
            longest_run: ms(500),
            down: (ms(600), ms(700)),
            ..Day::default()
        };
        (seed, Fleet::new(day).play().1)
    })
}

/// Guards against crashing parts at the beginning of prompts.
#[gtest]
fn a_crashing_first_part_is_quarantined() {
    let day = Day {
        first_part_crashes: true,
        ..Day::default()
    };
    check(day, Duration::ZERO, 5);
}

/// Guards against quarantining a part that is present in all crashes and causes none.
#[gtest]
fn hosts_that_crash_for_other_reasons_quarantine_no_part() {
    let day = Day {
        crashing_parts: 0,
        other_crashes_per_s: 3.0,
        domain_fails_at: Some(ms(20_000)),
        ..Day::default()
    };
    check(day, Duration::ZERO, 2);
}

/// Guards against the same where few short requests run, so that little speaks for a part.
#[gtest]
fn hosts_that_crash_under_few_requests_quarantine_no_common_part() {
    let day = Day {
        crashing_parts: 0,
        other_crashes_per_s: 2.0,
        hosts: 2,
        domains: 2,
        sound_per_s: 5.0,
        subjects: 5,
        longest_run: ms(350),
        ..Day::default()
    };
    check(day, Duration::ZERO, 20);
}

/// Guards against missing a crashing part among crashes for other reasons.
#[gtest]
fn a_crashing_part_beside_other_crashes_is_quarantined() {
    let day = Day {
        other_crashes_per_s: 1.5,
        domain_fails_at: Some(ms(6_000)),
        late_reporters: 0.3,
        ..Day::default()
    };
    check(day, Duration::ZERO, 10);
}

/// Guards against parts of one service that are counted for another one.
#[gtest]
fn a_crashing_part_of_two_services_is_quarantined_at_each() {
    let day = Day {
        services: 2,
        hosts: 24,
        sound_per_s: 120.0,
        crashing_per_s: 5.0,
        ..Day::default()
    };
    check(day, Duration::ZERO, 5);
}

/// Guards against reports of nodes that were cut off, which come late and together.
#[gtest]
fn a_crashing_part_is_quarantined_beside_nodes_that_are_cut_off() {
    let day = Day {
        cut_nodes: 3,
        cut: (ms(4_000), ms(14_000)),
        ..Day::default()
    };
    check(day, Duration::ZERO, 10);
}

/// Guards against floods of random parts that displace the evidence.
#[gtest]
fn floods_of_random_parts_hide_no_crashing_part() {
    let day = Day {
        flood_parts: 200,
        sound_per_s: 30.0,
        ..Day::default()
    };
    check(day, Duration::ZERO, 5);
}

/// Guards against nodes that all forget the evidence and quarantine the wrong part.
#[gtest]
fn a_crashing_part_is_quarantined_again_after_all_nodes_restarted() {
    check(restart_day(1), Duration::ZERO, 10);
}

/// Guards against the same with two crashing parts, whose crashes look like those of a common part.
#[gtest]
fn two_crashing_parts_are_quarantined_again_after_all_nodes_restarted() {
    check(restart_day(2), Duration::ZERO, 10);
}

fn restart_day(crashing_parts: u64) -> Day {
    Day {
        crashing_parts,
        restart_at: Some(ms(15_000)),
        ..Day::default()
    }
}

/// Guards against decisions that are lost when all nodes restart.
#[gtest]
fn a_crashing_part_stays_quarantined_when_all_nodes_restart() {
    let day = Day {
        saves_decisions: true,
        ..restart_day(1)
    };
    check(day, Duration::ZERO, 5);
}

/// Guards against the same with two crashing parts.
#[gtest]
fn two_crashing_parts_stay_quarantined_when_all_nodes_restart() {
    let day = Day {
        saves_decisions: true,
        ..restart_day(2)
    };
    check(day, Duration::ZERO, 10);
}

/// Plays a day on which the part that all requests hold crashes hosts.
fn check_common_part(day: &Day) {
    for seed in 1..=SEEDS {
        let day = Day {
            seed,
            crashing_parts: 0,
            common_part_crashes: true,
            ..day.clone()
        };
        let (_, out) = Fleet::new(day).play();
        let late = out.late_arrivals(COMMON, None);
        expect_that!(late, le(MAX_LATE_ARRIVALS), "seed {seed}");
    }
}

/// Guards against never quarantining a part that all requests hold.
#[gtest]
fn a_part_of_all_requests_that_crashes_hosts_is_quarantined() {
    let day = Day {
        attack: (ms(0), ms(40_000)),
        ..Day::default()
    };
    check_common_part(&day);
}

/// Guards against completions before the first crash that postpone the decision without end.
#[gtest]
fn a_part_of_all_requests_that_begins_to_crash_hosts_is_quarantined() {
    check_common_part(&Day::default());
}

/// Guards against evidence that grows with the nodes of a fleet.
#[gtest]
fn reports_in_the_largest_fleet_are_bounded() {
    let day = Day {
        nodes: 985,
        hosts: 880,
        domains: 80,
        sound_per_s: 5200.0,
        subjects: 4000,
        crashing_per_s: 10.0,
        attack: (ms(5_000), ms(15_000)),
        lasts: ms(20_000),
        spread: ms(1500),
        ..Day::default()
    };
    let (nodes, slots) = (day.nodes, day.slots);
    let (_, out) = Fleet::new(day).play();
    let crashes = out.crashes.get(&CRASHING).map_or(0, Vec::len);
    expect_that!(out.late_arrivals(CRASHING, None), le(MAX_LATE_ARRIVALS));
    expect_that!(out.common_quarantined, eq(Duration::ZERO));
    // A run is reported once with its crash, and so are its two parts with a completion before it
    // and one after it; each notice, and each decision, at most once by each node.
    let most = crashes * slots * 5 + out.messages * nodes;
    expect_that!(
        out.reports,
        le(most),
        "{crashes} crashes, {} messages",
        out.messages
    );
    expect_that!(
        out.messages,
        le(20),
        "{crashes} crashes, {} reports",
        out.reports
    );
}

/// Shows decisions and their cost for one seed of each kind of day.
#[gtest]
fn outcomes() {
    let kinds = [
        ("one part", Day::default()),
        (
            "three parts",
            Day {
                crashing_parts: 3,
                ..Day::default()
            },
        ),
        (
            "first part",
            Day {
                first_part_crashes: true,
                ..Day::default()
            },
        ),
        (
            "other crashes",
            Day {
                crashing_parts: 0,
                other_crashes_per_s: 3.0,
                ..Day::default()
            },
        ),
        (
            "both",
            Day {
                other_crashes_per_s: 1.5,
                ..Day::default()
            },
        ),
        (
            "random parts",
            Day {
                flood_parts: 200,
                sound_per_s: 30.0,
                ..Day::default()
            },
        ),
        ("restart", restart_day(1)),
    ];
    let lines = kinds.map(|(name, day)| {
        let (_, out) = Fleet::new(day).play();
        let crashes: usize = out.crashes.values().map(Vec::len).sum();
        format!(
            "{name}: {crashes} crashes, {} of {} sound requests rejected, common part \
             {:?}, {} reports, {} messages",
            out.sound_rejected, out.sound_sent, out.common_quarantined, out.reports, out.messages
        )
    });
    insta::assert_snapshot!(lines.join("\n"));
}
