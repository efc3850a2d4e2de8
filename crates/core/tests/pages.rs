//! What the pages say of keys, metrics and dependencies is what the code has.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eelgrassmill_account::{AccountUsage, ConnectionUsage};
use eelgrassmill_base::Urgency;
use eelgrassmill_config::{CONFIG_SECTIONS, Config, SectionKeys};
use eelgrassmill_node::{
    AdminRefusal, Metrics, RequestEnd, SETTINGS_SECTIONS, Settings, TableCall, TableResult,
    TokenHash,
};
use googletest::prelude::*;

/// Writes the tables of keys into the page in place of comparing them.
const WRITE: &str = "EELGRASSMILL_WRITE_REFERENCE";

const SETTINGS_HEAD: &str = "Read once, at the start.\n\n";
const TEXT_HEAD: &str = "in force at every node within seconds.\n\n";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("the page")
}

fn tables(sections: &[SectionKeys]) -> String {
    sections
        .iter()
        .map(SectionKeys::reference_table)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Start and end of the tables that stand after `head`.
fn place(page: &str, head: &str) -> (usize, usize) {
    let start = page.find(head).expect("the head of the tables") + head.len();
    let rest = &page[start..];
    let end = ["\n## ", "\nBeyond the limits"]
        .iter()
        .filter_map(|e| rest.find(e))
        .min();
    (start, start + end.expect("the end of the tables"))
}

#[gtest]
fn the_reference_has_every_key_with_its_default_and_limits() {
    let mut page = page("docs/REFERENCE.md");
    for (head, sections) in [
        (SETTINGS_HEAD, SETTINGS_SECTIONS),
        (TEXT_HEAD, CONFIG_SECTIONS),
    ] {
        let (start, end) = place(&page, head);
        if std::env::var_os(WRITE).is_some() {
            page.replace_range(start..end, &tables(sections));
            fs::write(root().join("docs/REFERENCE.md"), &page).expect("written");
        } else {
            expect_that!(page[start..end], eq(&tables(sections)));
        }
    }
}

#[gtest]
fn the_reference_has_every_metric() {
    let metrics = Metrics::new().unwrap();
    metrics.add_group_downtime("s", Duration::ZERO);
    metrics.request_ended("t", Urgency::DEFAULT, RequestEnd::Answered);
    metrics.waited(Urgency::DEFAULT, Duration::ZERO);
    metrics.first_token(Urgency::DEFAULT, Duration::ZERO);
    metrics.answered(Urgency::DEFAULT, Duration::ZERO);
    metrics.table_call(TableCall::Get, TableResult::Ok);
    metrics.add_peer_bytes(0, 0);
    metrics.admin_refused(AdminRefusal::TooSlow);
    metrics.set_groups(0, 0);
    metrics.set_client_bytes(&AccountUsage::default());
    metrics.set_connections("callers", &ConnectionUsage::default());
    let page = page("docs/REFERENCE.md");
    let rendered = metrics.render();
    let names: Vec<&str> = rendered
        .lines()
        .filter_map(|l| l.strip_prefix("# TYPE ")?.split(' ').next())
        .collect();
    let told: BTreeSet<&str> = page
        .lines()
        .filter_map(|l| l.strip_prefix("| `eelgrassmill_")?.split('`').next())
        .collect();
    let there: BTreeSet<&str> = names
        .iter()
        .filter_map(|n| n.strip_prefix("eelgrassmill_"))
        .collect();
    expect_that!(told, eq(&there));
}

#[gtest]
fn each_dependency_has_its_line() {
    let manifest = page("Cargo.toml");
    let list = manifest
        .split("[workspace.dependencies]")
        .nth(1)
        .expect("the dependencies");
    let list = list.split("\n[").next().expect("their end");
    let there: BTreeSet<&str> = list
        .lines()
        .filter_map(|l| l.split_once(" = "))
        .map(|(name, _)| name)
        .filter(|name| !name.starts_with("eelgrassmill"))
        .collect();
    let page = page("docs/DEPENDENCIES.md");
    let told: BTreeSet<&str> = page
        .lines()
        .filter_map(|l| l.strip_prefix("| ")?.split(" | ").next())
        .filter(|name| !matches!(*name, "crate" | "---"))
        .collect();
    expect_that!(told, eq(&there));
}

/// The indented block of the guide that has `line` in it.
fn block(line: &str) -> String {
    let guide = page("GUIDE.md");
    let blocks = guide.split("\n\n").collect::<Vec<_>>();
    let is_code = |b: &&str| b.lines().all(|l| l.starts_with("    "));
    let at = blocks
        .iter()
        .position(|b| b.contains(line))
        .expect("the block");
    let first = blocks[..=at]
        .iter()
        .rposition(|b| !is_code(b))
        .expect("text before it")
        + 1;
    let rest = blocks[first..].iter().take_while(|b| is_code(b));
    rest.copied().collect::<Vec<_>>().join("\n\n")
}

#[gtest]
fn the_guides_settings_and_text_are_right() {
    let token = "a-long-secret-for-operators";
    let settings = Settings::parse(&block("id = node-a"), "a.ini", |_| Ok(token.to_owned()));
    expect_that!(settings.map(|s| s.seeds.len()), ok(eq(&3)));
    let config = Config::parse(&block("[tenant baths]"), "fleet.ini").unwrap();
    let digits = &config.tenants["baths"].token_sha256;
    let hash = TokenHash::from_hex(digits).expect("a hash");
    expect_true!(hash.matches("guest-token"));
    expect_that!(config.services.len(), eq(2));
}
