//! Choice of group: whole and staying groups, load against affinity, slow and new ones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_route::*;
use googletest::prelude::*;

const MILLI: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn candidate(i: usize, distance: u8) -> Candidate {
    Candidate {
        group: format!("draft/{i}").into(),
        epoch: 1,
        distance,
        slots: 20,
        quota: Slots {
            normal: 18,
            urgent: 2,
        },
        leaving: false,
    }
}

/// A picker whose groups have been there long enough to get all of their slots.
fn picker(distances: &[u8]) -> (GroupPicker, Instant) {
    let start = Instant::now();
    let mut picker = GroupPicker::new(7);
    picker.set_candidates(
        distances.iter().enumerate().map(|(i, d)| candidate(i, *d)),
        start,
    );
    (picker, start + 60 * SECOND)
}

fn pick(picker: &mut GroupPicker, prefixes: &[PrefixHash], now: Instant) -> Option<String> {
    let pick = picker.pick(SlotKind::Normal, prefixes, &[], now);
    pick.map(|p| p.group.to_string())
}

fn counts(picker: &mut GroupPicker, picks: usize, now: Instant) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..picks {
        if let Some(group) = pick(picker, &[], now) {
            *counts.entry(group).or_default() += 1;
        }
    }
    counts
}

/// A host of a group is taken away, and another group has been formed anew. Work sent to
/// the leaving one would be cut off; the pick of the old epoch must not free a new slot.
#[googletest::test]
fn leaving_groups_and_ended_epochs_get_nothing_new() {
    let (mut picker, now) = picker(&[0, 0]);
    let old = picker
        .pick(SlotKind::Normal, &[], &["draft/0".into()], now)
        .expect("a group");
    expect_that!(old.group.as_str(), eq("draft/1"));
    let mut leaving = candidate(0, 0);
    leaving.leaving = true;
    let mut renewed = candidate(1, 0);
    renewed.epoch = 2;
    renewed.quota = Slots {
        normal: 1,
        urgent: 0,
    };
    picker.set_candidates([leaving, renewed], now);
    let new = picker
        .pick(SlotKind::Normal, &[], &[], now)
        .expect("the new epoch");
    expect_that!((new.group.as_str(), new.epoch), eq(("draft/1", 2)));
    picker.release(&old);
    expect_that!(pick(&mut picker, &[], now), none());
    picker.set_candidates([], now);
    expect_that!(picker.free_slots(now), eq(Slots::NONE));
}

/// Load reports are a second old. Without adding what was sent since, the whole burst
/// goes to the group that was emptiest a second ago.
#[googletest::test]
fn a_burst_between_reports_is_spread() {
    let (mut picker, now) = picker(&[0, 0, 0, 0]);
    for (i, running) in [0, 4, 4, 4].into_iter().enumerate() {
        picker.on_load_report(&format!("draft/{i}"), 1, running, now - SECOND);
    }
    let counts = counts(&mut picker, 40, now);
    expect_that!(counts["draft/0"], le(16));
    expect_that!(counts.values().min(), some(ge(&6)));
}

/// The own failure domain's group is nearly full. Requests spill to the next domain
/// instead of queueing at home, and come back when there is room.
#[googletest::test]
fn the_nearest_domain_comes_first_and_spills() {
    let (mut picker, now) = picker(&[0, 1]);
    expect_that!(pick(&mut picker, &[], now), some(eq("draft/0")));
    picker.on_load_report("draft/0", 1, 18, now);
    expect_that!(pick(&mut picker, &[], now), some(eq("draft/1")));
    picker.on_load_report("draft/0", 1, 2, now);
    expect_that!(pick(&mut picker, &[], now), some(eq("draft/0")));
}

/// Council digests share a long beginning that one group has in its cache. They go
/// there, until it is so much fuller that the cache isn't worth the wait.
#[googletest::test]
fn a_cached_prefix_attracts_until_load_outweighs_it() {
    let (mut picker, now) = picker(&[0, 0, 0]);
    let prefixes = prefix_hashes(&"council digest ".repeat(100));
    let home = pick(&mut picker, &prefixes, now).expect("a group");
    for _ in 0..5 {
        expect_that!(pick(&mut picker, &prefixes, now), some(eq(&home)));
    }
    picker.on_load_report(&home, 1, 18, now);
    expect_that!(pick(&mut picker, &prefixes, now), some(not(eq(&home))));
}

/// Cache events come late and with gaps. An eviction from before our last request must
/// not undo it; after a gap the record is believed only half.
#[googletest::test]
fn late_and_missing_cache_events_correct_the_record() {
    let (mut picker, now) = picker(&[0, 0]);
    let prefixes = prefix_hashes(&"claim summary ".repeat(30));
    let hash = *prefixes.last().expect("long enough");
    let events = [CacheEvent::Evicted(hash)];
    picker
        .pick(SlotKind::Normal, &prefixes, &["draft/1".into()], now)
        .expect("draft/0");
    picker.on_cache_events("draft/0", 1, 0, &events, now - SECOND);
    picker.on_load_report("draft/0", 1, 5, now);
    expect_that!(pick(&mut picker, &prefixes, now), some(eq("draft/0")));
    // After the gap a match is worth half: not enough against this load any more.
    let later = now + 10 * SECOND;
    picker.on_cache_events("draft/0", 1, 9, &[], later);
    picker.on_load_report("draft/0", 1, 8, later);
    expect_that!(pick(&mut picker, &prefixes, later), some(eq("draft/1")));
    // Confirmed, it counts in full again.
    picker.on_cache_events("draft/0", 1, 9, &[CacheEvent::Stored(hash)], later + SECOND);
    picker.on_cache_events("draft/1", 1, 0, &events, later + SECOND);
    expect_that!(
        pick(&mut picker, &prefixes, later + SECOND),
        some(eq("draft/0"))
    );
}

/// A group's fabric link has gone bad: it lives and answers, at a quarter of the pace.
/// It gets less, but still enough to be seen recovering.
#[googletest::test]
fn a_slow_group_is_noticed_and_gets_less() {
    let (mut picker, mut now) = picker(&[0, 0, 0, 0]);
    let measure = |picker: &mut GroupPicker, gaps: [u32; 4], now| {
        for (i, gap) in gaps.into_iter().enumerate() {
            for _ in 0..50 {
                picker.observe(
                    &format!("draft/{i}"),
                    1,
                    LatencySample::InterTokenLatency(gap * MILLI),
                    now,
                );
            }
        }
    };
    measure(&mut picker, [15, 15, 15, 60], now);
    let slow = counts(&mut picker, 50, now);
    expect_that!(slow["draft/3"], le(5));
    expect_that!(slow["draft/0"], ge(12));
    now += SECOND;
    measure(&mut picker, [15, 15, 15, 15], now);
    picker.set_candidates((0..4).map(|i| candidate(i, 0)), now);
    let recovered = counts(&mut picker, 20, now);
    expect_that!(recovered["draft/3"], ge(8));
}

/// A group has just been formed: its caches are cold, and nobody has seen it serve yet.
/// It gets a few requests at first and its full part after some seconds.
#[googletest::test]
fn a_new_group_starts_gradually() {
    let (mut picker, now) = picker(&[0]);
    picker.set_candidates([candidate(0, 0), candidate(1, 0)], now);
    let first = counts(&mut picker, 19, now);
    expect_that!(first["draft/1"], le(2));
    expect_that!(picker.free_slots(now + 30 * SECOND).normal, eq(36 - 19));
}

/// Evidence of all groups is late for three seconds while a watcher is replaced. Forgotten
/// meanwhile, what still runs there would be sent a second time over, and every
/// group would start with a tenth of its slots. One that was gone for long does start anew.
#[googletest::test]
fn a_short_gap_in_the_evidence_is_no_new_start() {
    let (mut picker, now) = picker(&[0]);
    let picks: Vec<Pick> = (0..10)
        .filter_map(|_| picker.pick(SlotKind::Normal, &[], &[], now))
        .collect();
    picker.set_candidates([], now);
    expect_that!(pick(&mut picker, &[], now), none());
    picker.release(&picks[0]);
    let back = now + 3 * SECOND;
    picker.set_candidates([candidate(0, 0)], back);
    expect_that!(
        picker.free_slots(back),
        eq(Slots {
            normal: 18 - 9,
            urgent: 2
        })
    );
    picker.set_candidates([], back);
    let late = back + 60 * SECOND;
    picker.set_candidates([candidate(0, 0)], late);
    expect_that!(picker.free_slots(late).normal, eq(0));
    expect_that!(picker.free_slots(late + 30 * SECOND).normal, eq(18 - 9));
}

/// Runs drafts of 200 tokens on one group as fast as the picker lets them in, on an
/// engine that takes `gap` between tokens; gives how many ran in the last five minutes.
fn concurrency(gap: impl Fn(f64) -> f64) -> Vec<u32> {
    let (mut picker, mut now) = picker(&[0]);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut running: Vec<(Pick, f64)> = Vec::new();
    let mut levels = Vec::new();
    for round in 0..3000 {
        while let Some(pick) = picker.pick(SlotKind::Normal, &[], &[], now) {
            running.push((pick, 200.0));
        }
        let load = running.len() as f64;
        for (_, left) in &mut running {
            let sample = gap(load) * (0.9 + 0.2 * rng.f64());
            let sample_token = LatencySample::InterTokenLatency(Duration::from_secs_f64(sample));
            picker.observe("draft/0", 1, sample_token, now);
            *left -= 0.2 / sample;
        }
        running.retain(|(pick, left)| {
            let ended = *left <= 0.0;
            ended.then(|| picker.release(pick));
            !ended
        });
        now += 200 * MILLI;
        if round >= 1500 {
            levels.push(load as u32);
        }
    }
    levels
}

fn mean(levels: &[u32]) -> f64 {
    f64::from(levels.iter().sum::<u32>()) / levels.len() as f64
}

/// An entry has been restarted and learns of groups that have served for weeks. To start
/// gradually with each of them would refuse its callers for a reason of its own.
#[googletest::test]
fn a_new_entry_trusts_the_groups_it_finds() {
    let now = Instant::now();
    let mut picker = GroupPicker::new(1);
    picker.set_candidates([], now);
    picker.set_candidates([candidate(0, 0)], now + SECOND);
    expect_that!(picker.free_slots(now + SECOND).normal, eq(18));
    picker.set_candidates([candidate(0, 0), candidate(1, 0)], now + 60 * SECOND);
    expect_that!(picker.free_slots(now + 60 * SECOND).normal, eq(18 + 1));
}

/// An engine whose tokens slow down as more requests run on it: 20 ms and 5 ms for
/// each. At 18 requests every token comes too late; the limit settles where 95 in 100
/// are in time, 10 requests with the noise, though drafts take many seconds to end.
#[googletest::test]
fn concurrency_follows_the_measured_pace() {
    let levels = concurrency(|load| 0.02 + 0.005 * load);
    expect_that!(mean(&levels), near(10.0, 1.5));
    expect_that!(levels.iter().min(), some(ge(&7)));
}

/// A model that takes 90 ms for a token however few requests run. Giving the group less
/// makes nothing faster; given one request at a time, it would serve next to nobody.
#[googletest::test]
fn a_limit_that_does_not_help_is_given_up() {
    let levels = concurrency(|_| 0.09);
    expect_that!(mean(&levels), ge(15.0));
}
