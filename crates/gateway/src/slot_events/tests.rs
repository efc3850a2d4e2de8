use std::time::{Duration, Instant};

use eelgrassmill_peer::{SlotEvent, SlotEventKind};
use googletest::prelude::*;

use crate::scheduler::Scope;
use crate::slot_events::{EVENT_TTL, Outbox, SchedulerKey};

fn scheduler() -> SchedulerKey {
    let scope = Scope {
        service: "writer".into(),
        model: "m".into(),
        heads_in: None,
    };
    ("node-1".into(), scope)
}

fn released(request_number: u64) -> SlotEvent {
    SlotEvent {
        request_number,
        event: SlotEventKind::Released.into(),
    }
}

fn numbers(outbox: &mut Outbox) -> Vec<u64> {
    let events = outbox.take(&scheduler());
    events.iter().map(|e| e.event.request_number).collect()
}

/// Guards against a slot that stays taken because the call that reported its release failed.
#[gtest]
fn unacknowledged_events_are_sent_again_in_order() {
    let (mut outbox, to, now) = (Outbox::default(), scheduler(), Instant::now());
    expect_that!(outbox.push(&to, released(1), now), eq(true));
    expect_that!(outbox.push(&to, released(2), now), eq(false));
    let lost = outbox.take(&to);
    expect_that!(outbox.push(&to, released(3), now), eq(true));
    // The task that sends the newer event sends them, too.
    expect_that!(outbox.put_back(&to, lost, now), eq(false));
    expect_that!(numbers(&mut outbox), eq(&vec![1, 2, 3]));
}

#[gtest]
fn events_of_expired_slots_are_dropped() {
    let (mut outbox, to, now) = (Outbox::default(), scheduler(), Instant::now());
    outbox.push(&to, released(1), now);
    let later = now + EVENT_TTL - Duration::from_secs(1);
    outbox.push(&to, released(2), later);
    let lost = outbox.take(&to);
    expect_that!(outbox.put_back(&to, lost, now + EVENT_TTL), eq(true));
    expect_that!(numbers(&mut outbox), eq(&vec![2]));
}
