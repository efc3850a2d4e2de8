//! Simulates the group picker against random choice, in virtual time.
//!
//! Eight groups, one of them four times slower per token; each caches the prefixes of
//! a few prompts. Load reports and cache events arrive a second late, and every
//! fourth batch of events is lost. Requests without a free slot wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_route::{
    CacheEvent, Candidate, GroupPicker, LatencySample, Pick, PrefixHashes, SlotKind, Slots,
    prefix_hashes,
};

const GROUPS: usize = 8;
const SLOW: usize = 3;
const SLOWDOWN: u32 = 4;
const SLOTS: u32 = 16;
/// Prompts whose prefixes fit in a group's cache.
const CACHED: usize = 10;
const PROMPTS: usize = 48;
const WARM: Duration = Duration::from_millis(200);
const COLD: Duration = Duration::from_millis(900);
const TOKENS: u32 = 200;
const RUN: Duration = Duration::from_secs(900);
const LAG: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Group {
    running: u32,
    /// Cached prompts, least recently used first.
    cache: VecDeque<usize>,
    events: Vec<CacheEvent>,
    next_event: u64,
    served: u32,
}

impl Group {
    /// Caches the prompt and returns whether it was cached before.
    fn touch(&mut self, prompt: usize, hashes: &PrefixHashes) -> bool {
        let at = self.cache.iter().position(|p| *p == prompt);
        if let Some(at) = at {
            self.cache.remove(at);
        } else if self.cache.len() == CACHED {
            let out = self.cache.pop_front().unwrap_or_default();
            self.events
                .extend(hashes_of(out).into_iter().map(CacheEvent::Evicted));
        }
        self.cache.push_back(prompt);
        self.events
            .extend(hashes.iter().copied().map(CacheEvent::Stored));
        at.is_some()
    }
}

fn hashes_of(prompt: usize) -> PrefixHashes {
    prefix_hashes(&format!("prompt {prompt} ").repeat(200))
}

/// A policy that picks a group.
trait Policy {
    fn choose(&mut self, hashes: &PrefixHashes, now: Instant) -> Option<Pick>;
    fn picker(&mut self) -> &mut GroupPicker;
}

struct Picker(GroupPicker);

impl Policy for Picker {
    fn choose(&mut self, hashes: &PrefixHashes, now: Instant) -> Option<Pick> {
        self.0.pick(SlotKind::Normal, hashes, &[], now)
    }

    fn picker(&mut self) -> &mut GroupPicker {
        &mut self.0
    }
}

/// Picks any group with a free slot.
struct Random {
    rng: fastrand::Rng,
    running: [u32; GROUPS],
    unused: GroupPicker,
}

impl Policy for Random {
    fn choose(&mut self, _: &PrefixHashes, _: Instant) -> Option<Pick> {
        let free: Vec<usize> = (0..GROUPS).filter(|g| self.running[*g] < SLOTS).collect();
        let group = self.rng.choice(free)?;
        self.running[group] += 1;
        Some(Pick {
            group: name(group).into(),
            epoch: 1,
            slot: SlotKind::Normal,
        })
    }

    fn picker(&mut self) -> &mut GroupPicker {
        &mut self.unused
    }
}

fn name(group: usize) -> String {
    format!("draft/{group}")
}

fn candidates() -> impl Iterator<Item = Candidate> {
    (0..GROUPS).map(|i| Candidate {
        group: name(i).into(),
        epoch: 1,
        distance: 0,
        slots: SLOTS,
        quota: Slots {
            normal: SLOTS,
            urgent: 0,
        },
        leaving: false,
    })
}

#[derive(Default)]
struct Results {
    first_tokens: Vec<Duration>,
    totals: Vec<Duration>,
    warm: u32,
}

struct Simulation<C> {
    policy: C,
    release: fn(&mut C, usize, &Pick),
    groups: Vec<Group>,
    waiting: VecDeque<(Duration, usize)>,
    ends: BinaryHeap<Reverse<(Duration, u64)>>,
    running: BTreeMap<u64, (usize, Pick, Duration, Duration)>,
    started: u64,
    start_time: Instant,
    results: Results,
}

impl<C: Policy> Simulation<C> {
    fn new(policy: C, release: fn(&mut C, usize, &Pick), start_time: Instant) -> Simulation<C> {
        Simulation {
            policy,
            release,
            groups: (0..GROUPS).map(|_| Group::default()).collect(),
            waiting: VecDeque::new(),
            ends: BinaryHeap::new(),
            running: BTreeMap::new(),
            started: 0,
            start_time,
            results: Results::default(),
        }
    }

    fn fill(&mut self, now: Duration) {
        while let Some((at, prompt)) = self.waiting.front().copied() {
            let hashes = hashes_of(prompt);
            let Some(pick) = self.policy.choose(&hashes, self.start_time + now) else {
                return;
            };
            self.waiting.pop_front();
            let index = (0..GROUPS)
                .find(|g| name(*g) == pick.group)
                .unwrap_or_default();
            let group = &mut self.groups[index];
            group.running += 1;
            group.served += 1;
            let warm = group.touch(prompt, &hashes);
            let slowdown = if index == SLOW { SLOWDOWN } else { 1 };
            let first = if warm { WARM } else { COLD } * slowdown;
            let inter_token =
                Duration::from_micros(20_000 + 500 * u64::from(group.running)) * slowdown;
            self.results.warm += u32::from(warm);
            self.results.first_tokens.push(now - at + first);
            self.results
                .totals
                .push(now - at + first + inter_token * TOKENS);
            self.started += 1;
            self.ends
                .push(Reverse((now + first + inter_token * TOKENS, self.started)));
            self.running
                .insert(self.started, (index, pick, first, inter_token));
        }
    }

    fn end(&mut self, now: Duration) {
        let Some(Reverse((_, id))) = self.ends.pop() else {
            return;
        };
        let Some((index, pick, first, inter_token)) = self.running.remove(&id) else {
            return;
        };
        self.groups[index].running -= 1;
        let picker = self.policy.picker();
        for sample in [
            LatencySample::TimeToFirstToken(first),
            LatencySample::InterTokenLatency(inter_token),
        ] {
            picker.observe(&pick.group, pick.epoch, sample, self.start_time + now);
        }
        (self.release)(&mut self.policy, index, &pick);
    }

    /// Delivers the load reports and cache events of a second ago; called once a second.
    fn deliver_reports(
        &mut self,
        second: u64,
        seen: &mut VecDeque<Vec<(u32, u64, Vec<CacheEvent>)>>,
    ) {
        let snapshot = self.groups.iter_mut().map(|g| {
            let events = std::mem::take(&mut g.events);
            let first = g.next_event;
            g.next_event += events.len() as u64;
            (g.running, first, events)
        });
        seen.push_back(snapshot.collect());
        if seen.len() < 2 {
            return;
        }
        let now = self.start_time + Duration::from_secs(second);
        let old = seen.pop_front().unwrap_or_default();
        let picker = self.policy.picker();
        for (i, (running, first, events)) in old.into_iter().enumerate() {
            picker.on_load_report(&name(i), 1, running, now - LAG);
            if !second.is_multiple_of(4) {
                picker.on_cache_events(&name(i), 1, first, &events, now - LAG);
            }
        }
    }

    fn run(mut self, rate: f64) -> Results {
        let mut rng = fastrand::Rng::with_seed(5);
        let (mut next, mut second) = (Duration::ZERO, 0);
        let mut seen = VecDeque::new();
        while next < RUN {
            let end = self
                .ends
                .peek()
                .map_or(Duration::MAX, |Reverse((at, _))| *at);
            let tick = Duration::from_secs(second);
            let now = next.min(end).min(tick);
            if now == tick {
                self.deliver_reports(second, &mut seen);
                second += 1;
            } else if now == end {
                self.end(now);
            } else {
                // Prompts are used unevenly: the product of two draws favors the first ones.
                let prompt = (rng.f64() * rng.f64() * PROMPTS as f64) as usize;
                self.waiting.push_back((now, prompt));
                next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            }
            self.fill(now);
        }
        let slow = f64::from(self.groups[SLOW].served) / self.started as f64;
        println!("    fraction served by the slow group: {:.3}", slow);
        self.results
    }
}

fn p95(mut list: Vec<Duration>) -> f64 {
    list.sort();
    let at = list.len() * 95 / 100;
    list.get(at).map_or(f64::NAN, Duration::as_secs_f64)
}

fn print(results: Results) -> (f64, f64) {
    let served = results.first_tokens.len() as f64;
    println!(
        "    cache hit ratio: {:.2}",
        f64::from(results.warm) / served
    );
    (p95(results.first_tokens), p95(results.totals))
}

fn main() {
    // All groups together serve about 17 requests a second, the slow one counted as a quarter.
    for rate in [4.0, 8.0, 12.0] {
        println!("{rate} requests per second");
        let start_time = Instant::now();
        let mut picker = GroupPicker::new(1);
        picker.set_candidates(candidates(), start_time);
        println!("  picker");
        let policy = Simulation::new(Picker(picker), |c, _, pick| c.0.release(pick), start_time);
        let policy = print(policy.run(rate));
        let random = Random {
            rng: fastrand::Rng::with_seed(2),
            running: [0; GROUPS],
            unused: GroupPicker::new(1),
        };
        println!("  random group");
        let random = Simulation::new(random, |c, i, _| c.running[i] -= 1, start_time);
        let random = print(random.run(rate));
        println!(
            "  p95 time to first token, picker over random: {:.2}",
            policy.0 / random.0
        );
        println!(
            "  p95 total latency, picker over random: {:.2}",
            policy.1 / random.1
        );
    }
}
