//! How often an entry asks for slots.

use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_route::Slots;
use googletest::prelude::*;
use smol_str::format_smolstr;

use super::{Quotas, Shared};

const SLOTS: Slots = Slots {
    normal: 7,
    urgent: 1,
};
const ONE: Slots = Slots {
    normal: 1,
    urgent: 0,
};
const ROUND: Duration = Duration::from_millis(250);

fn shared(entries: usize) -> Shared {
    Shared {
        group: "drafting/1".into(),
        epoch: 1,
        slots: SLOTS,
        entries: (0..entries).map(|i| format_smolstr!("node-{i}")).collect(),
        issuer: "node-0".into(),
    }
}

/// An entry and the issuer that it asks, by rounds of asking.
struct Pair {
    issuer: Quotas,
    entry: Quotas,
    shared: Shared,
    now: Instant,
}

impl Pair {
    /// With a grant in force: the issuer is past its first term.
    fn new(entries: usize) -> Pair {
        let node = |name: &str| Quotas::new(NodeId::from(name), 1);
        let mut pair = Pair {
            issuer: node("node-0"),
            entry: node("node-1"),
            shared: shared(entries),
            now: Instant::now(),
        };
        for _ in 0..24 {
            pair.round(Slots::NONE);
        }
        pair
    }

    /// One round; whether the entry asked.
    fn round(&mut self, running: Slots) -> bool {
        self.now += ROUND;
        let (shared, now) = (&self.shared, self.now);
        if !self.entry.is_due(shared, running, Slots::NONE, now) {
            return false;
        }
        let demand = self.entry.ask(shared, running, Slots::NONE, now);
        if let Some(grant) = self.issuer.issue(shared, &demand, now) {
            self.entry.on_grant(&grant);
        }
        true
    }

    fn asked(&mut self, rounds: usize, running: Slots) -> usize {
        (0..rounds).filter(|_| self.round(running)).count()
    }
}

#[gtest]
fn an_idle_entry_among_many_asks_at_each_third_round_and_keeps_its_grant() {
    let mut pair = Pair::new(370);
    expect_that!(pair.asked(30, Slots::NONE), eq(10));
    let (shared, now) = (&pair.shared, pair.now);
    let (_, holder) = &pair.entry.holders[&shared.group];
    expect_that!(holder.has_grant(now), eq(true));
}

#[gtest]
fn an_entry_asks_at_once_while_it_runs_something_and_when_it_stops() {
    let mut pair = Pair::new(370);
    expect_that!(pair.asked(9, ONE), eq(9));
    expect_that!(pair.asked(1, Slots::NONE), eq(1));
    expect_that!(pair.asked(2, Slots::NONE), eq(0));
}

#[gtest]
fn few_entries_ask_at_every_round() {
    let mut pair = Pair::new(12);
    expect_that!(pair.asked(12, Slots::NONE), eq(12));
}

// The issuer's node fails and another watcher issues from then on. An entry that went
// on waiting would use the part of an entry without a grant while the new issuer,
// which has not heard of it, gives that part to nobody: slots stand idle.
#[gtest]
fn a_new_issuer_is_asked_at_once() {
    let mut pair = Pair::new(370);
    pair.asked(1, ONE);
    pair.asked(1, Slots::NONE);
    pair.shared.issuer = "node-2".into();
    expect_that!(pair.asked(1, Slots::NONE), eq(1));
}
