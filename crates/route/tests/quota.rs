//! Tests of quotas with late, duplicate, reordered and lost messages and a change of issuer.

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
    Advance(u64),
    Demand {
        entry: usize,
        normal: u32,
        urgent: u32,
    },
    Deliver {
        at: usize,
        duplicate: bool,
    },
    Drop {
        at: usize,
    },
    Restart {
        entry: usize,
    },
    ChangeIssuer,
    FollowIssuer {
        entry: usize,
    },
}

enum Message {
    /// For the issuer with this number.
    Demand(usize, QuotaDemand),
    Grant(usize, QuotaGrant),
}

struct World {
    now: Instant,
    issuers: usize,
    issuer: QuotaIssuer,
    issuer_of: [usize; ENTRIES],
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
            issuer_of: [0; ENTRIES],
            incarnations: [1; ENTRIES],
            holders: (0..ENTRIES).map(|i| holder(i, 1)).collect(),
            messages: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        let count = self.messages.len();
        match step {
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            Step::Demand {
                entry,
                normal,
                urgent,
            } => {
                let waiting = Slots { normal, urgent };
                let demand = self.holders[entry].next_demand(Slots::NONE, waiting, self.now);
                self.messages
                    .push(Message::Demand(self.issuer_of[entry], demand));
            }
            Step::Deliver { at, duplicate } if count > 0 => self.deliver(at % count, duplicate),
            Step::Drop { at } if count > 0 => drop(self.messages.remove(at % count)),
            Step::Restart { entry } => {
                self.incarnations[entry] += 1;
                self.holders[entry] = holder(entry, self.incarnations[entry]);
                self.follow_issuer(entry);
            }
            Step::ChangeIssuer => {
                self.issuers += 1;
                self.issuer = issuer(self.issuers, self.now);
            }
            Step::FollowIssuer { entry } => self.follow_issuer(entry),
            _ => (),
        }
    }

    fn follow_issuer(&mut self, entry: usize) {
        self.issuer_of[entry] = self.issuers;
        self.holders[entry].set_issuer(&format!("issuer-{}", self.issuers).into());
    }

    fn deliver(&mut self, at: usize, duplicate: bool) {
        let message = match (duplicate, &self.messages[at]) {
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
        10 => (0..400u64).prop_map(Step::Advance),
        12 => (e.clone(), 0..20u32, 0..4u32)
            .prop_map(|(entry, normal, urgent)| Step::Demand { entry, normal, urgent }),
        24 => (0..32usize, proptest::bool::weighted(0.2))
            .prop_map(|(at, duplicate)| Step::Deliver { at, duplicate }),
        2 => (0..32usize).prop_map(|at| Step::Drop { at }),
        1 => e.clone().prop_map(|entry| Step::Restart { entry }),
        1 => Just(Step::ChangeIssuer),
        2 => e.prop_map(|entry| Step::FollowIssuer { entry }),
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

    /// Guards against granting more slots than the group has, which would overload it and
    /// slow down every caller. Messages are delayed, duplicated, reordered and lost, entries
    /// restart, and another node takes over as issuer.
    #[test]
    fn valid_grants_never_exceed_the_slots(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            let granted = world.granted();
            proptest::prop_assert!(granted.normal <= SLOTS.normal, "{granted:?}");
            proptest::prop_assert!(granted.urgent <= SLOTS.urgent, "{granted:?}");
        }
    }
}

/// Guards against slots left unused with skewed load. All entries send four demands a second
/// and one has nearly all the load: it gets nearly all slots, and the others duplicate an
/// urgent slot each.
#[googletest::test]
fn shares_follow_demand() {
    let mut world = World::new();
    for _ in 0..20 {
        world.now += Duration::from_millis(250);
        for i in 0..ENTRIES {
            let normal = if i == 0 { 30 } else { 1 };
            world.step(Step::Demand {
                entry: i,
                normal,
                urgent: 0,
            });
            world.step(Step::Deliver {
                at: 0,
                duplicate: false,
            });
            world.step(Step::Deliver {
                at: 0,
                duplicate: false,
            });
        }
    }
    let held: Vec<_> = world.holders.iter().map(|h| h.quota(world.now)).collect();
    expect_that!(held[0].normal, eq(SLOTS.normal - 3));
    expect_that!(held.iter().map(|s| s.urgent).max(), some(eq(1)));
    expect_that!(world.granted(), eq(SLOTS));
}

/// Guards against refusing callers while there is no issuer. Without a grant each entry uses
/// its fallback share, and the shares together don't exceed the slots.
#[googletest::test]
fn entries_without_an_issuer_use_the_fallback_share() {
    let mut world = World::new();
    world.now += QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    world.step(Step::Demand {
        entry: 0,
        normal: 13,
        urgent: 0,
    });
    world.step(Step::Deliver {
        at: 0,
        duplicate: false,
    });
    world.step(Step::Deliver {
        at: 0,
        duplicate: false,
    });
    let sent_at = world.now;
    expect_that!(
        world.holders[0].has_grant(sent_at + QUOTA_TERM / 2),
        eq(true)
    );
    let share = world.holders[0].quota(sent_at + QUOTA_TERM);
    expect_that!(
        share,
        eq(Slots {
            normal: 3,
            urgent: 1
        })
    );
    expect_that!(share.normal * ENTRIES as u32, le(SLOTS.normal));
    expect_that!(
        fallback_share(SLOTS, 100),
        eq(Slots {
            normal: 1,
            urgent: 1
        })
    );
}

fn next_demand(holder: &mut QuotaHolder, running: u32, waiting: u32, now: Instant) -> QuotaDemand {
    let slots = |normal| Slots { normal, urgent: 0 };
    holder.next_demand(slots(running), slots(waiting), now)
}

/// Guards against accepting an older, larger grant that arrives after the newer one: its
/// slots have been granted to other entries since.
#[googletest::test]
fn late_larger_grant_is_rejected() {
    let start = Instant::now();
    let now = start + QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    let (mut issuer, mut holder) = (issuer(0, start), holder(0, 1));
    let first = next_demand(&mut holder, 0, 9, now);
    let second = next_demand(&mut holder, 0, 0, now);
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

/// Guards against using a grant of a previous issuer. The new one doesn't know of it and
/// may have granted the slots to others.
#[googletest::test]
fn grant_ends_with_its_issuer() {
    let start = Instant::now();
    let now = start + QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    let (mut issuer, mut holder) = (issuer(0, start), holder(0, 1));
    let grant = issuer
        .on_demand(&next_demand(&mut holder, 0, 9, now), now)
        .expect("a grant");
    expect_that!(holder.on_grant(&grant), eq(true));
    holder.set_issuer(&"issuer-1".into());
    expect_that!(holder.has_grant(now), eq(false));
    expect_that!(holder.on_grant(&grant), eq(false));
}

/// Guards against a duplicate demand, delivered after a newer one, replacing the entry's
/// current number of running requests by an old one.
#[googletest::test]
fn duplicate_demand_is_ignored() {
    let start = Instant::now();
    let now = start + QUOTA_TERM + QUOTA_CLOCK_MARGIN;
    let (mut issuer, mut holder) = (issuer(0, start), holder(0, 1));
    let first = next_demand(&mut holder, 0, 0, now);
    let second = next_demand(&mut holder, 9, 4, now);
    expect_that!(issuer.on_demand(&first, now), some(anything()));
    expect_that!(issuer.on_demand(&second, now), some(anything()));
    expect_that!(issuer.on_demand(&first, now), none());
    expect_that!(issuer.on_demand(&second, now), none());
}
