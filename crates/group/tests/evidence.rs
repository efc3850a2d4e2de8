//! Group health: watcher selection, verdicts, and whether a node may serve a group.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostReport, Placement};
use eelgrassmill_group::{
    AgeEstimator, Evidence, EvidenceStore, GroupPhase, GroupRow, GroupWatch, MissingReason,
    NodeRow, NodeState, NotServing, Verdict, evaluate, watchers,
};
use googletest::prelude::*;
use smol_str::{SmolStr, format_smolstr};

const MS: Duration = Duration::from_millis(1);

fn row(epoch: u64) -> GroupRow {
    GroupRow {
        group: "a/0".into(),
        service: "a".into(),
        model: "m".into(),
        version: "1".into(),
        epoch,
        members: vec!["h1".into(), "h2".into()],
        phase: GroupPhase::Formed,
        reason: None,
    }
}

fn report(row: &GroupRow, host: &str, incarnation: u64) -> HostReport {
    HostReport {
        host: host.into(),
        incarnation,
        placement: Some(Placement {
            group: row.group.clone(),
            epoch: row.epoch,
            model: row.model.clone(),
            version: row.version.clone(),
            members: row.members.clone(),
        }),
        ready: true,
        fence: 1,
        leaving: false,
        running: 0,
        warm: Vec::new(),
    }
}

fn missing(host: &str, reason: MissingReason) -> Verdict {
    let host = host.into();
    Verdict::Missing { host, reason }
}

fn evidence(watcher: &str, sequence: u64, epoch: u64, verdict: Verdict, age: Duration) -> Evidence {
    Evidence {
        watcher: watcher.into(),
        incarnation: 1,
        sequence,
        group: "a/0".into(),
        epoch,
        lead: "h1".into(),
        verdict,
        age,
    }
}

/// Each way in which a member can differ from the row, and the resulting verdict.
#[gtest]
fn every_mismatch_with_the_row_is_detected() {
    let row = row(3);
    let now = Instant::now();
    let good = report(&row, "h1", 1);
    let verdict_of = |second: HostReport, sent: Instant| {
        let reports = [Some((&good, now)), Some((&second, sent))];
        evaluate(&row, reports, &[1, 1], now)
    };
    let second = || report(&row, "h2", 1);
    expect_that!(verdict_of(second(), now), eq(&Verdict::Whole));
    let old = now - 1501 * MS;
    expect_that!(
        verdict_of(second(), old),
        eq(&missing("h2", MissingReason::Silent))
    );
    let restarted = report(&row, "h2", 2);
    expect_that!(
        verdict_of(restarted, now),
        eq(&missing("h2", MissingReason::Restarted))
    );
    let mut loading = second();
    loading.ready = false;
    expect_that!(
        verdict_of(loading, now),
        eq(&missing("h2", MissingReason::NotReady))
    );
    let mutations: [fn(&mut Placement); 4] = [
        |p| p.epoch = 2,
        |p| p.version = "2".into(),
        |p| p.group = "a/1".into(),
        |p| p.members.reverse(),
    ];
    for mutate in mutations {
        let mut other = second();
        mutate(other.placement.as_mut().expect("placed"));
        expect_that!(
            verdict_of(other, now),
            eq(&missing("h2", MissingReason::Elsewhere))
        );
    }
    let misrouted = report(&row, "h9", 1);
    expect_that!(
        verdict_of(misrouted, now),
        eq(&missing("h2", MissingReason::Silent))
    );
}

/// A member restarts between two probes and rejoins, so that its report looks as before. The group
/// was whole with the earlier incarnation.
#[gtest]
fn a_watcher_detects_a_member_restart() {
    let row = row(3);
    let mut watch = GroupWatch::new(row.clone());
    let start = Instant::now();
    for host in ["h1", "h2"] {
        watch.on_report(&report(&row, host, 1), start);
    }
    expect_that!(watch.verdict(start).0, eq(&Verdict::Whole));
    watch.on_report(&report(&row, "h2", 2), start + MS);
    // A response to an older probe is ignored.
    watch.on_report(&report(&row, "h2", 1), start);
    expect_that!(
        watch.verdict(start + MS).0,
        eq(&missing("h2", MissingReason::Restarted))
    );
    let mut next = row.clone();
    next.epoch = 4;
    watch.set_row(next.clone());
    for host in ["h1", "h2"] {
        watch.on_report(&report(&next, host, 2), start + 2 * MS);
    }
    expect_that!(watch.verdict(start + 2 * MS).0, eq(&Verdict::Whole));
    let mut ending = next.clone();
    ending.phase = GroupPhase::Ending;
    watch.set_row(ending);
    watch.set_row(next);
    expect_that!(watch.verdict(start + 2 * MS).0, eq(&Verdict::Ending));
}

#[gtest]
fn evidence_expires_after_two_seconds() {
    let mut store = EvidenceStore::new();
    let now = Instant::now();
    expect_that!(store.serving("a/0", now), err(eq(&NotServing::Unknown)));
    store.on_row(&row(3));
    expect_that!(
        store.serving("a/0", now),
        err(eq(&NotServing::NoEvidence { epoch: 3 }))
    );
    store.on_evidence(&evidence("w1", 1, 3, Verdict::Whole, 500 * MS), now);
    let serving = store.serving("a/0", now + 1500 * MS).expect("fresh");
    expect_that!((serving.epoch, serving.lead.as_str()), eq((3, "h1")));
    let age = 2001 * MS;
    expect_that!(
        store.serving("a/0", now + 1501 * MS),
        err(eq(&NotServing::Stale { age }))
    );
}

/// Messages arrive out of order, from an earlier incarnation of the watcher or from an old epoch.
/// None of them may return a stopped group to service.
#[gtest]
fn late_messages_do_not_revive_a_group() {
    let mut store = EvidenceStore::new();
    let now = Instant::now();
    store.on_evidence(
        &evidence("w1", 5, 3, missing("h2", MissingReason::Elsewhere), MS),
        now,
    );
    let stopped = |store: &EvidenceStore| store.serving("a/0", now).is_err();
    expect_false!(store.on_evidence(&evidence("w1", 4, 3, Verdict::Whole, MS), now));
    expect_true!(stopped(&store));
    let mut earlier_incarnation = evidence("w1", 9, 3, Verdict::Whole, MS);
    earlier_incarnation.incarnation = 0;
    expect_false!(store.on_evidence(&earlier_incarnation, now));
    expect_false!(store.on_evidence(&evidence("w2", 1, 2, Verdict::Whole, MS), now));
    expect_true!(stopped(&store));
    // An older finding of another watcher doesn't override a newer one either.
    store.on_evidence(&evidence("w2", 2, 3, Verdict::Whole, 100 * MS), now);
    expect_true!(stopped(&store));
    store.on_evidence(&evidence("w2", 3, 4, Verdict::Whole, MS), now);
    expect_false!(stopped(&store));
    store.on_row(&row(3));
    expect_that!(store.epoch("a/0"), some(eq(4)));
}

/// If one watcher can't reach a host that another reaches, the group keeps serving. A report by
/// the host itself that it is elsewhere stops the group, whichever watcher receives it.
#[gtest]
fn silence_counts_less_than_a_report() {
    let mut store = EvidenceStore::new();
    let now = Instant::now();
    store.on_evidence(&evidence("w1", 1, 3, Verdict::Whole, 300 * MS), now);
    store.on_evidence(
        &evidence(
            "w2",
            1,
            3,
            missing("h2", MissingReason::Silent),
            Duration::ZERO,
        ),
        now,
    );
    expect_that!(store.serving("a/0", now), ok(anything()));
    let later = now + 500 * MS;
    store.on_evidence(
        &evidence(
            "w2",
            2,
            3,
            missing("h2", MissingReason::Silent),
            Duration::ZERO,
        ),
        later,
    );
    expect_that!(store.serving("a/0", later), err(anything()));
    store.on_evidence(&evidence("w1", 2, 3, Verdict::Whole, 300 * MS), later);
    expect_that!(store.serving("a/0", later), ok(anything()));
    store.on_evidence(
        &evidence(
            "w2",
            3,
            3,
            missing("h2", MissingReason::Elsewhere),
            Duration::ZERO,
        ),
        later,
    );
    expect_that!(store.serving("a/0", later), err(anything()));
}

/// A watcher saw the group whole before a member restarted; another started watching afterwards
/// and sees no problem.
#[gtest]
fn another_watcher_does_not_clear_a_restart() {
    let mut store = EvidenceStore::new();
    let now = Instant::now();
    store.on_evidence(
        &evidence("w1", 1, 3, missing("h2", MissingReason::Restarted), MS),
        now,
    );
    store.on_evidence(&evidence("w2", 1, 3, Verdict::Whole, Duration::ZERO), now);
    expect_that!(store.serving("a/0", now), err(anything()));
    expect_that!(store.restarted("a/0", 3), some(eq("h2")));
    let mut next_incarnation = evidence("w1", 1, 3, Verdict::Whole, Duration::ZERO);
    next_incarnation.incarnation = 2;
    store.on_evidence(&next_incarnation, now);
    expect_that!(store.serving("a/0", now), ok(anything()));
}

/// A message is buffered for three seconds while the link is down. Its sender considers it recent.
#[gtest]
fn delivery_delay_counts_as_age() {
    let mut ages = AgeEstimator::new();
    let start = Instant::now();
    let sender = SmolStr::from("w1");
    let mut age = |uptime, now| ages.age_at_receipt(&sender, 1, uptime, 10 * MS, now);
    expect_that!(age(1000 * MS, start + 1005 * MS), eq(10 * MS));
    expect_that!(age(2000 * MS, start + 5005 * MS), eq(3010 * MS));
    expect_that!(age(5000 * MS, start + 5001 * MS), eq(10 * MS));
    expect_that!(age(6000 * MS, start + 6005 * MS), eq(14 * MS));
}

#[gtest]
fn watchers_are_spread_and_move_only_with_their_node() {
    let nodes: Vec<NodeRow> = (0..9).map(watcher_node).collect();
    for group in 0..20 {
        let group = format!("a/{group}");
        let chosen = watchers(&group, &nodes);
        let domain = |n: &SmolStr| {
            nodes
                .iter()
                .find(|r| r.node == *n)
                .map(|r| &r.failure_domain)
        };
        let domains: BTreeSet<_> = chosen.iter().map(domain).collect();
        expect_that!(domains.len(), eq(3));
        let without: Vec<NodeRow> = nodes
            .iter()
            .filter(|n| n.node != chosen[0])
            .cloned()
            .collect();
        let kept = watchers(&group, &without);
        expect_true!(chosen[1..].iter().all(|n| kept.contains(n)));
    }
    let mut leaving = nodes;
    leaving
        .iter_mut()
        .skip(1)
        .for_each(|n| n.state = NodeState::Leaving);
    expect_that!(
        watchers("a/0", &leaving).as_slice(),
        elements_are![eq("n0")]
    );
}

fn watcher_node(n: usize) -> NodeRow {
    NodeRow {
        node: format_smolstr!("n{n}"),
        incarnation: 1,
        renewals: 0,
        caller: "".into(),
        peer: "".into(),
        admin: "".into(),
        failure_domain: format_smolstr!("d{}", n % 3),
        region: "r".into(),
        state: NodeState::Serving,
    }
}
