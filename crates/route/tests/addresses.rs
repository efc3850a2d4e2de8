//! Tests of the address lists returned to callers.

use std::collections::BTreeMap;

use eelgrassmill_route::*;
use googletest::prelude::*;

fn entries() -> Vec<EntryView> {
    let entry = |i: usize| EntryView {
        node: format!("entry-{i}").into(),
        address: format!("10.0.0.{i}:80").into(),
        failure_domain: ["a", "b", "c"][i % 3].into(),
        same_region: true,
        load: LoadLevel::Low,
        leaving: false,
        alive: true,
    };
    (0..9).map(entry).collect()
}

fn address_list(caller: &str, entries: &[EntryView]) -> AddressList {
    choose_addresses(caller, "a", entries, None, &mut fastrand::Rng::with_seed(1))
}

fn first(caller: &str, entries: &[EntryView]) -> String {
    address_list(caller, entries).addresses[0].to_string()
}

fn spread(entries: &[EntryView]) -> BTreeMap<String, usize> {
    let mut spread = BTreeMap::new();
    for i in 0..300 {
        *spread
            .entry(first(&format!("caller-{i}"), entries))
            .or_default() += 1;
    }
    spread
}

/// Guards against uneven distribution over the entries of the callers' failure domain, lists
/// that change between requests, and lists without an address in another domain.
#[googletest::test]
fn callers_are_spread_over_their_own_domain() {
    let entries = entries();
    let spread = spread(&entries);
    expect_that!(spread.len(), eq(3));
    expect_that!(spread.values().min(), some(ge(&70)));
    let list = address_list("caller-1", &entries);
    expect_that!(
        list.addresses,
        eq(&address_list("caller-1", &entries).addresses)
    );
    expect_that!(list.addresses.len(), eq(3));
    let last = entries
        .iter()
        .find(|e| e.address == list.addresses[2])
        .expect("known");
    expect_that!(last.failure_domain.as_str(), not(eq("a")));
}

/// Guards against a leaving entry moving the callers of other entries, which would all
/// reconnect at the same time.
#[googletest::test]
fn only_the_callers_of_a_leaving_entry_move() {
    let before = entries();
    let mut after = before.clone();
    after[0].leaving = true;
    for i in 0..300 {
        let caller = format!("caller-{i}");
        let (old, new) = (first(&caller, &before), first(&caller, &after));
        expect_that!(new, not(eq("10.0.0.0:80")));
        if old != "10.0.0.0:80" {
            expect_that!(new, eq(&old));
        }
    }
    expect_that!(
        address_list("x", &after).ttl,
        lt(address_list("x", &before).ttl)
    );
}

/// Guards against a full entry returning its own address to a caller it refused.
#[googletest::test]
fn full_entry_returns_other_addresses() {
    let mut entries = entries();
    entries[3].load = LoadLevel::Full;
    let mut rng = fastrand::Rng::with_seed(1);
    for i in 0..100 {
        let caller = format!("caller-{i}");
        let list = choose_addresses(&caller, "a", &entries, Some("entry-3"), &mut rng);
        expect_that!(list.addresses, not(contains(eq("10.0.0.3:80"))));
    }
    expect_that!(spread(&entries).contains_key("10.0.0.3:80"), eq(false));
    // If all entries are leaving, one is returned nevertheless.
    entries.iter_mut().for_each(|e| e.leaving = true);
    expect_that!(address_list("x", &entries).addresses.len(), eq(1));
}

/// Guards against a load level that flaps around a threshold, which would change callers'
/// lists with each report, and against lists that all expire at the same time.
#[googletest::test]
fn load_level_has_hysteresis_and_ttl_has_jitter() {
    let mut level = LoadLevel::Low;
    let levels = [0.84, 0.86, 0.8, 0.86, 0.8, 1.0, 0.95, 0.8, 0.6].map(|load| {
        level = level.next(load);
        level
    });
    use LoadLevel::{Full, High, Low};
    expect_that!(
        levels,
        eq([Low, High, High, High, High, Full, Full, High, Low])
    );
    let (entries, mut rng) = (entries(), fastrand::Rng::with_seed(1));
    let mut ttls: Vec<_> = (0..200)
        .map(|_| choose_addresses("x", "a", &entries, None, &mut rng).ttl)
        .collect();
    ttls.sort();
    let gap = ttls.windows(2).map(|w| w[1] - w[0]).max();
    expect_that!(ttls[199] - ttls[0], ge(std::time::Duration::from_secs(25)));
    expect_that!(gap, some(le(std::time::Duration::from_secs(2))));
}
