//! Quotas under late, doubled, reordered and lost messages, and a change of issuer.

use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_route::*;
use googletest::prelude::*;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_oneof};
use proptest::test_runner::RngSeed;

const ENTRIES: usize = 4;
const SLOTS: Slots = Slots {
    normal: 13,
    urgent: 3,
};
const EPOCH: u64 = 5;

fn entry(i: usize) -> NodeId {
    format!("entry-{i}").into()
}

fn holder(i: usize, incarnation: u64) -> QuotaHolder {
    let mut holder = QuotaHolder::new(
        entry(i),
        incarnation,
        "draft/0".into(),
        EPOCH,
        SLOTS,
        ENTRIES as u32,
    );
    holder.set_issuer(&"issuer-0".into());
    holder
}

fn issuer(n: usize, now: Instant) -> QuotaIssuer {
    let name = format!("issuer-{n}").into();
    QuotaIssuer::new(
        name,
        "draft/0".into(),
        EPOCH,
        SLOTS,
        (0..ENTRIES).map(entry),
        now,
    )
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Ask {
        entry: usize,
        normal: u32,
        urgent: u32,
    },
    Deliver {
        at: usize,
        keep: bool,
    },
    Lose {
        at: usize,
    },
    Restart {
        entry: usize,
    },
    ChangeIssuer,
    Follow {
        entry: usize,
    },
}

enum Message {
    /// To the issuer with this number.
    Demand(usize, QuotaDemand),
    Grant(usize, QuotaGrant),
}

struct World {
    now: Instant,
    issuers: usize,
    issuer: QuotaIssuer,
    asks: [usize; ENTRIES],
    incarnations: [u64; ENTRIES],
    holders: Vec<QuotaHolder>,
    messages: Vec<Message>,
}

impl World {
    fn new() -> World {
        let now = Instant::now();
        World {
            now,
            issuers: 0,
            issuer: issuer(0, now),
            asks: [0; ENTRIES],
            incarnations: [1; ENTRIES],
            holders: (0..ENTRIES).map(|i| holder(i, 1)).collect(),
            messages: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        let count = self.messages.len();
        match step {
            Step::Wait(millis) => self.now += Duration::from_millis(millis),
            Step::Ask {
                entry,
                normal,
                urgent,
            } => {
                let waiting = Slots { normal, urgent };
                let demand = self.holders[entry].next_demand(Slots::NONE, waiting, self.now);
                self.messages
                    .push(Message::Demand(self.asks[entry], demand));
            }
            Step::Deliver { at, keep } if count > 0 => self.deliver(at % count, keep),
            Step::Lose { at } if count > 0 => drop(self.messages.remove(at % count)),
            Step::Restart { entry } => {
                self.incarnations[entry] += 1;
                self.holders[entry] = holder(entry, self.incarnations[entry]);
                self.follow(entry);
            }
            Step::ChangeIssuer => {
                self.issuers += 1;
                self.issuer = issuer(self.issuers, self.now);
            }
            Step::Follow { entry } => self.follow(entry),
            _ => (),
        }
    }

    fn follow(&mut self, entry: usize) {
        self.asks[entry] = self.issuers;
        self.holders[entry].set_issuer(&format!("issuer-{}", self.issuers).into());
    }

    fn deliver(&mut self, at: usize, keep: bool) {
        let message = match (keep, &self.messages[at]) {
            (false, _) => self.messages.remove(at),
            (true, Message::Demand(n, d)) => Message::Demand(*n, d.clone()),
            (true, Message::Grant(i, g)) => Message::Grant(*i, g.clone()),
        };
        match message {
            Message::Demand(n, demand) if n == self.issuers => {
                let to = (0..ENTRIES)
                    .find(|i| entry(*i) == demand.entry)
                    .expect("an entry");
                let grant = self.issuer.on_demand(&demand, self.now);
                self.messages.extend(grant.map(|g| Message::Grant(to, g)));
            }
            Message::Demand(..) => (),
            Message::Grant(to, grant) => {
                self.holders[to].on_grant(&grant);
            }
        }
    }

    fn granted(&self) -> Slots {
        let granted = self.holders.iter().filter(|h| h.has_grant(self.now));
        granted.fold(Slots::NONE, |sum, h| Slots {
            normal: sum.normal + h.quota(self.now).normal,
            urgent: sum.urgent + h.quota(self.now).urgent,
        })
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let e = 0..ENTRIES;
    let step = prop_oneof![
        10 => (0..400u64).prop_map(Step::Wait),
        12 => (e.clone(), 0..20u32, 0..4u32)
            .prop_map(|(entry, normal, urgent)| Step::Ask { entry, normal, urgent }),
        24 => (0..32usize, proptest::bool::weighted(0.2))
            .prop_map(|(at, keep)| Step::Deliver { at, keep }),
        2 => (0..32usize).prop_map(|at| Step::Lose { at }),
        1 => e.clone().prop_map(|entry| Step::Restart { entry }),
        1 => Just(Step::ChangeIssuer),
        2 => e.prop_map(|entry| Step::Follow { entry }),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest::proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0x0051_0750),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Messages about quotas come late, twice, out of order or never, entries restart,
    /// and another node takes over as issuer. Were more slots granted than the group has,
    /// its queue would grow and every caller's tokens would slow down.
    #[test]
    fn grants_in_force_never_exceed_the_slots(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            let granted = world.granted();
            proptest::prop_assert!(granted.normal <= SLOTS.normal, "{granted:?}");
            proptest::prop_assert!(granted.urgent <= SLOTS.urgent, "{granted:?}");
        }
    }
}

/// All entries ask four times a second and one has nearly all the work: its share
/// follows the demand, each other keeps an urgent slot, and nothing stays unused.
#[googletest::test]
fn shares_follow_demand() {
    let mut world = World::new();
    for _ in 0..20 {
        world.now += Duration::from_millis(250);
        for i in 0..ENTRIES {
            let normal = if i == 0 { 30 } else { 1 };
            world.step(Step::Ask {
                entry: i,
                normal,
                urgent: 0,
            });
            world.step(Step::Deliver { at: 0, keep: false });
            world.step(Step::Deliver { at: 0, keep: false });
        }
    }
    let held: Vec<_> = world.holders.iter().map(|h| h.quota(world.now)).collect();
    expect_that!(held[0].normal, eq(SLOTS.normal - 3));
    expect_that!(held.iter().map(|s| s.urgent).max(), some(eq(1)));
    expect_that!(world.granted(), eq(SLOTS));
}

/// The issuer dies. Each entry goes on with a safe part, so that callers are served
/// while another node takes over; together the parts stay near the slots.
#[googletest::test]
fn entries_without_an_issuer_fall_back_to_a_safe_part() {
    let mut world = World::new();
    world.now += QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    world.step(Step::Ask {
        entry: 0,
        normal: 13,
        urgent: 0,
    });
    world.step(Step::Deliver { at: 0, keep: false });
    world.step(Step::Deliver { at: 0, keep: false });
    let asked = world.now;
    expect_that!(world.holders[0].has_grant(asked + QUOTA_TERM / 2), eq(true));
    let part = world.holders[0].quota(asked + QUOTA_TERM);
    expect_that!(
        part,
        eq(Slots {
            normal: 3,
            urgent: 1
        })
    );
    expect_that!(part.normal * ENTRIES as u32, le(SLOTS.normal));
    expect_that!(
        fallback_share(SLOTS, 100),
        eq(Slots {
            normal: 1,
            urgent: 1
        })
    );
}

fn ask(holder: &mut QuotaHolder, running: u32, waiting: u32, now: Instant) -> QuotaDemand {
    let slots = |normal| Slots { normal, urgent: 0 };
    holder.next_demand(slots(running), slots(waiting), now)
}

/// An entry's share has been cut and it has said so; the others use the slots. Then
/// the older, larger grant comes in late. Taken, it would use those slots twice.
#[googletest::test]
fn a_late_larger_grant_is_not_taken() {
    let start = Instant::now();
    let now = start + QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    let (mut issuer, mut holder) = (issuer(0, start), holder(0, 1));
    let first = ask(&mut holder, 0, 9, now);
    let second = ask(&mut holder, 0, 0, now);
    let large = issuer.on_demand(&first, now).expect("a grant");
    let small = QuotaGrant {
        slots: Slots::NONE,
        ..issuer.on_demand(&second, now).expect("a grant")
    };
    expect_that!(large.slots.normal, gt(0));
    expect_that!(holder.on_grant(&small), eq(true));
    expect_that!(holder.on_grant(&large), eq(false));
    expect_that!(holder.quota(now), eq(Slots::NONE));
}

/// Another node takes over as issuer and knows nothing of the former one's grants. An
/// entry that kept such a grant would use slots that are given to others by then.
#[googletest::test]
fn a_grant_ends_with_its_issuer() {
    let start = Instant::now();
    let now = start + QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    let (mut issuer, mut holder) = (issuer(0, start), holder(0, 1));
    let grant = issuer
        .on_demand(&ask(&mut holder, 0, 9, now), now)
        .expect("a grant");
    expect_that!(holder.on_grant(&grant), eq(true));
    holder.set_issuer(&"issuer-1".into());
    expect_that!(holder.has_grant(now), eq(false));
    expect_that!(holder.on_grant(&grant), eq(false));
}

/// A demand is delivered a second time, after a newer one. Believed again, it would
/// hide what the entry has running since.
#[googletest::test]
fn a_doubled_demand_changes_nothing() {
    let start = Instant::now();
    let now = start + QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    let (mut issuer, mut holder) = (issuer(0, start), holder(0, 1));
    let first = ask(&mut holder, 0, 0, now);
    let second = ask(&mut holder, 9, 4, now);
    expect_that!(issuer.on_demand(&first, now), some(anything()));
    expect_that!(issuer.on_demand(&second, now), some(anything()));
    expect_that!(issuer.on_demand(&first, now), none());
    expect_that!(issuer.on_demand(&second, now), none());
}
