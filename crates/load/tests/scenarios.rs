//! The text of scenarios: what is read, what is refused, and those that are kept.

use std::fs;
use std::path::Path;

use eelgrassmill_load::Scenario;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOOD: &str = "[scenario]\nname = a\n[tenant t]\ntoken = x\n\
                    [class c]\nservice = s\nrates = t:2.5\n";

#[gtest]
fn mistakes_are_refused_with_their_place_and_what_to_write() {
    let texts = [
        "",
        "[scenario\nname = a",
        "[scenario]\nname = a\n",
        "[surprise]\na = b\n",
        &GOOD.replace("t:2.5", "t:0"),
        &GOOD.replace("t:2.5", "u:1"),
        &GOOD.replace("t:2.5", "t"),
        &GOOD.replace("= x", "= a b"),
        &GOOD.replace("= x", "= x\ncallers = 0"),
        &format!("{GOOD}tokens = 9-3\n"),
        &format!("{GOOD}urgency = 8\n"),
        &format!("{GOOD}stream = maybe\n"),
        &format!("{GOOD}speed = 3\n"),
        &format!("{GOOD}[fault f]\nat = -1\ntarget = e\nname = die\n"),
        &GOOD
            .replace("t:2.5", "t:9999")
            .replace("= a", "= a\nseconds = 3000"),
        &GOOD.replace("class c", "class é"),
        &format!("{GOOD}[class c]\nservice = s\nrates = t:1\n"),
    ];
    let errors = texts.map(|text| match Scenario::parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(e) => e.to_string(),
    });
    insta::assert_snapshot!(errors.join("\n"));
}

#[gtest]
fn every_scenario_of_the_repository_is_good_and_short() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut names = Vec::new();
    for file in fs::read_dir(dir).expect("the folder is there") {
        let path = file.expect("a readable entry").path();
        let text = fs::read_to_string(&path).expect("readable");
        let scenario = Scenario::parse(&text).unwrap_or_else(|e| panic!("{path:?}: {e}"));
        let name = path
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        expect_that!(scenario.name.as_str(), eq(name.as_str()));
        expect_that!(scenario.time.as_secs(), all![ge(10), le(30)]);
        expect_that!(
            scenario.faults.iter().all(|f| f.at < scenario.time),
            eq(true)
        );
        names.push(name);
    }
    names.sort();
    let wanted = [
        "engine-dead",
        "engine-slow",
        "entry-killed",
        "greedy-absent",
        "greedy-tenant",
        "killer-request",
        "lehota",
        "lindach",
        "overload",
        "peak",
        "store-down",
        "urgent-alone",
        "urgent-drafts",
    ];
    expect_that!(names, eq(&wanted));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_read_or_refused_without_a_panic(
        lines in prop::collection::vec(
            prop_oneof![
                Just("[scenario]".to_owned()),
                Just("[class c]".to_owned()),
                "\\[(class|tenant) [a-zé]{0,3}\\]",
                Just("[fault f]".to_owned()),
                "(name|rates|tokens|seconds|at|for|n|service) = [-0-9a-z:. ]{0,8}",
                "[ -~]{0,20}",
            ],
            0..14,
        ),
    ) {
        let _ = Scenario::parse(&lines.join("\n"));
    }
}
