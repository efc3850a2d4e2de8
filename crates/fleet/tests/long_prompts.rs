//! Long prompts beside many short ones, at heads that fall silent for a moment.

mod support;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_fleet::{
    OpenHead, PendingRequest, RequestOrigin, Scheduler, SchedulingPolicy, SlotOutcome,
};
use googletest::prelude::*;
use smol_str::format_smolstr;

use crate::support::{key, open_heads_with, speed};

const HEADS: usize = 6;
const SLOTS: usize = 26;
/// Time from the first event of a stream to its end.
const STREAM_LASTS: Duration = Duration::from_millis(400);
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);
const MAX_WAIT: Duration = Duration::from_millis(1400);
const MAX_EVENT_GAP: Duration = Duration::from_millis(250);
const SHORT: u64 = 1000;
/// It takes two thirds of a permitted gap to prefill, so that it fits beside one short prompt.
const LONG: u64 = 6500;
/// Requests with short prompts per second; with the others, 0.8 of what the heads prefill.
const SHORT_RATE: f64 = 205.0;
const LONG_RATE: f64 = 5.0;
const LASTS: Duration = Duration::from_secs(48);
const SILENCE_EVERY: Duration = Duration::from_secs(6);
const SILENCE: Duration = Duration::from_millis(1200);
/// The share that long prompts may be served less often than short ones.
const MAX_DIFFERENCE: f64 = 0.05;

/// Requests of one length.
#[derive(Debug, Default)]
struct Served {
    sent: usize,
    served: usize,
}

impl Served {
    fn share(&self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

/// A head that prefills one prompt after the other.
#[derive(Default)]
struct Head {
    unprefilled: VecDeque<(u64, Duration)>,
    streams: Vec<(u64, Instant)>,
}

impl Head {
    fn work(&mut self, scheduler: &mut Scheduler, time: Duration, now: Instant) {
        let mut time = time;
        while let Some((number, left)) = self.unprefilled.front_mut() {
            if *left > time {
                *left -= time;
                break;
            }
            time -= *left;
            scheduler.on_first_event(&key(*number), now);
            self.streams.push((*number, now + STREAM_LASTS));
            self.unprefilled.pop_front();
        }
        for (number, _) in self.streams.extract_if(.., |(_, end)| now >= *end) {
            scheduler.on_released(&key(number), now);
        }
    }
}

fn open_heads() -> Vec<OpenHead> {
    open_heads_with(HEADS, SLOTS)
}

fn request(number: u64, prompt_tokens: u64, now: Instant) -> PendingRequest {
    PendingRequest {
        key: key(number),
        failure_domain: "z1".into(),
        prompt_tokens,
        resumed: false,
        urgency: 1,
        on_time_until: now + LATENCY_OBJECTIVE,
        deadline: now + MAX_WAIT,
        max_event_gap: MAX_EVENT_GAP,
        avoid: Default::default(),
        excluded: Default::default(),
    }
}

/// Requests with short and with long prompts while `silent` heads fall silent again and again.
fn play(policy: SchedulingPolicy, silent: usize, seed: u64) -> [Served; 2] {
    let tick = Duration::from_millis(1);
    let began = Instant::now();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scheduler = Scheduler::with_policy(speed(), policy, began);
    let open = open_heads();
    let mut heads: Vec<Head> = (0..HEADS).map(|_| Head::default()).collect();
    let mut is_long = Vec::new();
    let mut served = [Served::default(), Served::default()];
    let mut at = Duration::ZERO;
    while at < LASTS + MAX_WAIT {
        at += tick;
        let now = began + at;
        for (long, rate) in [(false, SHORT_RATE), (true, LONG_RATE)] {
            if at < LASTS && rng.f64() < rate * tick.as_secs_f64() {
                let prompt = if long { LONG } else { SHORT };
                let number = is_long.len() as u64;
                is_long.push(long);
                served[usize::from(long)].sent += 1;
                let origin = RequestOrigin {
                    customer: format_smolstr!("c{}", rng.u8(0..10)),
                    returning: false,
                };
                scheduler.enqueue_from(request(number, prompt, now), origin, now);
            }
        }
        for (key, outcome) in scheduler.assign(&open, now) {
            if let SlotOutcome::Granted((head, _)) = outcome {
                let long = is_long[key.number as usize];
                served[usize::from(long)].served += 1;
                let prompt = if long { LONG } else { SHORT };
                let time = speed().prefill_per_token * prompt as u32;
                let head: usize = head[1..].parse().expect("heads have numbers");
                heads[head].unprefilled.push_back((key.number, time));
            }
        }
        let since_silence = at.as_nanos() % SILENCE_EVERY.as_nanos();
        let is_silence = at > SILENCE_EVERY && since_silence < SILENCE.as_nanos();
        for (n, head) in heads.iter_mut().enumerate() {
            if !is_silence || n >= silent {
                head.work(&mut scheduler, tick, now);
            }
        }
    }
    served
}

fn check(policy: SchedulingPolicy, silent: usize) {
    for seed in 1..=5 {
        let [short, long] = play(policy, silent, seed);
        println!("{silent} silent, seed {seed}: short {short:?}, long {long:?}");
        expect_that!(
            long.share(),
            ge(short.share() - MAX_DIFFERENCE),
            "{silent} silent, seed {seed}"
        );
    }
}

/// Guards against short prompts that take all room while the queue drains after a silence.
#[gtest]
fn long_prompts_are_served_after_all_heads_were_silent() {
    check(SchedulingPolicy::default(), HEADS);
}

#[gtest]
fn long_prompts_are_served_while_most_heads_are_silent() {
    check(SchedulingPolicy::default(), 4);
}

#[gtest]
fn long_prompts_are_served_after_a_silence_while_customers_share_slots() {
    check(SchedulingPolicy { fair_share: true }, HEADS);
}
