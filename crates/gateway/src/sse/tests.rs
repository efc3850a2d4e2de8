//! Tests of splitting a byte stream into events.

use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;

use crate::sse::{EventError, EventSplitter, MAX_EVENT_BYTES, MAX_EVENT_TIME};

/// Bytes that are read from a connection at once.
const CHUNK_BYTES: usize = 64 << 10;
/// Far more than a host sends in the time of a request.
const ENDLESS_BYTES: usize = 64 << 20;

fn push(splitter: &mut EventSplitter, bytes: &[u8]) -> Option<Bytes> {
    let pushed = splitter.push(bytes, Duration::ZERO);
    let pushed = pushed.expect("the event is no longer than permitted");
    pushed.map(|events| events.bytes)
}

/// Pushes chunks of an event without end until it is refused. Returns how many bytes it took.
fn push_endless(splitter: &mut EventSplitter, chunk: &[u8]) -> usize {
    for n in 0..ENDLESS_BYTES / chunk.len() {
        match splitter.push(chunk, Duration::ZERO) {
            Ok(None) => {}
            Ok(Some(_)) => panic!("it has no end"),
            Err(err) => {
                assert_that!(err, eq(EventError::TooLong));
                return n * chunk.len();
            }
        }
    }
    ENDLESS_BYTES
}

/// The shortest of several times, so that other work on the machine matters less.
fn fastest(work: impl Fn()) -> Duration {
    let times = (0..5).map(|_| {
        let began = Instant::now();
        work();
        began.elapsed()
    });
    times.min().expect("there are several")
}

#[gtest]
fn events_are_the_same_in_chunks_of_any_size() {
    for stream in [
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\nda",
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\r\n\r",
    ] {
        let mut whole = EventSplitter::default();
        let expected = push(&mut whole, stream.as_bytes());
        for size in 1..stream.len() {
            let mut splitter = EventSplitter::default();
            let mut events = Vec::new();
            for chunk in stream.as_bytes().chunks(size) {
                events.extend(push(&mut splitter, chunk).into_iter().flatten());
            }
            expect_that!(Some(Bytes::from(events)), eq(&expected), "{size}");
            expect_that!(splitter.last_id(), eq(whole.last_id()));
            expect_that!(splitter.last_id().map(|id| id.as_str()), some(eq("2")));
            expect_that!(splitter.has_partial_event(), eq(true));
        }
    }
}

/// Guards against an event without end that takes all memory.
#[gtest]
fn an_event_without_end_is_refused_in_bounded_memory() {
    for chunk in [&[b'x'][..], &[b'x'; 1000], b"\nx", &[b'x'; CHUNK_BYTES]] {
        let mut splitter = EventSplitter::default();
        let taken = push_endless(&mut splitter, chunk);
        expect_that!(taken, le(MAX_EVENT_BYTES), "{}", chunk.len());
        expect_that!(
            splitter.buf.capacity(),
            le(2 * (MAX_EVENT_BYTES + CHUNK_BYTES))
        );
        splitter.discard_partial_event();
        expect_that!(splitter.buf.capacity(), eq(0));
    }
}

/// Guards against an event without end behind sound ones.
#[gtest]
fn an_event_without_end_is_refused_after_sound_events() {
    let mut splitter = EventSplitter::default();
    for n in 0..1000 {
        let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(1000));
        expect_that!(
            push(&mut splitter, event.as_bytes()),
            some(len(eq(event.len())))
        );
    }
    expect_that!(
        push_endless(&mut splitter, &[b'x'; 1000]),
        le(MAX_EVENT_BYTES)
    );
    expect_that!(splitter.last_id().map(|id| id.as_str()), some(eq("999")));
}

/// Guards against refusing large events that end.
#[gtest]
fn a_large_event_in_several_chunks_is_whole() {
    for size in [1, 1000, CHUNK_BYTES] {
        let event = format!("id: 7\ndata: {}\n\n", "x".repeat(3 * CHUNK_BYTES));
        let mut splitter = EventSplitter::default();
        let chunks = event.as_bytes().chunks(size);
        let events: Vec<Bytes> = chunks.filter_map(|c| push(&mut splitter, c)).collect();
        expect_that!(events, elements_are![eq(event.as_bytes())]);
    }
}

/// Guards against a cost that grows with the square of an event's length.
#[gtest]
fn the_cost_of_a_large_event_grows_with_its_length() {
    for size in [1, CHUNK_BYTES] {
        let cost = |length: usize| {
            let events = 4 * MAX_EVENT_BYTES / length;
            let event = format!("data:{}\n\n", "x".repeat(length - 7));
            fastest(|| {
                let mut splitter = EventSplitter::default();
                for _ in 0..events {
                    for chunk in event.as_bytes().chunks(size) {
                        push(&mut splitter, chunk);
                    }
                }
            })
        };
        // As many bytes, in events 256 times as long.
        let (short, long) = (cost(MAX_EVENT_BYTES / 256), cost(MAX_EVENT_BYTES));
        expect_that!(long, le(4 * short), "{size}");
    }
}

/// Guards against an event that comes byte by byte until the caller gives up.
#[gtest]
fn an_event_that_trickles_is_refused_in_time() {
    let mut splitter = EventSplitter::default();
    let pause = Duration::from_millis(30);
    let refused = (0..1000).position(|_| splitter.push(b"x", pause).is_err());
    let limit = (MAX_EVENT_TIME.as_millis() / pause.as_millis()) as usize;
    expect_that!(refused, some(le(limit + 2)));
}

/// Guards against refusing an event of a host that was silent within it and goes on.
#[gtest]
fn an_event_that_ends_after_a_silence_is_whole() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, b"data: a");
    let ended = splitter.push(b"b\n\n", 2 * MAX_EVENT_TIME);
    let ended = ended.expect("it has ended").expect("it has ended");
    expect_that!(ended.bytes, eq(&b"data: ab\n\n"[..]));
}

/// Guards against refusing an event because its host was silent within it, although more is to come.
#[gtest]
fn a_silence_within_an_event_counts_little() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, b"data: a");
    expect_that!(splitter.push(b"b", 3 * MAX_EVENT_TIME), ok(none()));
    let ended = push(&mut splitter, b"c\n\n");
    expect_that!(ended, some(eq(&b"data: abc\n\n"[..])));
}

/// Guards against adding up the pauses between events.
#[gtest]
fn pauses_between_events_do_not_count_for_the_next_one() {
    let mut splitter = EventSplitter::default();
    for _ in 0..10 {
        expect_that!(splitter.push(b"data: a", 2 * MAX_EVENT_TIME), ok(none()));
        let ended = splitter.push(b"\n\n", MAX_EVENT_TIME / 2);
        expect_that!(ended, ok(some(anything())));
    }
}

/// Guards against handing on bytes that are no events because they have empty lines.
#[gtest]
fn bytes_with_empty_lines_are_no_events() {
    for junk in [
        "xxxx\n\n",
        "data: a\n\nxxxx\n\ndata: b\n\n",
        "<html>\r\n\r\n",
        "database\n\n",
    ] {
        let pushed = EventSplitter::default().push(junk.as_bytes(), Duration::ZERO);
        expect_that!(pushed, err(eq(&EventError::NoEvent)), "{junk:?}");
    }
}

/// Guards against comments that count as progress for ever.
#[gtest]
fn empty_events_without_end_are_refused() {
    for empty in [": still there\n\n", "\n\n", "retry: 1\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        let mut taken = 0;
        while let Ok(events) = splitter.push(empty.as_bytes(), Duration::ZERO) {
            let events = events.expect("they are complete");
            expect_that!(events.are_empty, eq(true));
            taken += empty.len();
            assert_that!(taken, le(MAX_EVENT_BYTES), "{empty:?}");
        }
    }
}

/// Guards against refusing a stream with comments between its events.
#[gtest]
fn comments_between_events_are_handed_on() {
    let mut splitter = EventSplitter::default();
    for n in 0..2 * MAX_EVENT_BYTES / 1000 {
        let comment = format!(":{}\n\n", "x".repeat(1000));
        expect_that!(push(&mut splitter, comment.as_bytes()), some(len(eq(1003))));
        let event = format!("id: {n}\ndata\nother: 1\n\n");
        let events = splitter.push(event.as_bytes(), Duration::ZERO);
        let events = events.expect("it is sound").expect("it is complete");
        expect_that!(events.are_empty, eq(false));
        expect_that!(events.bytes, eq(event.as_bytes()));
    }
}
