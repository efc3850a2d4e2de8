//! Callers that ask all the time while something happens.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eelgrassmill_standin::expected_answer;

use super::{Answer, Cluster};

/// One call and what came of it.
pub struct Called {
    pub node: usize,
    pub sent: Instant,
    pub answered: Instant,
    pub answer: Answer,
    /// Whether it was answered whole and right.
    pub right: bool,
}

struct StopAtEnd<'a>(&'a AtomicBool);

impl Drop for StopAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Pause between two calls of one caller.
const PACE: Duration = Duration::from_millis(20);

/// Asks for short completions at every node, one after the other, while `during` runs.
pub fn under_load<T>(cluster: &Cluster, during: impl FnOnce() -> T) -> (T, Vec<Called>) {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..cluster.nodes.len())
            .map(|node| {
                scope.spawn({
                    let stop = &stop;
                    move || ask(cluster, node, stop)
                })
            })
            .collect();
        let result = {
            let _stop = StopAtEnd(&stop);
            during()
        };
        let calls = callers.into_iter().flat_map(|c| c.join().unwrap());
        (result, calls.collect())
    })
}

fn ask(cluster: &Cluster, node: usize, stop: &AtomicBool) -> Vec<Called> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let prompt = format!("letter {} to node {node}", calls.len());
        let sent = Instant::now();
        let answer = cluster.complete(node, &prompt, 8);
        let answered = Instant::now();
        let right = answer.status == 200
            && answer.json()["choices"][0]["text"] == expected_answer(&prompt, 8);
        std::thread::sleep(PACE);
        calls.push(Called {
            node,
            sent,
            answered,
            answer,
            right,
        });
    }
    calls
}

/// Panics when a call got an answer that is neither whole and right nor an honest error.
pub fn check_honest(calls: &[Called]) {
    for call in calls {
        let honest = call.right || call.answer.status != 200 && !call.answer.outcome().is_empty();
        assert!(honest, "{}: {}", call.answer.status, call.answer.text);
    }
}
