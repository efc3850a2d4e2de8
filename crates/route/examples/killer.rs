//! Simulates how many groups one crashing request takes down, with and without suspect isolation.
//!
//! Virtual time in rounds: a group that runs the crashing request crashes at the end
//! of the round with all its requests, and is back two rounds later. The caller
//! sends the crashing request again after each refusal or failure, eight times.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::GroupId;
use eelgrassmill_route::{SuspectStatus, SuspectTracker};

const GROUPS: usize = 8;
const CRASHING: u64 = 0;
const CRASHING_SENDS: u32 = 8;
const MAX_ATTEMPTS: u32 = 3;
const ROUND: Duration = Duration::from_secs(6);
const ROUNDS: usize = 200;

struct Request {
    fingerprint: u64,
    attempts: u32,
}

#[derive(Default)]
struct Outcome {
    crashes: u32,
    completed: u32,
    others: u32,
    rounds: usize,
}

struct Fleet {
    suspects: Option<SuspectTracker>,
    groups: Vec<(GroupId, u64, usize, Vec<Request>)>,
    waiting: VecDeque<Request>,
    sends: u32,
    now: Instant,
    out: Outcome,
}

impl Fleet {
    fn new(in_flight: u64, suspects: Option<SuspectTracker>) -> Fleet {
        let group = |i: usize| (GroupId::from(format!("draft/{i}")), 1, 0, Vec::new());
        Fleet {
            suspects,
            groups: (0..GROUPS).map(group).collect(),
            waiting: (0..in_flight)
                .map(|fingerprint| Request {
                    fingerprint,
                    attempts: 0,
                })
                .collect(),
            sends: 1,
            now: Instant::now(),
            out: Outcome {
                others: in_flight as u32 - 1,
                ..Outcome::default()
            },
        }
    }

    /// Places the waiting requests on the first live group, as prefix affinity would.
    fn place(&mut self, round: usize) {
        for _ in 0..self.waiting.len() {
            let Some(req) = self.waiting.pop_front() else {
                return;
            };
            match self.choose(&req, round) {
                Ok(group) => self.groups[group].3.push(req),
                Err(true) => self.resend(req),
                Err(false) => self.waiting.push_back(req),
            }
        }
    }

    /// Returns the group, or as the error whether the request is refused instead of waiting.
    fn choose(&mut self, req: &Request, round: usize) -> Result<usize, bool> {
        let now = self.now;
        let live = |g: &(GroupId, u64, usize, Vec<Request>)| g.2 <= round;
        let Some(suspects) = &mut self.suspects else {
            let first = self.groups.iter().position(live);
            return first
                .filter(|_| req.attempts < MAX_ATTEMPTS)
                .ok_or(req.attempts >= MAX_ATTEMPTS);
        };
        match suspects.status(req.fingerprint, now) {
            SuspectStatus::Quarantined { .. } => Err(true),
            SuspectStatus::Clear => self.groups.iter().position(live).ok_or(false),
            SuspectStatus::Suspect => {
                let free = |g: &(GroupId, u64, usize, Vec<Request>)| {
                    live(g) && suspects.may_begin_trial(&g.0, now)
                };
                let group = self.groups.iter().position(free).ok_or(false)?;
                suspects.begin_trial(req.fingerprint, &self.groups[group].0, now);
                Ok(group)
            }
        }
    }

    fn resend(&mut self, req: Request) {
        if req.fingerprint == CRASHING && self.sends < CRASHING_SENDS {
            self.sends += 1;
            self.waiting.push_back(Request {
                fingerprint: CRASHING,
                attempts: 0,
            });
        }
    }

    fn run(&mut self, round: usize) {
        self.now += ROUND;
        for i in 0..GROUPS {
            let running = std::mem::take(&mut self.groups[i].3);
            match running.iter().any(|r| r.fingerprint == CRASHING) {
                true => self.crash(i, running, round),
                false => self.complete(i, running),
            }
        }
    }

    fn crash(&mut self, i: usize, running: Vec<Request>, round: usize) {
        self.out.crashes += 1;
        let (id, epoch, up_at, _) = &mut self.groups[i];
        if let Some(suspects) = &mut self.suspects {
            let fingerprints = running.iter().map(|r| r.fingerprint);
            suspects.on_crash(
                id,
                *epoch,
                &format!("domain-{}", i % 3).into(),
                fingerprints,
                self.now,
            );
        }
        *epoch += 1;
        *up_at = round + 2;
        let retries = running.into_iter().map(|r| Request {
            attempts: r.attempts + 1,
            ..r
        });
        self.waiting.extend(retries);
    }

    fn complete(&mut self, i: usize, running: Vec<Request>) {
        for req in running {
            self.out.completed += 1;
            if let Some(suspects) = &mut self.suspects {
                suspects.end_trial(req.fingerprint, &self.groups[i].0);
                suspects.on_completed(req.fingerprint, self.now);
            }
        }
    }
}

fn simulate(in_flight: u64, suspects: Option<SuspectTracker>) -> Outcome {
    let mut fleet = Fleet::new(in_flight, suspects);
    for round in 0..ROUNDS {
        if fleet.waiting.is_empty() {
            fleet.out.rounds = round;
            break;
        }
        fleet.place(round);
        fleet.run(round);
    }
    fleet.out
}

fn main() {
    println!("in flight | policy   | crashes     | others completed   | rounds");
    for in_flight in [1, 8, 30] {
        for (name, suspects) in [
            ("isolate", Some(SuspectTracker::default())),
            ("retry", None),
        ] {
            let out = simulate(in_flight, suspects);
            println!(
                "{in_flight:9} | {name:8} | {:11} | {:>9} of {:<6} | {}",
                out.crashes, out.completed, out.others, out.rounds
            );
        }
    }
}
