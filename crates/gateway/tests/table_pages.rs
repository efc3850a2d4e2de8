//! Tables that are read page by page.

use eelgrassmill_base::StoreEra;
use eelgrassmill_gateway::{PageSize, SourceError, TablePages};
use googletest::prelude::*;
use smol_str::{SmolStr, format_smolstr};

const MAX_KEPT: usize = 10;

/// Adds a page of rows with these keys, all of which are needed.
fn push(
    pages: &mut TablePages<SmolStr>,
    keys: &[&str],
    has_more: bool,
    era: Option<StoreEra>,
) -> std::result::Result<(), SourceError> {
    let page = keys.iter().map(|key| (SmolStr::from(*key), ()));
    pages.push(page, has_more, era, |key, ()| Some(key.clone()))
}

#[gtest]
fn pages_that_overlap_give_each_row_once() -> googletest::Result<()> {
    let mut pages = TablePages::new(MAX_KEPT);
    expect_that!(pages.next_from(), none());
    push(&mut pages, &["a", "b&"], true, None)?;
    expect_that!(pages.next_from(), some(eq("b&")));
    push(&mut pages, &["b&", "c"], true, None)?;
    // The key at which the page begins was removed meanwhile.
    push(&mut pages, &["d"], true, None)?;
    push(&mut pages, &["d"], false, None)?;
    let expected = elements_are![eq("a"), eq("b&"), eq("c"), eq("d")];
    expect_that!(pages.into_kept(), expected);
    Ok(())
}

#[gtest]
fn an_empty_table_is_complete() -> googletest::Result<()> {
    let mut pages = TablePages::new(MAX_KEPT);
    push(&mut pages, &[], false, None)?;
    expect_that!(pages.into_kept(), is_empty());
    Ok(())
}

/// Guards against asking for the same page again and again.
#[gtest]
fn a_page_without_a_new_row_before_others_is_an_error() -> googletest::Result<()> {
    for repeated in [&["a", "b"][..], &["b"], &["a"], &[]] {
        let mut pages = TablePages::new(MAX_KEPT);
        push(&mut pages, &["a", "b"], true, None)?;
        let pushed = push(&mut pages, repeated, true, None);
        expect_that!(pushed, err(matches_pattern!(SourceError::Malformed(_))));
    }
    let pushed = push(&mut TablePages::new(MAX_KEPT), &[], true, None);
    expect_that!(pushed, err(matches_pattern!(SourceError::Malformed(_))));
    Ok(())
}

/// Guards against a list put together from two states of the store.
#[gtest]
fn a_page_of_another_era_is_an_error() -> googletest::Result<()> {
    for (first, second) in [(Some(1), Some(2)), (None, Some(1)), (Some(1), None)] {
        let mut pages = TablePages::new(MAX_KEPT);
        push(&mut pages, &["a"], true, first)?;
        let pushed = push(&mut pages, &["b"], false, second);
        expect_that!(pushed, err(eq(&SourceError::Compacted { era: second })));
    }
    Ok(())
}

/// Guards against a list that is never read because the table holds more than a node does.
#[gtest]
fn rows_beyond_the_limit_are_left_out() -> googletest::Result<()> {
    let mut pages = TablePages::new(2);
    push(&mut pages, &["a", "b"], true, None)?;
    for n in 0..100 {
        push(&mut pages, &[&format!("c{n:02}")], true, None)?;
    }
    push(&mut pages, &["d"], false, None)?;
    expect_that!(pages.left_out(), eq(101));
    let expected = elements_are![eq("a"), eq("b")];
    expect_that!(pages.into_kept(), expected);
    Ok(())
}

/// Guards against the same because of rows of other writers.
#[gtest]
fn rows_that_are_not_needed_do_not_count_against_the_limit() -> googletest::Result<()> {
    let mut pages = TablePages::new(2);
    for page in 0..100 {
        let rows = (0..5).map(|n| (format_smolstr!("{page:02}{n}"), ()));
        let needed = |key: &SmolStr, ()| (key == "500" || key == "991").then(|| key.clone());
        pages.push(rows, page < 99, None, needed)?;
    }
    expect_that!(pages.left_out(), eq(0));
    expect_that!(pages.into_kept(), elements_are![eq("500"), eq("991")]);
    Ok(())
}

/// Guards against asking again and again for a page that is too large.
#[gtest]
fn pages_shrink_until_they_can_be_read_and_grow_again() {
    let too_large = || Err::<(), _>(SourceError::TooLarge("4 MiB".to_owned()));
    let size = PageSize::new(500);
    let shrunk: Vec<usize> = (0..10)
        .map(|_| {
            size.record(&too_large());
            size.rows()
        })
        .collect();
    expect_that!(shrunk, eq(&[250, 125, 62, 31, 15, 7, 3, 1, 1, 1]));
    size.record(&Err::<(), _>(SourceError::Refused(503)));
    expect_that!(size.rows(), eq(1));
    for _ in 0..10 {
        size.record(&Ok(()));
    }
    expect_that!(size.rows(), eq(500));
}
