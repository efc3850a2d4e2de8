//! Tests of causal order, log capacity, queries and the merge over several nodes.

use eelgrassmill_base::{NodeId, OrderKind, Urgency};
use eelgrassmill_timeline::{
    Event, EventKind, EventLog, Hlc, HlcClock, LogCapacity, MAX_DRIFT, Query, RingCapacity,
    Timeline, merge,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const START_MS: u64 = 1_772_000_000_000;

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn log(node: &str) -> EventLog {
    EventLog::new(node, 1, LogCapacity::default())
}

fn group_whole(group: &str, epoch: u64) -> EventKind {
    EventKind::GroupWhole {
        group: group.into(),
        epoch,
    }
}

fn group_broken(group: &str, host: &str) -> EventKind {
    EventKind::GroupBroken {
        group: group.into(),
        epoch: 3,
        host: Some(host.into()),
        reason: "no report for 2 s".into(),
    }
}

fn request_answered(request: &str) -> EventKind {
    EventKind::RequestAnswered {
        request: request.into(),
        status: 200,
        took_ms: 12,
    }
}

fn one_event_of_each_kind() -> Vec<EventKind> {
    let json = r#"[
      {"event":"config-accepted","version":2,"author":"ada","submit":"s-1"},
      {"event":"config-applied","from":1,"to":2},
      {"event":"config-refused","version":1,"reason":"older"},
      {"event":"lease-taken"},
      {"event":"lease-lost","reason":"renewal too late"},
      {"event":"planner-taken","region":"r1","from":"node-b"},
      {"event":"planner-lost","region":"r1"},
      {"event":"node-joined","peer":"node-b"},
      {"event":"node-left","peer":"node-b","reason":"silent"},
      {"event":"node-stopping"},
      {"event":"group-forming","group":"chat/0","epoch":3,"version":"v1","members":["h1","h2"]},
      {"event":"group-whole","group":"chat/0","epoch":3},
      {"event":"group-broken","group":"chat/0","epoch":3,"host":null,"reason":"store\ndown"},
      {"event":"group-ending","group":"chat/0","epoch":3,"reason":"rollout"},
      {"event":"host-taken","host":"h1","group":"chat/0","epoch":3},
      {"event":"host-freed","host":"h1","group":"chat/0","reason":"outlived"},
      {"event":"order-sent","host":"h1","group":"chat/0","epoch":3,"fence":7,"order":"join"},
      {"event":"order-confirmed","host":"h1","group":"chat/0","fence":7},
      {"event":"order-refused","host":"h1","group":"chat/0","fence":7,"reason":"fence 8"},
      {"event":"target-leaving","host":"h1","reason":"host-list"},
      {"event":"target-back","host":"h1"},
      {"event":"suspect-noted","request":"q1","host":"h1","crashes":1},
      {"event":"suspect-named","request":"q1","crashes":2},
      {"event":"claim-made","request":"q1","service":"book"},
      {"event":"claim-settled","request":"q1","outcome":"answered"},
      {"event":"request-admitted","request":"q1","tenant":"baths","service":"chat","urgency":1},
      {"event":"request-dispatched","request":"q1","host":"h1","group":"chat/0","attempt":1},
      {"event":"request-retried","request":"q1","attempt":1,"reason":"connection refused"},
      {"event":"request-answered","request":"q1","status":200,"took_ms":12},
      {"event":"request-refused","request":"q1","status":503,"outcome":"not-run","reason":""}
    ]"#;
    serde_json::from_str(json).expect("one event of each kind")
}

#[gtest]
fn every_event_is_one_line_of_text_and_round_trips_through_json() {
    let log = log("node-a");
    let events: Vec<Event> = one_event_of_each_kind()
        .into_iter()
        .map(|kind| log.record(kind, START_MS))
        .collect();
    for event in &events {
        let json = serde_json::to_string(event).unwrap();
        expect_that!(serde_json::from_str::<Event>(&json).unwrap(), eq(event));
        expect_that!(
            json,
            contains_substring(format!("\"event\":\"{}\"", event.kind.name()))
        );
        expect_that!(json, starts_with("{\"hlc\":{\"wall_ms\":1772000000000,"));
        expect_that!(event.to_string().lines().count(), eq(1));
    }
    let timeline = Timeline {
        events,
        silent: vec!["node-c".into()],
        dropped: vec![("node-b".into(), 4)],
    };
    insta::assert_snapshot!(timeline);
}

#[gtest]
fn dates_are_correct_across_leap_years() {
    let format = |wall_ms| {
        Hlc {
            wall_ms,
            counter: 0,
        }
        .to_string()
    };
    expect_that!(format(0), eq("1970-01-01T00:00:00.000Z+0"));
    expect_that!(format(951_782_400_000), eq("2000-02-29T00:00:00.000Z+0"));
    expect_that!(format(1_709_251_199_999), eq("2024-02-29T23:59:59.999Z+0"));
    expect_that!(format(4_107_542_400_000), eq("2100-03-01T00:00:00.000Z+0"));
}

/// Node B's wall clock is behind node A's. An event on B that follows from A's
/// order must still sort after the order in the merged timeline; otherwise the
/// host appears to have executed the order before it was sent.
#[gtest]
fn an_effect_sorts_after_its_cause_despite_clock_skew() {
    let (a, b) = (log("node-a"), log("node-b"));
    let sent = EventKind::OrderSent {
        host: "h1".into(),
        group: "chat/0".into(),
        epoch: 3,
        fence: 7,
        order: OrderKind::Join,
    };
    a.record(sent, START_MS + 5_000);
    b.observe(a.stamp(START_MS + 5_001), START_MS).unwrap();
    b.record(group_whole("chat/0", 3), START_MS + 1);
    let all = Query::default();
    let timeline = merge(
        ["node-a".into(), "node-b".into()],
        [b.query(&all), a.query(&all)],
        100,
    );
    let names: Vec<&str> = timeline.events.iter().map(|e| e.kind.name()).collect();
    expect_that!(names, elements_are![eq(&"order-sent"), eq(&"group-whole")]);
}

/// One node's wall clock is far ahead. If its timestamps were accepted, all later
/// events of every node would be dated in the future.
#[gtest]
fn timestamps_beyond_the_maximum_drift_are_rejected() {
    let mut clock = HlcClock::default();
    let max_drift_ms = u64::try_from(MAX_DRIFT.as_millis()).unwrap();
    let beyond = Hlc {
        wall_ms: START_MS + max_drift_ms + 1,
        counter: 0,
    };
    expect_that!(clock.observe(beyond, START_MS), err(anything()));
    expect_that!(clock.tick(START_MS).wall_ms, eq(START_MS));
    let within = Hlc {
        wall_ms: START_MS + max_drift_ms,
        counter: 9,
    };
    expect_that!(clock.observe(within, START_MS), ok(gt(within)));
}

#[gtest]
fn timestamps_increase_and_exceed_every_observed_one() {
    let steps = prop::collection::vec(
        (0u64..50, prop::option::of((0u64..90, any::<u32>()))),
        1..40,
    );
    let result = runner(1).run(&steps, |steps| {
        let mut clock = HlcClock::default();
        let mut last = clock.last();
        for (wall_ms, remote) in steps {
            let observed = remote.map(|(wall_ms, counter)| Hlc { wall_ms, counter });
            let timestamp = match observed {
                Some(remote) => clock
                    .observe(remote, wall_ms)
                    .expect("within the maximum drift"),
                None => clock.tick(wall_ms),
            };
            prop_assert!(timestamp > last && timestamp.wall_ms >= wall_ms);
            prop_assert!(observed.is_none_or(|o| timestamp > o));
            last = timestamp;
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// A group breaks while thousands of requests run. Request events must not evict
/// the event that reports the break.
#[gtest]
fn request_events_do_not_evict_state_changes() {
    let capacity = LogCapacity {
        state: RingCapacity {
            events: 10,
            bytes: 10_000,
        },
        requests: RingCapacity {
            events: 50,
            bytes: 100_000,
        },
    };
    let log = EventLog::new("node-a", 1, capacity);
    log.record(group_broken("chat/0", "h1"), START_MS);
    for i in 0..1_000 {
        log.record(request_answered(&format!("q{i}")), START_MS + i);
    }
    let result = log.query(&Query::default());
    expect_that!(result.events.len(), eq(51));
    expect_that!(result.dropped, eq(950));
    expect_that!(result.events[0].kind, eq(&group_broken("chat/0", "h1")));
}

#[gtest]
fn total_size_stays_within_capacity_for_any_event_size() {
    let capacity = RingCapacity {
        events: 1_000,
        bytes: 8_000,
    };
    let reasons = prop::collection::vec(0usize..3_000, 1..60);
    let result = runner(2).run(&reasons, |reasons| {
        let log = EventLog::new(
            "node-a",
            1,
            LogCapacity {
                state: capacity,
                requests: capacity,
            },
        );
        for length in reasons {
            let reason = "x".repeat(length).into();
            log.record(EventKind::LeaseLost { reason }, START_MS);
        }
        prop_assert!(log.bytes() <= capacity.bytes && !log.is_empty());
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[gtest]
fn queries_filter_by_group_host_request_node_and_time() {
    let log = log("node-a");
    for kind in one_event_of_each_kind() {
        log.record(kind, START_MS);
    }
    let count = |query: Query| log.query(&query).events.len();
    expect_that!(
        count(Query {
            group: Some("chat/0".into()),
            ..Query::default()
        }),
        eq(10)
    );
    expect_that!(
        count(Query {
            host: Some("h2".into()),
            ..Query::default()
        }),
        eq(1)
    );
    expect_that!(
        count(Query {
            request: Some("q1".into()),
            ..Query::default()
        }),
        eq(9)
    );
    expect_that!(
        count(Query {
            node: Some("node-b".into()),
            ..Query::default()
        }),
        eq(2)
    );
    expect_that!(
        count(Query {
            since_ms: Some(START_MS + 1),
            ..Query::default()
        }),
        eq(0)
    );
    let last = log.query(&Query {
        limit: Some(2),
        ..Query::default()
    });
    let names: Vec<&str> = last.events.iter().map(|e| e.kind.name()).collect();
    expect_that!(
        names,
        elements_are![eq(&"request-answered"), eq(&"request-refused")]
    );
}

#[gtest]
fn silent_nodes_are_listed_and_duplicate_results_are_merged() {
    let a = log("node-a");
    a.record(request_answered("q1"), START_MS);
    let all = Query::default();
    let queried: Vec<NodeId> = vec!["node-b".into(), "node-a".into()];
    let timeline = merge(queried, [a.query(&all), a.query(&all)], 100);
    expect_that!(timeline.events.len(), eq(1));
    expect_that!(timeline.silent, elements_are![eq(&NodeId::from("node-b"))]);
}

#[gtest]
fn events_recorded_concurrently_stay_ordered() {
    let log = log("node-a");
    std::thread::scope(|scope| {
        for t in 0..4 {
            let log = &log;
            scope.spawn(move || {
                for i in 0..200 {
                    log.record(group_whole("chat/0", t * 1_000 + i), START_MS);
                    let admitted = EventKind::RequestAdmitted {
                        request: format!("q{t}-{i}").into(),
                        tenant: "baths".into(),
                        service: "chat".into(),
                        urgency: Urgency::DEFAULT,
                    };
                    log.record(admitted, START_MS);
                }
            });
        }
    });
    let events = log
        .query(&Query {
            limit: Some(10_000),
            ..Query::default()
        })
        .events;
    expect_that!(events.len(), eq(1_600));
    expect_true!(events.windows(2).all(|w| w[0].hlc < w[1].hlc));
}
