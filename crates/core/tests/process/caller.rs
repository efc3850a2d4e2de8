//! Callers that follow the addresses and check every answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eelgrassmill_standin::{expected_answer, expected_plain_answer};
use serde_json::{Value, json};

use super::http::{Reply, ask};
use super::world::TENANT;

const TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);
/// Longest time in which a final refusal counts as given at once.
pub const AT_ONCE: Duration = Duration::from_secs(2);

/// What became of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    NotRun,
    /// A call with the same key goes on.
    InProgress,
    Unknown,
    /// The answer is whole and not the one to this call.
    Wrong,
    /// No head of an answer came, or a stream broke off.
    Broken,
}

/// Sends a call and judges its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Short,
    Stream,
    Refund,
}

/// Counts, and what was odd.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub whole: u64,
    pub not_run: u64,
    pub in_progress: u64,
    pub unknown: u64,
    pub wrong: u64,
    pub broken: u64,
    /// Refusals as not run that came late or told no time to come back.
    pub late_or_bare: u64,
    /// Longest time between two whole answers.
    pub gap: Duration,
    pub odd: Vec<String>,
    last: Option<Instant>,
}

impl Tally {
    pub fn failed(&self) -> u64 {
        self.not_run + self.in_progress + self.unknown + self.wrong + self.broken
    }

    fn add(&mut self, end: End, what: impl FnOnce() -> String) {
        match end {
            End::Whole => {
                let now = Instant::now();
                let last = self.last.replace(now).unwrap_or(now);
                self.gap = self.gap.max(now - last);
                self.whole += 1;
                return;
            }
            End::NotRun => self.not_run += 1,
            End::InProgress => self.in_progress += 1,
            End::Unknown => self.unknown += 1,
            End::Wrong => self.wrong += 1,
            End::Broken => self.broken += 1,
        }
        if self.odd.len() < 8 {
            self.odd.push(what());
        }
    }
}

/// Callers that go on until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers that ask `entries` for addresses.
    pub fn start(entries: &[SocketAddr], call: Call, count: usize) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let threads = (0..count).map(|i| {
            let (stop, tally) = (stop.clone(), tally.clone());
            let mut book = AddressBook::new(entries, call, i);
            std::thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    one_call(&mut book, call, &format!("{call:?}-{i}-{n}"), &tally);
                    std::thread::sleep(PAUSE);
                }
            })
        });
        Callers {
            threads: threads.collect(),
            stop,
            tally,
        }
    }

    /// The counts until now, counted anew from here on.
    pub fn take(&self) -> Tally {
        let mut tally = self.tally.lock().expect("the counts");
        let last = tally.last;
        let taken = std::mem::take(&mut *tally);
        tally.last = last;
        taken
    }

    /// Ends the callers; gives the counts.
    pub fn stop(mut self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a caller");
        }
        self.take()
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn one_call(book: &mut AddressBook, call: Call, name: &str, tally: &Mutex<Tally>) {
    let Some(at) = book.address() else {
        let mut tally = tally.lock().expect("the counts");
        return tally.add(End::Broken, || format!("{name}: no addresses"));
    };
    let sent = Instant::now();
    let (end, reply) = send(call, at, name, name);
    let took = sent.elapsed();
    if end != End::Whole {
        book.next();
    }
    let mut tally = tally.lock().expect("the counts");
    let retry_after = reply.as_ref().and_then(|r| r.retry_after);
    if end == End::NotRun && (took > AT_ONCE || retry_after.is_none()) {
        tally.late_or_bare += 1;
    }
    tally.add(end, || {
        let body = reply.map(|r| r.body.unwrap_or_else(|e| e.to_string()));
        format!("{name} at {at} after {took:?}: {end:?} {body:?}")
    });
}

/// Sends one call to an entry; `key` counts for refunds.
pub fn send(call: Call, at: SocketAddr, name: &str, key: &str) -> (End, Option<Reply>) {
    let token = format!("Bearer {TENANT}");
    let mut headers = vec![("authorization", token.as_str())];
    let tokens = if call == Call::Stream { 100 } else { 8 };
    let (path, body) = match call {
        Call::Refund => {
            headers.push(("idempotency-key", key));
            ("/services/booking/refunds/check", name.to_owned())
        }
        _ => {
            let stream = call == Call::Stream;
            let body = json!({
                "model": "reviews", "prompt": name, "max_tokens": tokens, "stream": stream,
            });
            ("/v1/completions", body.to_string())
        }
    };
    let Ok(reply) = ask("POST", at, path, &headers, &body, TIMEOUT) else {
        return (End::Broken, None);
    };
    let expected = match call {
        Call::Refund => expected_plain_answer(name),
        _ => expected_answer(name, tokens),
    };
    (judge(call, &reply, &expected), Some(reply))
}

fn judge(call: Call, reply: &Reply, expected: &str) -> End {
    let Ok(body) = &reply.body else {
        return End::Broken;
    };
    let json = reply.json();
    match (reply.status, json["outcome"].as_str()) {
        (200, _) => {}
        (409, Some("unknown")) => return End::InProgress,
        (_, Some("not-run")) => return End::NotRun,
        _ => return End::Unknown,
    }
    let got = match call {
        Call::Short => json["choices"][0]["text"].as_str().map(str::to_owned),
        Call::Refund => json["answer"].as_str().map(str::to_owned),
        Call::Stream => streamed(body),
    };
    match got {
        Some(got) if got == expected => End::Whole,
        _ => End::Wrong,
    }
}

/// The text of a stream; `None` when its end marker is missing.
fn streamed(body: &str) -> Option<String> {
    let mut text = String::new();
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return Some(text);
        }
        let event: Value = serde_json::from_str(data).ok()?;
        text.push_str(event["choices"][0]["text"].as_str()?);
    }
    None
}

/// The addresses that a caller was told, for as long as it may keep them.
struct AddressBook {
    entries: Vec<SocketAddr>,
    service: &'static str,
    told: Vec<SocketAddr>,
    until: Instant,
    place: usize,
    asked: usize,
}

impl AddressBook {
    fn new(entries: &[SocketAddr], call: Call, asked: usize) -> AddressBook {
        AddressBook {
            entries: entries.to_vec(),
            service: if call == Call::Refund {
                "booking"
            } else {
                "reviews"
            },
            told: Vec::new(),
            until: Instant::now(),
            // Callers that start together spread over what they are told.
            place: asked,
            asked,
        }
    }

    fn address(&mut self) -> Option<SocketAddr> {
        if self.told.is_empty() || Instant::now() >= self.until {
            self.refresh();
        }
        let place = self.place % self.told.len().max(1);
        self.told.get(place).copied()
    }

    /// Goes on to the next address of the answer.
    fn next(&mut self) {
        self.place += 1;
    }

    /// Asks the entries one after the other, from the one that answered last.
    fn refresh(&mut self) {
        let path = format!("/v1/addresses?service={}", self.service);
        for _ in 0..self.entries.len() {
            let at = self.entries[self.asked % self.entries.len()];
            // Counted from before the question, so that the answer is never kept too long.
            let asked = Instant::now();
            let reply = ask("GET", at, &path, &[], "", Duration::from_millis(800));
            if let Ok(reply) = reply
                && reply.status == 200
            {
                let json = reply.json();
                self.until =
                    asked + Duration::from_secs(json["keep_seconds"].as_u64().unwrap_or(0));
                let told = json["addresses"].as_array().into_iter().flatten();
                self.told = told.filter_map(|a| a.as_str()?.parse().ok()).collect();
                return;
            }
            self.asked += 1;
        }
    }
}
