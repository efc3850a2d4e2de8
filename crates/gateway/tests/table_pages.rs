//! Tables that are read page by page.

use eelgrassmill_gateway::{SourceError, TablePages, TableRow};
use googletest::prelude::*;
use smol_str::SmolStr;

const MAX_BYTES: usize = 100;

#[derive(Debug)]
struct Row(SmolStr);

impl TableRow for Row {
    fn key(&self) -> &SmolStr {
        &self.0
    }

    fn size(&self) -> usize {
        self.0.len()
    }
}

fn page(keys: &[&str]) -> Vec<Row> {
    keys.iter().map(|key| Row(SmolStr::from(*key))).collect()
}

fn keys(pages: TablePages<Row>) -> Vec<SmolStr> {
    pages.into_rows().into_iter().map(|row| row.0).collect()
}

#[gtest]
fn pages_that_overlap_give_each_row_once() -> googletest::Result<()> {
    let mut pages = TablePages::new(MAX_BYTES);
    expect_that!(pages.next_from(), none());
    pages.push(page(&["a", "b&"]), true, None)?;
    expect_that!(pages.next_from(), some(eq("b&")));
    pages.push(page(&["b&", "c"]), true, None)?;
    // The key at which the page begins was removed meanwhile.
    pages.push(page(&["d"]), true, None)?;
    pages.push(page(&["d"]), false, None)?;
    let expected = elements_are![eq("a"), eq("b&"), eq("c"), eq("d")];
    expect_that!(keys(pages), expected);
    Ok(())
}

#[gtest]
fn an_empty_table_is_complete() -> googletest::Result<()> {
    let mut pages = TablePages::new(MAX_BYTES);
    pages.push(page(&[]), false, None)?;
    expect_that!(keys(pages), is_empty());
    Ok(())
}

/// Guards against asking for the same page again and again.
#[gtest]
fn a_page_without_a_new_row_before_others_is_an_error() -> googletest::Result<()> {
    for repeated in [&["a", "b"][..], &["b"], &["a"], &[]] {
        let mut pages = TablePages::new(MAX_BYTES);
        pages.push(page(&["a", "b"]), true, None)?;
        let pushed = pages.push(page(repeated), true, None);
        expect_that!(pushed, err(matches_pattern!(SourceError::Malformed(_))));
    }
    let pushed = TablePages::new(MAX_BYTES).push(page(&[]), true, None);
    expect_that!(pushed, err(matches_pattern!(SourceError::Malformed(_))));
    Ok(())
}

/// Guards against a list put together from two states of the store.
#[gtest]
fn a_page_of_another_era_is_an_error() -> googletest::Result<()> {
    for (first, second) in [(Some(1), Some(2)), (None, Some(1)), (Some(1), None)] {
        let mut pages = TablePages::new(MAX_BYTES);
        pages.push(page(&["a"]), true, first)?;
        let pushed = pages.push(page(&["b"]), false, second);
        expect_that!(pushed, err(eq(&SourceError::Compacted { era: second })));
    }
    Ok(())
}

/// Guards against a table without end.
#[gtest]
fn a_table_over_the_limit_is_an_error() -> googletest::Result<()> {
    let mut pages = TablePages::new(4);
    pages.push(page(&["aa", "bb"]), true, None)?;
    let pushed = pages.push(page(&["cc"]), true, None);
    expect_that!(pushed, err(matches_pattern!(SourceError::Malformed(_))));
    Ok(())
}
