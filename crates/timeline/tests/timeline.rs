//! Events in causal order, within their bounds, over all nodes.

use eelgrassmill_base::{NodeId, OrderKind, Urgency};
use eelgrassmill_timeline::{
    Event, EventKind, EventLog, Hlc, HlcClock, LogCapacity, MAX_DRIFT, Query, RingCapacity,
    Timeline, merge,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const DAY: u64 = 1_772_000_000_000;

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

fn whole(group: &str, epoch: u64) -> EventKind {
    EventKind::GroupWhole {
        group: group.into(),
        epoch,
    }
}

fn broken(group: &str, host: &str) -> EventKind {
    EventKind::GroupBroken {
        group: group.into(),
        epoch: 3,
        host: Some(host.into()),
        reason: "no report for 2 s".into(),
    }
}

fn answered(request: &str) -> EventKind {
    EventKind::RequestAnswered {
        request: request.into(),
        status: 200,
        took_ms: 12,
    }
}

fn one_of_each() -> Vec<EventKind> {
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
fn every_event_is_one_line_of_text_and_comes_back_from_json() {
    let log = log("node-a");
    let events: Vec<Event> = one_of_each()
        .into_iter()
        .map(|kind| log.record(kind, DAY))
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
fn dates_are_right_over_leap_years() {
    let at = |wall_ms| {
        Hlc {
            wall_ms,
            counter: 0,
        }
        .to_string()
    };
    expect_that!(at(0), eq("1970-01-01T00:00:00.000Z+0"));
    expect_that!(at(951_782_400_000), eq("2000-02-29T00:00:00.000Z+0"));
    expect_that!(at(1_709_251_199_999), eq("2024-02-29T23:59:59.999Z+0"));
    expect_that!(at(4_107_542_400_000), eq("2100-03-01T00:00:00.000Z+0"));
}

/// Node B's wall clock runs far behind node A's. A's order reaches B, and B's
/// confirmation must stand after it in the merged time line, or an operator
/// reads that the host obeyed before it was told.
#[gtest]
fn an_effect_stands_after_its_cause_though_clocks_differ() {
    let (a, b) = (log("node-a"), log("node-b"));
    let sent = EventKind::OrderSent {
        host: "h1".into(),
        group: "chat/0".into(),
        epoch: 3,
        fence: 7,
        order: OrderKind::Join,
    };
    a.record(sent, DAY + 5_000);
    b.observe(a.stamp(DAY + 5_001), DAY).unwrap();
    b.record(whole("chat/0", 3), DAY + 1);
    let all = Query::default();
    let line = merge(
        ["node-a".into(), "node-b".into()],
        [b.query(&all), a.query(&all)],
        100,
    );
    let names: Vec<&str> = line.events.iter().map(|e| e.kind.name()).collect();
    expect_that!(names, elements_are![eq(&"order-sent"), eq(&"group-whole")]);
}

/// One node's wall clock is days ahead. If its stamps were taken over, every
/// node's events would be dated in the future from then on.
#[gtest]
fn a_clock_too_far_ahead_is_not_followed() {
    let mut clock = HlcClock::default();
    let limit = u64::try_from(MAX_DRIFT.as_millis()).unwrap();
    let far = Hlc {
        wall_ms: DAY + limit + 1,
        counter: 0,
    };
    expect_that!(clock.observe(far, DAY), err(anything()));
    expect_that!(clock.tick(DAY).wall_ms, eq(DAY));
    let near = Hlc {
        wall_ms: DAY + limit,
        counter: 9,
    };
    expect_that!(clock.observe(near, DAY), ok(gt(near)));
}

#[gtest]
fn stamps_rise_and_never_stay_behind_what_was_seen() {
    let steps = prop::collection::vec(
        (0u64..50, prop::option::of((0u64..90, any::<u32>()))),
        1..40,
    );
    let tested = runner(1).run(&steps, |steps| {
        let mut clock = HlcClock::default();
        let mut last = clock.last();
        for (wall_ms, remote) in steps {
            let seen = remote.map(|(wall_ms, counter)| Hlc { wall_ms, counter });
            let stamp = match seen {
                Some(remote) => clock.observe(remote, wall_ms).expect("within the drift"),
                None => clock.tick(wall_ms),
            };
            prop_assert!(stamp > last && stamp.wall_ms >= wall_ms);
            prop_assert!(seen.is_none_or(|s| stamp > s));
            last = stamp;
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

/// Thousands of requests run while one group breaks. The operator who looks
/// afterwards must still find the break.
#[gtest]
fn many_requests_do_not_push_out_changes_of_state() {
    let bounds = LogCapacity {
        state: RingCapacity {
            events: 10,
            bytes: 10_000,
        },
        requests: RingCapacity {
            events: 50,
            bytes: 100_000,
        },
    };
    let log = EventLog::new("node-a", 1, bounds);
    log.record(broken("chat/0", "h1"), DAY);
    for i in 0..1_000 {
        log.record(answered(&format!("q{i}")), DAY + i);
    }
    let answer = log.query(&Query::default());
    expect_that!(answer.events.len(), eq(51));
    expect_that!(answer.dropped, eq(950));
    expect_that!(answer.events[0].kind, eq(&broken("chat/0", "h1")));
}

#[gtest]
fn bytes_are_bounded_whatever_the_events_hold() {
    let bound = RingCapacity {
        events: 1_000,
        bytes: 8_000,
    };
    let reasons = prop::collection::vec(0usize..3_000, 1..60);
    let tested = runner(2).run(&reasons, |reasons| {
        let log = EventLog::new(
            "node-a",
            1,
            LogCapacity {
                state: bound,
                requests: bound,
            },
        );
        for length in reasons {
            let reason = "x".repeat(length).into();
            log.record(EventKind::LeaseLost { reason }, DAY);
        }
        prop_assert!(log.bytes() <= bound.bytes && !log.is_empty());
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn a_question_finds_what_names_its_group_host_request_or_node() {
    let log = log("node-a");
    for kind in one_of_each() {
        log.record(kind, DAY);
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
            since_ms: Some(DAY + 1),
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
fn silent_nodes_are_named_and_doubled_answers_are_not_doubled() {
    let a = log("node-a");
    a.record(answered("q1"), DAY);
    let all = Query::default();
    let asked: Vec<NodeId> = vec!["node-b".into(), "node-a".into()];
    let line = merge(asked, [a.query(&all), a.query(&all)], 100);
    expect_that!(line.events.len(), eq(1));
    expect_that!(line.silent, elements_are![eq(&NodeId::from("node-b"))]);
}

#[gtest]
fn threads_record_at_once_and_each_ring_stays_in_order() {
    let log = log("node-a");
    std::thread::scope(|scope| {
        for t in 0..4 {
            let log = &log;
            scope.spawn(move || {
                for i in 0..200 {
                    log.record(whole("chat/0", t * 1_000 + i), DAY);
                    let admitted = EventKind::RequestAdmitted {
                        request: format!("q{t}-{i}").into(),
                        tenant: "baths".into(),
                        service: "chat".into(),
                        urgency: Urgency::DEFAULT,
                    };
                    log.record(admitted, DAY);
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
