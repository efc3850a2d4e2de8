//! The other commands, their flags and exit codes.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::Stdio;
use std::time::{Duration, Instant};

use common::{Node, program, ran, run};
use googletest::prelude::*;

#[gtest]
fn help_and_version_go_to_standard_output() {
    let version = run(&["--version"]);
    expect_that!(
        version.out,
        eq(concat!("eelgrassmill ", env!("CARGO_PKG_VERSION"), "\n"))
    );
    for command in ["", "config", "groups", "timeline", "addresses", "standin"] {
        let args: Vec<&str> = [command, "--help"]
            .into_iter()
            .filter(|a| !a.is_empty())
            .collect();
        let helped = run(&args);
        expect_that!(helped.code, some(eq(0)), "{command}");
        expect_that!(
            helped.out,
            contains_substring("usage: eelgrassmill"),
            "{command}"
        );
    }
}

#[gtest]
fn wrong_usage_ends_with_2_and_says_what_to_do() {
    let wrong: [&[&str]; 10] = [
        &[],
        &["serv"],
        &["config"],
        &["config", "chek"],
        &["config", "check"],
        &["groups"],
        &["groups", "--admin", "localhost:80"],
        &[
            "timeline",
            "--admin",
            "127.0.0.1:1",
            "--token-file",
            "/dev/null",
            "--since",
            "soon",
        ],
        &[
            "addresses",
            "--entry",
            "127.0.0.1:1",
            "--token-file",
            "/dev/null",
            "--service",
            "a b",
        ],
        &["standin", "--engines", "many"],
    ];
    for args in wrong {
        let ran = run(args);
        expect_that!(ran.code, some(eq(2)), "{args:?}");
        expect_that!(ran.err, starts_with("eelgrassmill: "), "{args:?}");
        expect_that!(ran.err, contains_substring("--help"), "{args:?}");
    }
}

#[gtest]
fn lists_are_tables_or_json() {
    let node = Node::start();
    let shown = ["groups", "hosts", "nodes", "tenants", "suspects"]
        .map(|list| node.run(&[list]).out)
        .join("\n");
    insta::assert_snapshot!(shown);
    let json = node.run(&["groups", "--json"]).out;
    let groups: serde_json::Value = serde_json::from_str(&json).unwrap();
    expect_that!(
        groups[0]["reason"].as_str(),
        some(eq("engine-1 is missing"))
    );
}

#[gtest]
fn the_time_line_names_silent_nodes_and_filters() {
    let node = Node::start();
    insta::assert_snapshot!(node.run(&["timeline"]).out);
    let filtered = node
        .run(&[
            "timeline", "--host", "engine-1", "--since", "1500", "--json",
        ])
        .out;
    let line: serde_json::Value = serde_json::from_str(&filtered).unwrap();
    expect_that!(line["events"].as_array().map(Vec::len), some(eq(1)));
    expect_that!(line["silent"][0].as_str(), some(eq("node-b")));
    let smuggled = node.run(&["timeline", "--group", "a&limit=1"]);
    expect_that!(smuggled.code, some(eq(2)));
}

#[gtest]
fn addresses_are_asked_for_with_a_tenants_token() {
    let entry = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = entry.local_addr().unwrap().to_string();
    let served = std::thread::spawn(move || {
        let (stream, _) = entry.accept().unwrap();
        let mut lines = BufReader::new(&stream).lines();
        let head: Vec<String> = lines
            .by_ref()
            .map_while(|l| l.ok().filter(|l| !l.is_empty()))
            .collect();
        let body = r#"{"addresses":["10.0.0.1:8000","10.0.0.2:8000"],"keep_seconds":4}"#;
        let length = body.len();
        (&stream)
            .write_all(
                format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").as_bytes(),
            )
            .unwrap();
        head
    });
    let args = ["addresses", "--entry", &address, "--service", "chat"];
    let told = ran(program()
        .args(args)
        .env("EELGRASSMILL_TENANT_TOKEN", "guest-token"));
    expect_that!(
        told.out,
        eq("10.0.0.1:8000\n10.0.0.2:8000\n# keep for 4 s\n")
    );
    let head = served.join().unwrap();
    expect_that!(head[0], eq("GET /v1/addresses?service=chat HTTP/1.1"));
    expect_that!(head, contains(eq("authorization: Bearer guest-token")));
}

#[gtest]
fn standin_tells_its_addresses_and_ends_on_sigterm() {
    let mut child = program()
        .args([
            "standin",
            "--engines",
            "2",
            "--plain",
            "1",
            "--weights",
            "lm@v1=10",
        ])
        .args(["--log", "json"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let told: serde_json::Value = serde_json::from_str(&line).unwrap();
    expect_that!(
        told["platform"]["address"].as_str(),
        some(contains_substring("127.0.0.1:"))
    );
    let pid = i32::try_from(child.id()).unwrap();
    let killed = std::process::Command::new("kill")
        .args(["-TERM", &pid.to_string()])
        .status();
    expect_true!(killed.unwrap().success());
    let start = Instant::now();
    let mut ended = child.try_wait().unwrap();
    while ended.is_none() && start.elapsed() < Duration::from_secs(5) {
        std::thread::yield_now();
        ended = child.try_wait().unwrap();
    }
    if ended.is_none() {
        child.kill().unwrap();
    }
    expect_that!(ended.and_then(|s| s.code()), some(eq(0)));
    let mut log = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    let messages: Vec<serde_json::Value> = log
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    expect_that!(messages.len(), eq(2));
    expect_that!(
        messages[0]["message"].as_str(),
        some(eq("stand-ins started"))
    );
}
