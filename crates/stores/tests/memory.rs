//! The semantics of the table in memory, which the stand-in serves.

use std::collections::BTreeMap;

use eelgrassmill_stores::{
    Condition, MemoryTable, Table, TableError, Txn, TxnOutcome, Write, percent_decode,
    percent_encode,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn write(id: String, key: &str, version: u64, value: Option<String>) -> Txn {
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
fn a_refused_call_has_no_effect() {
    let table = MemoryTable::new();
    table.set_unavailable(true);
    let answer = table.commit(&write("a".into(), "k", 0, Some("v".into())));
    assert_that!(answer, err(pat!(TableError::Unavailable(anything()))));
    table.set_unavailable(false);
    expect_that!(table.get("k"), ok(none()));
}

#[gtest]
fn a_scan_sees_its_prefix_alone_in_key_order() {
    let table = MemoryTable::new();
    for key in ["b/1", "a/2", "a/1", "a", "c"] {
        table
            .commit(&write(key.into(), key, 0, Some(key.into())))
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
fn one_failed_condition_stops_every_write() {
    let table = MemoryTable::new();
    table
        .commit(&write("a".into(), "k", 0, Some("v".into())))
        .unwrap();
    let mut txn = write("b".into(), "new", 0, Some("v".into()));
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

    /// A row's version never repeats, whatever is deleted and created again;
    /// otherwise a late copy of an old transaction could meet its condition.
    #[test]
    fn versions_rise_by_one_over_deletions(
        ops in prop::collection::vec((0usize..3, any::<bool>()), 1..40),
    ) {
        let table = MemoryTable::new();
        let mut writes: BTreeMap<usize, u64> = BTreeMap::new();
        for (i, (key, delete)) in ops.into_iter().enumerate() {
            let name = format!("k{key}");
            let seen = table.get(&name).unwrap().map_or(0, |row| row.version);
            let value = (!delete).then(|| i.to_string());
            let outcome = table.commit(&write(i.to_string(), &name, seen, value)).unwrap();
            prop_assert_eq!(outcome, TxnOutcome::Committed);
            *writes.entry(key).or_default() += 1;
            if !delete {
                prop_assert_eq!(table.get(&name).unwrap().unwrap().version, writes[&key]);
            }
        }
    }

    #[test]
    fn percent_encoding_returns_what_it_was_given(text in ".*") {
        let encoded = percent_encode(&text);
        prop_assert!(encoded.is_ascii());
        prop_assert_eq!(percent_decode(&encoded), Some(text));
    }

    #[test]
    fn percent_decoding_never_panics(text in "[%0-9a-fé]*") {
        let _ = percent_decode(&text);
    }
}
