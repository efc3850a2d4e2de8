//! Tests of the capacity model, and of the capacity page against it.

use eelgrassmill_peer::capacity::{Inputs, LinearCost, Role, Size, store_load, table, total};
use googletest::prelude::*;

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
    std::fs::read_to_string(path).expect("the page is there")
}

fn constant(fixed: f64) -> LinearCost {
    LinearCost {
        fixed,
        per_unit: 0.0,
    }
}

fn slope(per_unit: f64) -> LinearCost {
    LinearCost {
        fixed: 0.0,
        per_unit,
    }
}

#[gtest]
fn fit_is_exact_for_collinear_points() {
    let line = LinearCost::fit(&[(10.0, 25.0), (20.0, 45.0), (40.0, 85.0)]);
    expect_that!(line.fixed, near(5.0, 1e-9));
    expect_that!(line.per_unit, near(2.0, 1e-9));
    expect_that!(line.at(100.0), near(205.0, 1e-9));
    expect_that!(LinearCost::fit(&[(7.0, 3.0)]).at(99.0), near(3.0, 1e-9));
}

#[gtest]
fn printed_inputs_parse_to_the_same_values() {
    let inputs = Inputs {
        node_row: constant(331.0),
        plan_core: LinearCost {
            fixed: -4.5e-5,
            per_unit: 5.125e-6,
        },
        ..Inputs::default()
    };
    expect_that!(Inputs::parse(&inputs.to_string()), ok(eq(&inputs)));
    expect_that!(
        Inputs::parse("spread_bytes = 1 +2 per node"),
        err(anything())
    );
}

#[gtest]
fn totals_follow_from_the_inputs() {
    let inputs = Inputs {
        spread_bytes: slope(10.0),
        spread_calls: constant(20.0),
        call_bytes: constant(100.0),
        probe_bytes: constant(400.0),
        node_row: constant(300.0),
        quota_demand: constant(50.0),
        ..Inputs::default()
    };
    let size = Size::DESIGN;
    // 110 groups with 3 watchers over 370 nodes; 8 hosts of each probed twice per second.
    let probes = 110.0 * 3.0 / 370.0 * 8.0 * 2.0;
    let watcher = Role::Watcher.usage(&size, &inputs);
    expect_that!(watcher.bytes_per_s, near(probes * 400.0, 1e-6));
    expect_that!(watcher.messages_per_s, near(2.0 * probes, 1e-6));
    let dissemination = Role::Dissemination.usage(&size, &inputs);
    expect_that!(
        dissemination.bytes_per_s,
        near(3_700.0 + 2.0 * 20.0 * 100.0, 1e-6)
    );
    let reader = Role::Reader.usage(&size, &inputs);
    // Four readers of a domain take turns twice per second; a takeover candidate also reads
    // node rows in the other rounds.
    expect_that!(reader.bytes_per_s, near(0.5 * 370.0 * 300.0, 1e-6));
    let candidate = Role::TakeoverCandidate.usage(&size, &inputs);
    expect_that!(candidate.bytes_per_s, near(1.5 * 370.0 * 300.0, 1e-6));
    let infrequent = Role::InfrequentReader.usage(&size, &inputs);
    expect_that!(infrequent.bytes_per_s, near(0.1 * 370.0 * 300.0, 1e-6));
    // Each of 110 groups has its issuer among 370 nodes, some of them the same. A node sends
    // four demands in three seconds, and four per second to groups at which it runs requests:
    // 880 over all nodes. It answers as many calls as it makes.
    let issuers = 370.0 * (1.0 - (369.0_f64 / 370.0).powi(110));
    let busy = 880.0 / 370.0 * (4.0 - 4.0 / 3.0);
    let calls = issuers * 4.0 / 3.0 + busy;
    let demands = 110.0 * 4.0 / 3.0 + busy;
    let quotas = Role::Quotas.usage(&size, &inputs);
    expect_that!(quotas.messages_per_s, near(4.0 * calls, 1e-6));
    expect_that!(
        quotas.bytes_per_s,
        near(2.0 * (calls * 100.0 + demands * 50.0), 1e-6)
    );
    let sum: f64 = Role::ALL
        .iter()
        .filter(|role| role.is_everywhere())
        .map(|role| role.usage(&size, &inputs).bytes_per_s)
        .sum();
    expect_that!(total(&size, &inputs).bytes_per_s, near(sum, 1e-6));
    let (reads, writes) = store_load(&size, &inputs);
    // Four readers in each of six failure domains read two rows in each of two rounds per
    // second, two ranges every two seconds and 2,100 texts per day; all other nodes read all
    // four every ten seconds; all nodes read the claims' era every 20 s; three takeover
    // candidates of each region read node rows in three of four rounds; a planner reads one
    // row in each round and two ranges every two seconds.
    let frequent = 24.0 * (4.0 + 1.0 + 2_100.0 / 86_400.0);
    let planners = 3.0 * (2.0 + 1.0 + 3.0 * 1.5);
    let expected = frequent + 346.0 * 0.4 + 370.0 * 0.05 + planners;
    expect_that!(reads, near(expected, 1e-6));
    // Lease renewals, claims of one request in twenty, and configuration changes.
    let claims = 5_200.0 * 0.05 * 2.0;
    expect_that!(
        writes,
        near(370.0 * 0.5 + claims + 2_100.0 / 86_400.0, 1e-6)
    );
}

#[gtest]
fn the_page_s_totals_follow_from_the_page_s_inputs() {
    let page = page();
    let inputs = Inputs::parse(&page).expect("the page has all inputs");
    let totals = table(&Size::DESIGN, &inputs);
    expect_that!(page, contains_substring(totals.trim()));
}
