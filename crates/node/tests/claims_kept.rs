//! How long claims are kept.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use util::{Cluster, call, eventually, text};

/// Every refund leaves a row in the table. Were they kept for good, the table
/// would grow by each of them; were one deleted too early, a late repeat would
/// run the refund again. A row goes once the era has come in which its time is over.
#[test]
fn a_claim_goes_when_its_era_has_come_and_not_before() {
    let cluster = Cluster::start(2, 2);
    cluster.accept(&text(1), 0);
    let key = [("idempotency-key", "refund-old")];
    eventually("the refund is answered", || {
        cluster
            .caller(0, "/services/booking/refund", &key, "room 3")
            .status
            == 200
    });
    assert_eq!(claims(&cluster), 1);
    // A later repeat finds the row and doesn't run.
    let again = cluster.caller(1, "/services/booking/refund", &key, "room 3");
    assert_eq!(again.status, 200);
    let runs = cluster.standins.runs("plain-0").unwrap();
    assert_eq!(runs.by_key.get("refund-old"), Some(&1));
    set_era(&cluster, 1_000);
    eventually("the row is gone", || claims(&cluster) == 0);
}

fn platform(cluster: &Cluster) -> std::net::SocketAddr {
    cluster.standins.platform_address().parse().unwrap()
}

fn claims(cluster: &Cluster) -> usize {
    let rows = call(
        platform(cluster),
        "GET",
        "/table/rows?prefix=claim%2F",
        &[],
        "",
    );
    rows.json().as_array().unwrap().len()
}

/// Writes the era as if the nodes had seen that many of them pass.
fn set_era(cluster: &Cluster, era: u64) {
    let row = call(
        platform(cluster),
        "GET",
        "/table/row?key=claim-era",
        &[],
        "",
    );
    let version = match row.status {
        200 => row.json()["version"].as_u64().unwrap(),
        _ => 0,
    };
    let txn = serde_json::json!({
        "id": "test-era",
        "conditions": [{ "key": "claim-era", "version": version }],
        "writes": [{ "key": "claim-era", "value": era.to_string() }],
    });
    let answer = call(
        platform(cluster),
        "POST",
        "/table/txn",
        &[],
        &txn.to_string(),
    );
    assert_eq!(answer.status, 200, "{}", answer.text);
}
