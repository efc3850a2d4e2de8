//! The whole path: from a submitted text to a caller's whole answer, while a host dies.

mod util;

use eelgrassmill_standin::expected_answer;
use util::{Cluster, eventually, text};

fn answer_of(json: &serde_json::Value) -> &str {
    json["choices"][0]["text"].as_str().expect("a completion")
}

#[test]
fn a_request_is_answered_whole_at_every_node() {
    let cluster = Cluster::start(3, 4);
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    for i in 0..3 {
        let answer = cluster.complete(i, "Thank you for your review.", 12);
        assert_eq!(answer.status, 200, "{}", answer.text);
        let expected = expected_answer("Thank you for your review.", 12);
        assert_eq!(answer_of(&answer.json()), expected);
    }
}

/// A machine of the group loses its power. The engine on the lead would go on
/// answering from a broken replica; a guest would get garbage or nothing. The
/// group must stop serving within the age that evidence may have, and another
/// one must be formed from the spare hosts.
#[test]
fn a_group_without_a_host_stops_and_another_is_formed() {
    let cluster = Cluster::start(3, 4);
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let (group, members) = cluster.serving(0)[0].clone();
    let lost = members[1].clone();
    cluster.fault(&lost, "die", "");
    for i in 0..3 {
        eventually(
            "the group stops serving or is formed without the host",
            || {
                let serving = cluster.serving(i);
                serving.iter().all(|(_, m)| !m.contains(&lost))
            },
        );
    }
    cluster.wait_whole(1);
    let (again, members) = cluster.serving(0)[0].clone();
    assert_eq!(again, group);
    assert!(!members.contains(&lost), "{members:?}");
    let answer = cluster.complete(1, "After the repair.", 5);
    assert_eq!(answer.status, 200, "{}", answer.text);
}

#[test]
fn a_plain_service_answers_and_repeats_an_answer() {
    let cluster = Cluster::start(2, 2);
    cluster.accept(&text(1), 0);
    let key = [("idempotency-key", "refund-1")];
    eventually("the plain service serves", || {
        cluster
            .caller(0, "/services/booking/ready", &[], "ping")
            .status
            == 200
    });
    let first = cluster.caller(0, "/services/booking/refund", &key, "room 7");
    assert_eq!(first.status, 200, "{}", first.text);
    let again = cluster.caller(1, "/services/booking/refund", &key, "room 7");
    assert_eq!((again.status, &again.text), (200, &first.text));
    let other = cluster.caller(1, "/services/booking/refund", &key, "room 8");
    assert_eq!((other.status, other.outcome().as_str()), (422, "not-run"));
    let runs = cluster.standins.runs("plain-0").unwrap();
    assert_eq!(runs.by_key.get("refund-1"), Some(&1));
}
