//! Tests of the in-memory table, which the stand-in platform serves, and of percent-encoding.

use std::collections::BTreeMap;

use eelgrassmill_stores::{
    Condition, MemoryTable, Table, TableError, Txn, TxnOutcome, Write, percent_decode,
    percent_encode,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn write_txn(id: String, key: &str, version: u64, value: Option<String>) -> Txn {
    Txn {
        id: id.into(),
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![Write {
            key: key.into(),
            value,
        }],
    }
}

#[gtest]
fn an_unavailable_call_has_no_effect() {
    let table = MemoryTable::new();
    table.set_unavailable(true);
    let result = table.commit(&write_txn("a".into(), "k", 0, Some("v".into())));
    assert_that!(result, err(pat!(TableError::Unavailable(anything()))));
    table.set_unavailable(false);
    expect_that!(table.get("k"), ok(none()));
}

#[gtest]
fn a_scan_returns_only_its_prefix_in_key_order() {
    let table = MemoryTable::new();
    for key in ["b/1", "a/2", "a/1", "a", "c"] {
        table
            .commit(&write_txn(key.into(), key, 0, Some(key.into())))
            .unwrap();
    }
    let keys: Vec<_> = table
        .scan("a/")
        .unwrap()
        .into_iter()
        .map(|row| row.key)
        .collect();
    expect_that!(keys, eq(&vec!["a/1", "a/2"]));
}

#[gtest]
fn one_failed_condition_prevents_every_write() {
    let table = MemoryTable::new();
    table
        .commit(&write_txn("a".into(), "k", 0, Some("v".into())))
        .unwrap();
    let mut txn = write_txn("b".into(), "new", 0, Some("v".into()));
    txn.conditions.push(Condition {
        key: "k".into(),
        version: 7,
    });
    let outcome = table.commit(&txn).unwrap();
    assert_that!(outcome, pat!(TxnOutcome::Conflict(len(eq(1)))));
    expect_that!(table.get("new"), ok(none()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A row's version never repeats across deletion and re-creation; otherwise the
    /// condition of a delayed copy of an old transaction could hold again.
    #[test]
    fn versions_increase_by_one_across_deletions(
        ops in prop::collection::vec((0usize..3, any::<bool>()), 1..40),
    ) {
        let table = MemoryTable::new();
        let mut writes: BTreeMap<usize, u64> = BTreeMap::new();
        for (i, (key, delete)) in ops.into_iter().enumerate() {
            let name = format!("k{key}");
            let seen = table.get(&name).unwrap().map_or(0, |row| row.version);
            let value = (!delete).then(|| i.to_string());
            let outcome = table.commit(&write_txn(i.to_string(), &name, seen, value)).unwrap();
            prop_assert_eq!(outcome, TxnOutcome::Committed);
            *writes.entry(key).or_default() += 1;
            if !delete {
                prop_assert_eq!(table.get(&name).unwrap().unwrap().version, writes[&key]);
            }
        }
    }

    #[test]
    fn percent_encoding_round_trips(text in ".*") {
        let encoded = percent_encode(&text);
        prop_assert!(encoded.is_ascii());
        prop_assert_eq!(percent_decode(&encoded), Some(text));
    }

    #[test]
    fn percent_decoding_never_panics(text in "[%0-9a-fé]*") {
        let _ = percent_decode(&text);
    }
}
