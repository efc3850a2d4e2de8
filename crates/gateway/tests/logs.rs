//! Log lines: bounded, told when dropped, and never in the way.

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use eelgrassmill_gateway::LogQueue;
use googletest::prelude::*;

/// A reader that never reads: the first write waits until the test ends.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Ends with an error when the test drops its side, which is as good.
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whoever collects the logs stops reading in the middle of a storm of lines. The node
/// must go on as if nothing had happened, and count what it dropped.
#[gtest]
fn a_reader_that_never_reads_holds_nothing_up() {
    let (keep, stuck) = mpsc::channel();
    let mut queue = LogQueue::start(Stuck(stuck)).expect("a thread starts");
    let began = Instant::now();
    for n in 0..50_000 {
        writeln!(queue, "line {n}").expect("writing a line never fails");
    }
    expect_that!(began.elapsed(), lt(Duration::from_secs(5)));
    expect_that!(queue.dropped(), gt(40_000));
    drop(keep);
}

/// What a writer got, for the test to look at.
struct Kept(mpsc::Sender<Vec<u8>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.send(buf.to_vec()).map_err(std::io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn a_storm_of_lines_is_bounded_and_what_was_dropped_is_told() {
    let (tx, rx) = mpsc::channel();
    let mut queue = LogQueue::start(Kept(tx)).expect("a thread starts");
    for n in 0..1800 {
        queue
            .write_all(format!("line {n}\n").as_bytes())
            .expect("it never fails");
    }
    std::thread::sleep(Duration::from_millis(400));
    let text = String::from_utf8(rx.try_iter().flatten().collect()).expect("it is text");
    expect_that!(
        text.lines().filter(|l| l.starts_with("line")).count(),
        eq(1000)
    );
    expect_that!(
        text,
        contains_substring("\"event\":\"log-dropped\",\"lines\":800")
    );
}
