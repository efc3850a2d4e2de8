//! Each counter that an alarm rests on rises at a real node when its case comes up.
// A panic is how a test fails, in its helpers too.
#![allow(clippy::unwrap_used)]

mod util;

use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_base::{Order, OrderKind, Placement};
use eelgrassmill_config::{CURRENT_KEY, CurrentRow, HEAD_KEY, HeadRow, checksum};
use eelgrassmill_node::Metrics;
use eelgrassmill_standin::engine_specs;
use eelgrassmill_stores::{
    Condition, HttpCaller, HttpTable, Table, Txn, TxnOutcome, Write as RowWrite,
};
use util::load::under_load;
use util::{Cluster, call, completion, eventually, text};

/// Sum of the series whose line holds all of `parts`.
fn sum(metrics: &Metrics, parts: &[&str]) -> f64 {
    let rendered = metrics.render();
    let lines = rendered.lines().filter(|l| !l.starts_with('#'));
    let lines = lines.filter(|l| parts.iter().all(|p| l.contains(p)));
    let values = lines.map(|l| l.rsplit(' ').next().unwrap().parse::<f64>().unwrap());
    values.sum()
}

fn guarded(metrics: &Metrics, promise: &str) -> f64 {
    sum(metrics, &["promise_guarded_total", promise])
}

fn all_metrics(cluster: &Cluster) -> Vec<Arc<Metrics>> {
    cluster.nodes.iter().map(|n| n.metrics()).collect()
}

fn whole_cluster(nodes: usize, engines: usize) -> Cluster {
    let cluster = Cluster::start(nodes, engines);
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    cluster
}

/// Events of one kind in the time line, as JSON.
fn events(cluster: &Cluster, kind: &str) -> Vec<serde_json::Value> {
    let path = "/admin/v1/timeline?limit=10000";
    let told = cluster.admin(0, "GET", path, "").json();
    let events = told["events"].as_array().unwrap().clone();
    let of_kind = |e: &serde_json::Value| e.to_string().contains(&format!("\"{kind}\""));
    events.into_iter().filter(of_kind).collect()
}

#[test]
fn groups_waits_and_table_calls_are_counted() {
    let cluster = whole_cluster(1, 2);
    let metrics = cluster.nodes[0].metrics();
    eventually("one group serves", || {
        sum(&metrics, &["_groups{", "serving"]) == 1.0
            && sum(&metrics, &["_groups{", "down"]) == 0.0
    });
    assert_eq!(sum(&metrics, &["waiting_seconds_count"]), 0.0);
    assert_eq!(cluster.complete(0, "a letter", 3).status, 200);
    assert_eq!(sum(&metrics, &["waiting_seconds_count"]), 1.0);
    for kind in ["get", "scan", "commit"] {
        let call = format!("call=\"{kind}\"");
        let parts = ["table_calls_total", call.as_str(), "result=\"ok\""];
        assert!(sum(&metrics, &parts) > 0.0, "{kind}");
    }
}

#[test]
fn traffic_between_nodes_and_the_process_are_counted() {
    let cluster = whole_cluster(2, 2);
    for metrics in all_metrics(&cluster) {
        eventually("bytes went both ways", || {
            sum(&metrics, &["peer_bytes_total", "sent"]) > 0.0
                && sum(&metrics, &["peer_bytes_total", "received"]) > 0.0
        });
    }
    let shown = cluster.admin(0, "GET", "/metrics", "").text;
    let value = |name: &str| -> f64 {
        let line = shown.lines().find(|l| l.starts_with(name));
        line.unwrap().rsplit(' ').next().unwrap().parse().unwrap()
    };
    assert!(value("process_cpu_seconds_total ") > 0.0);
    assert!(value("process_resident_memory_bytes ") > f64::from(1 << 20));
}

/// A guest clicks twice on the refund. The second call finds the first one's
/// claim in the table, and its answer is told again without a second refund.
#[test]
fn a_repeat_under_a_key_is_counted_as_guarded_and_as_a_conflict() {
    let cluster = whole_cluster(1, 2);
    let metrics = cluster.nodes[0].metrics();
    let key = [("idempotency-key", "refund-9")];
    eventually("the plain service serves", || {
        let ready = cluster.caller(0, "/services/booking/ready", &[], "ping");
        ready.status == 200
    });
    let refund = || cluster.caller(0, "/services/booking/refund", &key, "room 9");
    assert_eq!(refund().status, 200);
    assert_eq!(guarded(&metrics, "at-most-once"), 0.0);
    assert_eq!(refund().status, 200);
    assert_eq!(guarded(&metrics, "at-most-once"), 1.0);
    let conflicts = ["table_calls_total", "commit", "conflict"];
    assert!(sum(&metrics, &conflicts) >= 1.0);
}

/// An engine answers under the id of another guest's request, or breaks off in
/// the middle. Neither answer may reach a caller as the whole one.
#[test]
fn a_wrong_or_half_answer_is_counted_as_guarded() {
    let cluster = whole_cluster(1, 2);
    let metrics = cluster.nodes[0].metrics();
    let lead = cluster.serving(0)[0].1[0].clone();
    for (fault, n) in [("wrong-id", ""), ("cut-after", "&n=20")] {
        let before = guarded(&metrics, "whole-own-answer");
        cluster.fault(&lead, fault, n);
        let answer = cluster.complete(0, "a letter", 5);
        assert!(answer.outcome_is("unknown"), "{fault}: {}", answer.text);
        assert!(guarded(&metrics, "whole-own-answer") > before, "{fault}");
        cluster.mend(&lead);
    }
}

/// A machine of the group dies between the moment a letter is given its place
/// and the moment its bytes would leave. The letter must not go to the rest.
#[test]
fn a_request_stopped_before_a_group_with_a_hole_is_counted_as_guarded() {
    let cluster = whole_cluster(2, 4);
    let metrics = all_metrics(&cluster);
    let count = || -> f64 { metrics.iter().map(|m| guarded(m, "group-whole")).sum() };
    under_load(&cluster, || {
        eventually("a request was stopped", || {
            let member = cluster.serving(0).first().map(|(_, m)| m[1].clone());
            if let Some(member) = member {
                cluster.fault(&member, "restart", "");
                eventually("the group is formed anew", || {
                    count() > 0.0 || cluster.serving(0).is_empty()
                });
            }
            count() > 0.0
        });
    });
}

/// A machine has obeyed a later planner, of which this one knows nothing. It
/// refuses the order, and the refusal is what keeps it out of two groups.
#[test]
fn a_fenced_order_is_counted_as_guarded() {
    let cluster = Cluster::start(1, 2);
    let later = Order {
        host: "engine-0".into(),
        kind: OrderKind::Leave,
        placement: Placement {
            group: "other/0".into(),
            epoch: 1,
            model: "lm".into(),
            version: "1".into(),
            members: Vec::new(),
        },
        fence: 1_000,
        from: "node-late".into(),
    };
    let host = cluster.standins.address_of("engine-0").unwrap();
    let order = serde_json::to_string(&later).unwrap();
    let told = call(host.parse().unwrap(), "POST", "/order", &[], &order);
    assert_eq!(told.status, 200, "{}", told.text);
    cluster.accept(&text(1), 0);
    let metrics = cluster.nodes[0].metrics();
    eventually("an order was refused", || {
        guarded(&metrics, "host-in-one-group") > 0.0
    });
}

/// Writes the rows of the current configuration past all acceptance.
fn write_current(cluster: &Cluster, version: u64, text: &str) {
    let caller = HttpCaller::builder(cluster.standins.platform_address()).build();
    let table = HttpTable::new(caller);
    let head = HeadRow {
        version,
        checksum: checksum(text),
    };
    let row = CurrentRow {
        version,
        text: text.to_owned(),
        checksum: checksum(text),
        author: "ada".into(),
        submit_id: "by hand".into(),
        recent: Vec::new(),
    };
    let rows = [
        (CURRENT_KEY, serde_json::to_string(&row).unwrap()),
        (HEAD_KEY, serde_json::to_string(&head).unwrap()),
    ];
    let conditions = rows.iter().map(|(key, _)| Condition {
        key: (*key).into(),
        version: table.get(key).unwrap().unwrap().version,
    });
    let txn = Txn {
        id: format!("by hand {version}").into(),
        conditions: conditions.collect(),
        writes: rows
            .map(|(key, value)| RowWrite {
                key: key.into(),
                value: Some(value),
            })
            .into(),
    };
    assert_eq!(table.commit(&txn).unwrap(), TxnOutcome::Committed);
}

/// A newer release has accepted a text with keys that this node doesn't know,
/// or someone has put an old row back. What is in force stays, and the operator
/// gets one line about it and not two a second.
#[test]
fn a_text_that_would_revert_is_counted_and_noted_once() {
    let cluster = whole_cluster(1, 2);
    let metrics = cluster.nodes[0].metrics();
    let count = || guarded(&metrics, "config-never-reverts");
    let reads = || sum(&metrics, &["table_calls_total", "scan", "ok"]);
    write_current(&cluster, 2, "[fleet]\nfuture = yes\n");
    eventually("it was refused", || count() > 0.0);
    let then = reads();
    eventually("it was read several times more", || reads() > then + 20.0);
    assert_eq!(count(), 1.0);
    let refused = events(&cluster, "config-refused");
    assert_eq!(refused.len(), 1, "{refused:?}");
    assert_eq!(cluster.version_at(0), 1);
    write_current(&cluster, 0, &text(2));
    eventually("the older one was refused", || count() > 1.0);
    assert_eq!(cluster.version_at(0), 1);
}

/// The time to stop was set shorter than the longest letter, so that the stop
/// cuts one off. That is the one case in which a promise is seen broken.
#[test]
fn a_stop_that_cuts_a_request_off_is_counted_as_broken() {
    let mut cluster = Cluster::with_settings(1, engine_specs(2, 4), |_, settings| {
        settings.timing.address_keep = Duration::from_millis(200);
        settings.timing.stop_time = Duration::from_secs(1);
    });
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let body = completion("an endless letter", 4_000, true);
    let mut reading = cluster.open(0, "/v1/completions", &body);
    reading.events(2);
    let node = cluster.nodes.remove(0);
    let metrics = node.metrics();
    assert!(!node.stop());
    let broken = ["promise_broken_total", "graceful-stop"];
    assert_eq!(sum(&metrics, &broken), 1.0);
    assert!(!reading.into_whole().ended);
    let cut = ["requests_total", "end=\"unknown\""];
    assert_eq!(sum(&metrics, &cut), 1.0);
}

/// An operator asks who fills the queue.
#[test]
fn running_and_waiting_requests_of_a_tenant_are_shown() {
    let cluster = whole_cluster(1, 2);
    let tenant = || cluster.admin(0, "GET", "/admin/v1/tenants", "").json()[0].clone();
    let counts = || (tenant()["running"].as_u64(), tenant()["queued"].as_u64());
    std::thread::scope(|scope| {
        for i in 0..20 {
            let cluster = &cluster;
            scope.spawn(move || cluster.complete(0, &format!("letter {i}"), 300));
        }
        eventually("some run and some wait", || {
            matches!(counts(), (Some(1..), Some(1..)))
        });
    });
    eventually("none run or wait", || counts() == (Some(0), Some(0)));
}

/// A stream's head says nothing of its end: it is counted once, by its end.
#[test]
fn a_stream_is_counted_by_its_end() {
    let cluster = whole_cluster(1, 2);
    let metrics = cluster.nodes[0].metrics();
    let body = completion("a letter", 10, true);
    let ended = |end: &str| sum(&metrics, &["requests_total", &format!("end=\"{end}\"")]);
    assert!(cluster.raw(0, "/v1/completions", &[], &body).ended);
    eventually("the whole one is counted", || ended("answered") == 1.0);
    assert_eq!(sum(&metrics, &["answer_seconds_count"]), 1.0);
    assert_eq!(events(&cluster, "request-answered").len(), 1);
    let lead = cluster.serving(0)[0].1[0].clone();
    cluster.fault(&lead, "cut-after", "&n=600");
    cluster.fault(&lead, "no-resume", "");
    assert!(!cluster.raw(0, "/v1/completions", &[], &body).ended);
    eventually("the broken one is counted", || ended("unknown") == 1.0);
    assert_eq!(ended("answered"), 1.0);
    assert_eq!(events(&cluster, "request-refused").len(), 1);
}

/// After a repair the operator asks what became of the group's old hosts.
#[test]
fn a_freed_host_is_found_under_its_group() {
    let cluster = whole_cluster(1, 4);
    let (group, members) = cluster.serving(0)[0].clone();
    let drained = format!("{}\n[target {}]\ndrain = yes\n", text(1), members[1]);
    cluster.accept(&drained, 1);
    eventually("a host is freed", || {
        let path = format!("/admin/v1/timeline?limit=10000&group={group}");
        let told = cluster.admin(0, "GET", &path, "").text;
        told.contains("\"host-freed\"")
    });
}
