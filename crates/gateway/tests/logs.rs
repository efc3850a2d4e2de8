//! Bounds of the log queue.

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use eelgrassmill_gateway::LogQueue;
use googletest::prelude::*;

/// A writer that blocks at the first write until the test ends.
struct BlockedWriter(mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Returns an error when the test drops the sender.
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a blocked node when the log collector stops reading during a burst of lines.
/// Lines must be dropped and counted instead.
#[gtest]
fn a_blocked_writer_does_not_block_the_node() {
    let (unblock, blocked) = mpsc::channel();
    let mut queue = LogQueue::start(BlockedWriter(blocked)).expect("the writer thread starts");
    let began = Instant::now();
    for n in 0..50_000 {
        writeln!(queue, "line {n}").expect("writes to the queue never fail");
    }
    expect_that!(began.elapsed(), lt(Duration::from_secs(5)));
    expect_that!(queue.dropped(), gt(40_000));
    drop(unblock);
}

/// A writer that passes its output to the test.
struct CapturingWriter(mpsc::Sender<Vec<u8>>);

impl Write for CapturingWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.send(buf.to_vec()).map_err(std::io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn a_burst_of_lines_is_bounded_and_drops_are_logged() {
    let (tx, rx) = mpsc::channel();
    let mut queue = LogQueue::start(CapturingWriter(tx)).expect("the writer thread starts");
    for n in 0..1800 {
        queue
            .write_all(format!("line {n}\n").as_bytes())
            .expect("writes to the queue never fail");
    }
    std::thread::sleep(Duration::from_millis(400));
    let text = String::from_utf8(rx.try_iter().flatten().collect()).expect("the output is UTF-8");
    expect_that!(
        text.lines().filter(|l| l.starts_with("line")).count(),
        eq(1000)
    );
    expect_that!(
        text,
        contains_substring("\"event\":\"log-dropped\",\"lines\":800")
    );
}

/// Guards against losing the number of dropped lines while the collector doesn't read.
#[gtest]
fn dropped_lines_count_until_they_are_reported() {
    let (unblock, blocked) = mpsc::channel();
    let mut queue = LogQueue::start(BlockedWriter(blocked)).expect("the writer thread starts");
    for n in 0..1800 {
        queue
            .write_all(format!("line {n}\n").as_bytes())
            .expect("writes to the queue never fail");
    }
    std::thread::sleep(Duration::from_millis(400));
    expect_that!(queue.dropped(), eq(800));
    drop(unblock);
}
