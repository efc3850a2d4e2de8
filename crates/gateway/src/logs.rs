//! Structured lines on standard output that never hold up the node.
//!
//! A reader that stops reading fills the pipe, and a write to it then stops the process.
//! So lines go through a bounded queue to a thread of their own; what finds no room is
//! dropped, counted and told.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait for the reader: about two seconds of the most that is written.
const QUEUE: usize = 2048;
/// Most lines in one second. A node under the heaviest load writes some 150; the rest is
/// for what goes wrong, and the bound keeps a storm of it from costing more than 1 in 20
/// of a small machine.
const LINES_PER_SECOND: u32 = 1000;
/// Most bytes of one write, unless one line is longer: a pipe takes that much whole, and a
/// collector that reads in pieces finds no line torn apart.
const PIECE: usize = 4096;
/// The lines of at most this time are written together, so that the thread that writes
/// wakes up a few times a second and not for each line.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Shortest time between two lines of a [`LogRateLimit`].
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds lines that a burst would otherwise write for each request.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimit {
    last: Option<Instant>,
}

impl LogRateLimit {
    /// Whether a line may be written now; notes it if so.
    pub(crate) fn is_due(&mut self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < LINE_INTERVAL;
        if self.last.is_some_and(recent) {
            return false;
        }
        self.last = Some(now);
        true
    }
}

/// Where lines go; cheap to clone.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Lines that were taken and are not written yet.
    waiting: Arc<AtomicU64>,
}

impl LogQueue {
    /// A queue whose lines a thread writes to `out`.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<LogQueue> {
        let (lines, rx) = bounded(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let waiting = Arc::new(AtomicU64::new(0));
        let queue = LogQueue {
            lines,
            dropped: Arc::clone(&dropped),
            waiting: Arc::clone(&waiting),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&rx, out, &dropped, &waiting))?;
        Ok(queue)
    }

    /// Waits until all lines so far are written, at most for `most`: the last lines of a
    /// process are those that say how it ended.
    pub fn drain(&self, most: Duration) {
        let end = Instant::now() + most;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < end {
            thread::sleep(BATCH_DELAY / 4);
        }
    }

    /// Lines that found no room so far and were not told yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for LogQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LogQueue;

    fn make_writer(&'a self) -> LogQueue {
        self.clone()
    }
}

fn write_all(
    lines: &Receiver<Vec<u8>>,
    mut out: impl Write,
    dropped: &AtomicU64,
    waiting: &AtomicU64,
) {
    let mut second = Instant::now();
    let mut written = 0;
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        if second.elapsed() >= Duration::from_secs(1) {
            second = Instant::now();
            written = 0;
        }
        let mut buf = Vec::new();
        let mut taken = 0;
        for line in std::iter::once(first).chain(lines.try_iter()) {
            written += 1;
            taken += 1;
            if written > LINES_PER_SECOND {
                dropped.fetch_add(1, Ordering::Relaxed);
            } else {
                buf.extend_from_slice(&line);
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"event\":\"log-dropped\",\"lines\":{lost}}}\n");
            buf.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to be told when standard output is gone.
        if write_pieces(&mut out, &buf).is_err() {
            return;
        }
        waiting.fetch_sub(taken, Ordering::AcqRel);
    }
}

/// Writes whole lines, several together as long as they stay under [`PIECE`].
fn write_pieces(out: &mut impl Write, lines: &[u8]) -> io::Result<()> {
    let mut piece = Vec::new();
    for line in lines.split_inclusive(|b| *b == b'\n') {
        if !piece.is_empty() && piece.len() + line.len() > PIECE {
            out.write_all(&piece)?;
            piece.clear();
        }
        piece.extend_from_slice(line);
    }
    out.write_all(&piece)?;
    out.flush()
}

/// Starts logging to standard output; lines below `level` are not written.
///
/// # Errors
/// When no thread can be started.
pub fn init_logging(level: &str) -> io::Result<LogQueue> {
    let queue = LogQueue::start(io::stdout())?;
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    let lines = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false);
    let started = lines
        .with_max_level(level)
        .with_writer(queue.clone())
        .try_init();
    // Only a second start in one process fails, and the first one goes on.
    drop(started);
    Ok(queue)
}
