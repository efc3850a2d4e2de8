//! Drafts that give way to urgent calls, and go on afterwards.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::time::{Duration, Instant};

use eelgrassmill_standin::expected_token;
use util::{Cluster, completion, eventually, text};

const COMPLAINTS_SHA: &str = "bcb1994f40e5b38398058e5477c481623c3e7916b39197c684b8fdcf303b7ead";
const DRAFT_TOKENS: u64 = 2_000;

/// All slots of the only group run long drafts of one tenant, and a guest of
/// another clicks for a refund check. Without giving way the guest waits until
/// a draft ends, which takes as long as the draft is. The draft that gave way
/// must come whole all the same, with each of its tokens once.
#[test]
fn an_urgent_call_does_not_wait_for_a_draft_to_end() {
    let cluster = Cluster::start(1, 2);
    let text = text(1).replace("slots = 8\nurgent_slots = 2", "slots = 2\nurgent_slots = 0")
        + &format!("\n[tenant complaints]\ntoken_sha256 = {COMPLAINTS_SHA}\n");
    cluster.accept(&text, 0);
    cluster.wait_whole(1);
    std::thread::scope(|scope| {
        let drafts: Vec<_> = (0..2)
            .map(|i| {
                let cluster = &cluster;
                scope.spawn(move || {
                    let body = completion(&format!("draft {i}"), DRAFT_TOKENS, true);
                    let raw = cluster.raw(0, "/v1/completions", &[], &body);
                    (raw, Instant::now())
                })
            })
            .collect();
        eventually("both drafts run", || cluster.engine_runs().len() == 2);
        let headers = [
            ("authorization", "Bearer complaints-token"),
            ("priority", "u=0"),
        ];
        let body = completion("refund?", 4, false);
        let address = cluster.nodes[0].caller_address();
        let asked = Instant::now();
        let answer = util::call(address, "POST", "/v1/completions", &headers, &body);
        let answered = Instant::now();
        assert_eq!(answer.status, 200, "{}", answer.text);
        for (i, draft) in drafts.into_iter().enumerate() {
            let (raw, ended) = draft.join().unwrap();
            assert!(ended > answered, "draft {i} ended before the urgent call");
            assert!(raw.ended, "{}", raw.head);
            let expected: Vec<String> = (0..DRAFT_TOKENS)
                .map(|t| expected_token(&format!("draft {i}"), t))
                .collect();
            let got: Vec<String> = raw.tokens().iter().map(|t| t.trim().to_owned()).collect();
            assert_eq!(got, expected);
        }
        let took = answered - asked;
        assert!(took < Duration::from_secs(2), "urgent call took {took:?}");
    });
    let runs = cluster.engine_runs();
    let resumed = runs.iter().filter(|run| run.resume_from > 0).count();
    assert_eq!(resumed, 1, "{runs:?}");
}
