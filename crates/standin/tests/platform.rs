//! The platform's clients against the stand-in platform and its faults.

use std::time::{Duration, Instant};

use eelgrassmill_base::HostState;
use eelgrassmill_standin::{Standins, engine_specs, expected_answer, plain_specs};
use eelgrassmill_stores::{
    CommitStatus, Condition, HostList, HttpCaller, HttpHostList, HttpObjectStore, HttpTable,
    HttpWeightStore, ObjectStore, RetryLimits, Table, TableError, Txn, TxnOutcome, WeightInfo,
    WeightStore, Write, commit_with_retry,
};
use googletest::prelude::*;

const PATIENCE: Duration = Duration::from_secs(5);

fn start() -> Standins {
    Standins::builder()
        .hosts(engine_specs(2, 2))
        .weights("lake", "1", 1 << 20)
        .weight_rate(1 << 24)
        .start()
        .expect("stand-ins start")
}

fn caller(standins: &Standins) -> HttpCaller {
    HttpCaller::builder(standins.platform_address())
        .step_timeout(Duration::from_millis(200))
        .build()
}

fn switch(standins: &Standins, path: &str) {
    let caller = HttpCaller::builder(standins.control_address()).build();
    let reply = caller.post_json(path, &()).expect("the switches answer");
    assert!(reply.status.is_success(), "{reply:?}");
}

fn fault(standins: &Standins, fault: &str) {
    switch(standins, &format!("/fault?target=platform&name={fault}"));
}

fn txn(id: &str, key: &str, version: u64) -> Txn {
    Txn {
        id: id.into(),
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![Write {
            key: key.into(),
            value: Some(id.to_owned()),
        }],
    }
}

fn budget() -> RetryLimits {
    RetryLimits {
        pause: Duration::from_millis(5),
        ..RetryLimits::default()
    }
}

fn eventually_there(table: &HttpTable, key: &str) {
    let start = Instant::now();
    while table.get(key).expect("it reads").is_none() {
        assert!(start.elapsed() < PATIENCE, "the late write never came");
    }
}

#[gtest]
fn rows_and_objects_come_back_as_they_were_put() {
    let standins = start();
    let table = HttpTable::new(caller(&standins));
    expect_that!(
        table.commit(&txn("a", "claim/é 1", 0)),
        ok(eq(&TxnOutcome::Committed))
    );
    let row = table.get("claim/é 1").unwrap().unwrap();
    expect_that!((row.version, row.txn.as_str()), eq((1, "a")));
    expect_that!(table.scan("claim/"), ok(eq(&vec![row.clone()])));
    expect_that!(
        table.commit(&txn("b", "claim/é 1", 0)),
        ok(eq(&TxnOutcome::Conflict(vec![row])))
    );
    expect_that!(table.get("absent"), ok(none()));
    let objects = HttpObjectStore::new(caller(&standins));
    objects.put("answer/1 %", vec![0, 255, 10]).unwrap();
    expect_that!(objects.get("answer/1 %"), ok(some(eq(&vec![0, 255, 10]))));
    expect_that!(objects.get("answer/2"), ok(none()));
}

#[gtest]
fn a_lost_answer_is_unknown_and_can_be_settled() {
    // The write is made and its answer is lost on the way. The writer must not
    // take it for a failure, nor write twice.
    let standins = start();
    let table = HttpTable::new(caller(&standins));
    fault(&standins, "lose-answer&n=2");
    expect_that!(
        table.commit(&txn("a", "row", 0)),
        err(pat!(TableError::Unknown(anything())))
    );
    expect_that!(
        commit_with_retry(&table, &txn("b", "row", 1), &budget()),
        ok(eq(&CommitStatus::Committed))
    );
    expect_that!(table.get("row").unwrap().unwrap().version, eq(2));
}

#[gtest]
fn a_late_write_shows_up_after_its_writer_gave_up() {
    let standins = start();
    let table = HttpTable::new(caller(&standins));
    fault(&standins, "apply-late&n=1&ms=100");
    expect_that!(
        table.commit(&txn("a", "row", 0)),
        err(pat!(TableError::Unknown(anything())))
    );
    expect_that!(table.get("row"), ok(none()));
    eventually_there(&table, "row");
}

#[gtest]
fn a_store_that_is_down_or_slow_says_which_calls_had_no_effect() {
    // A writer gives up on a slow store, which makes the write later all the
    // same. One that took the time-out for a failure would write twice.
    let standins = start();
    let table = HttpTable::new(caller(&standins));
    fault(&standins, "down");
    expect_that!(
        table.commit(&txn("a", "row", 0)),
        err(pat!(TableError::Unavailable(_)))
    );
    expect_that!(table.get("row"), err(anything()));
    fault(&standins, "down&ms=0");
    fault(&standins, "slow&n=500");
    expect_that!(
        table.commit(&txn("a", "row", 0)),
        err(pat!(TableError::Unknown(_)))
    );
    expect_that!(table.get("row"), err(pat!(TableError::Unavailable(_))));
    fault(&standins, "slow&ms=0");
    eventually_there(&table, "row");
    let address = standins.platform_address().to_owned();
    drop(standins);
    let gone = HttpTable::new(HttpCaller::builder(address).build());
    expect_that!(
        gone.commit(&txn("b", "row", 0)),
        err(pat!(TableError::Unavailable(_)))
    );
}

#[gtest]
fn the_host_list_lags() {
    let standins = start();
    let list = HttpHostList::new(caller(&standins));
    expect_that!(list.hosts(), ok(eq(&standins.host_entries())));
    fault(&standins, "list-lag&n=60000");
    switch(&standins, "/host-state?host=engine-0&state=leaving");
    expect_that!(list.hosts(), ok(eq(&standins.host_entries())));
    fault(&standins, "list-lag&n=0");
    expect_that!(list.hosts().unwrap()[0].state, eq(HostState::Leaving));
    switch(&standins, "/host-state?host=engine-0&state=gone");
    expect_that!(list.hosts().unwrap().len(), eq(1));
}

#[gtest]
fn the_weight_store_knows_sizes() {
    let standins = start();
    let weights = HttpWeightStore::new(caller(&standins));
    let info = WeightInfo {
        bytes: 1 << 20,
        bytes_per_second: 1 << 24,
    };
    expect_that!(weights.info("lake", "1"), ok(some(eq(&info))));
    expect_that!(weights.info("lake", "2"), ok(none()));
    fault(&standins, "weights-down");
    expect_that!(weights.info("lake", "1"), err(anything()));
}

#[gtest]
fn bad_calls_are_refused_with_a_reason() {
    let standins = start();
    let caller = caller(&standins);
    let control = HttpCaller::builder(standins.control_address()).build();
    let statuses: Vec<u16> = [
        caller.post_json("/table/txn", &"nonsense"),
        caller.get("/table/row"),
        caller.get("/table/row?key=%zz"),
        caller.get("/nowhere"),
        control.post_json("/fault?target=platform&name=unheard-of", &()),
        control.post_json("/fault?target=nobody&name=die", &()),
        control.post_json("/host-state?host=engine-0&state=odd", &()),
    ]
    .into_iter()
    .map(|reply| reply.expect("an answer").status.as_u16())
    .collect();
    expect_that!(statuses, eq(&vec![400, 400, 400, 404, 400, 404, 400]));
}

#[gtest]
fn the_description_lists_every_address_and_switch() {
    let standins = Standins::builder()
        .hosts(plain_specs(1))
        .start()
        .expect("stand-ins start");
    let text = standins.serve_description().to_string();
    let text = text.replace(standins.control_address(), "CONTROL");
    let text = text.replace(standins.platform_address(), "PLATFORM");
    let text = text.replace(standins.address_of("plain-0").expect("it runs"), "PLAIN");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    insta::assert_snapshot!(format!("{value:#}"));
}

#[gtest]
fn the_answer_function_stays_as_it_is_documented() {
    insta::assert_snapshot!(expected_answer("hello", 3), @"d315e253 ad9ba5a2 73292a89");
}
