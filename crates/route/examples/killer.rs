//! Groups lost to one killer request: suspects tried apart against blind retries.
//!
//! Virtual time in rounds: a group that runs the killer dies at the end of the
//! round with everything on it, and comes back two rounds later. The caller
//! sends the killer again after each refusal or loss, eight times.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::GroupId;
use eelgrassmill_route::{SuspectStatus, SuspectTracker};

const GROUPS: usize = 8;
const KILLER: u64 = 0;
const KILLER_SENDS: u32 = 8;
const MAX_TRIES: u32 = 3;
const ROUND: Duration = Duration::from_secs(6);
const ROUNDS: usize = 200;

struct Request {
    fingerprint: u64,
    tries: u32,
}

#[derive(Default)]
struct Outcome {
    lost: u32,
    answered: u32,
    innocents: u32,
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
                    tries: 0,
                })
                .collect(),
            sends: 1,
            now: Instant::now(),
            out: Outcome {
                innocents: in_flight as u32 - 1,
                ..Outcome::default()
            },
        }
    }

    /// Places what waits: everything on the first live group at first, as affinity does.
    fn place(&mut self, round: usize) {
        for _ in 0..self.waiting.len() {
            let Some(req) = self.waiting.pop_front() else {
                return;
            };
            match self.choose(&req, round) {
                Ok(group) => self.groups[group].3.push(req),
                Err(true) => self.send_again(req),
                Err(false) => self.waiting.push_back(req),
            }
        }
    }

    /// The group, or whether the request is refused for good rather than waits.
    fn choose(&mut self, req: &Request, round: usize) -> Result<usize, bool> {
        let now = self.now;
        let live = |g: &(GroupId, u64, usize, Vec<Request>)| g.2 <= round;
        let Some(suspects) = &mut self.suspects else {
            let first = self.groups.iter().position(live);
            return first
                .filter(|_| req.tries < MAX_TRIES)
                .ok_or(req.tries >= MAX_TRIES);
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

    fn send_again(&mut self, req: Request) {
        if req.fingerprint == KILLER && self.sends < KILLER_SENDS {
            self.sends += 1;
            self.waiting.push_back(Request {
                fingerprint: KILLER,
                tries: 0,
            });
        }
    }

    fn run(&mut self, round: usize) {
        self.now += ROUND;
        for i in 0..GROUPS {
            let running = std::mem::take(&mut self.groups[i].3);
            match running.iter().any(|r| r.fingerprint == KILLER) {
                true => self.lose(i, running, round),
                false => self.answer(i, running),
            }
        }
    }

    fn lose(&mut self, i: usize, running: Vec<Request>, round: usize) {
        self.out.lost += 1;
        let (id, epoch, up, _) = &mut self.groups[i];
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
        *up = round + 2;
        let again = running.into_iter().map(|r| Request {
            tries: r.tries + 1,
            ..r
        });
        self.waiting.extend(again);
    }

    fn answer(&mut self, i: usize, running: Vec<Request>) {
        for req in running {
            self.out.answered += 1;
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
    println!("in flight | policy   | groups lost | innocents answered | rounds");
    for in_flight in [1, 8, 30] {
        for (name, suspects) in [("apart", Some(SuspectTracker::default())), ("blind", None)] {
            let out = simulate(in_flight, suspects);
            println!(
                "{in_flight:9} | {name:8} | {:11} | {:>9} of {:<6} | {}",
                out.lost, out.answered, out.innocents, out.rounds
            );
        }
    }
}
