//! Which entries callers are told.

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

fn ask(caller: &str, entries: &[EntryView]) -> AddressList {
    choose_addresses(caller, "a", entries, None, &mut fastrand::Rng::with_seed(1))
}

fn first(caller: &str, entries: &[EntryView]) -> String {
    ask(caller, entries).addresses[0].to_string()
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

/// Callers are spread over the entries of their own failure domain, each gets the same
/// list every time, and the last address survives the loss of that domain.
#[googletest::test]
fn callers_are_spread_over_their_own_domain() {
    let entries = entries();
    let spread = spread(&entries);
    expect_that!(spread.len(), eq(3));
    expect_that!(spread.values().min(), some(ge(&70)));
    let answer = ask("caller-1", &entries);
    expect_that!(answer.addresses, eq(&ask("caller-1", &entries).addresses));
    expect_that!(answer.addresses.len(), eq(3));
    let last = entries
        .iter()
        .find(|e| e.address == answer.addresses[2])
        .expect("known");
    expect_that!(last.failure_domain.as_str(), not(eq("a")));
}

/// An entry leaves. Only its own callers move, before it stops; were others to move as
/// well, all their connections would be made anew at once.
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
    expect_that!(ask("x", &after).ttl, lt(ask("x", &before).ttl));
}

/// A full entry refuses a caller and names others; named itself, the caller would be sent
/// back to it at once.
#[googletest::test]
fn a_full_entry_names_others() {
    let mut entries = entries();
    entries[3].load = LoadLevel::Full;
    let mut rng = fastrand::Rng::with_seed(1);
    for i in 0..100 {
        let caller = format!("caller-{i}");
        let answer = choose_addresses(&caller, "a", &entries, Some("entry-3"), &mut rng);
        expect_that!(answer.addresses, not(contains(eq("10.0.0.3:80"))));
    }
    expect_that!(spread(&entries).contains_key("10.0.0.3:80"), eq(false));
    // With everything leaving, one address is better than none.
    entries.iter_mut().for_each(|e| e.leaving = true);
    expect_that!(ask("x", &entries).addresses.len(), eq(1));
}

/// An entry's load moves around a threshold. Its band must not flap, or every caller's
/// list would change with each report; and answers given at once end apart.
#[googletest::test]
fn bands_do_not_flap_and_answers_end_apart() {
    let mut band = LoadLevel::Low;
    let bands = [0.84, 0.86, 0.8, 0.86, 0.8, 1.0, 0.95, 0.8, 0.6].map(|load| {
        band = band.next(load);
        band
    });
    use LoadLevel::{Full, High, Low};
    expect_that!(
        bands,
        eq([Low, High, High, High, High, Full, Full, High, Low])
    );
    let (entries, mut rng) = (entries(), fastrand::Rng::with_seed(1));
    let mut ends: Vec<_> = (0..200)
        .map(|_| choose_addresses("x", "a", &entries, None, &mut rng).ttl)
        .collect();
    ends.sort();
    let gap = ends.windows(2).map(|w| w[1] - w[0]).max();
    expect_that!(ends[199] - ends[0], ge(std::time::Duration::from_secs(25)));
    expect_that!(gap, some(le(std::time::Duration::from_secs(2))));
}
