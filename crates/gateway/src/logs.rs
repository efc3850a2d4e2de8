//! Structured logs on standard output that never block the node.
//!
//! If the log collector stops reading, the pipe fills up and a direct write would block the
//! process. So lines go through a bounded queue to a writer thread; lines that don't fit are
//! dropped, counted, and the count is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use eelgrassmill_base::RowVersion;
use tracing::warn;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue in lines: about two seconds at the maximum rate.
const QUEUE_LINES: usize = 2048;
/// Most lines in one second. A node under the heaviest load writes some 150; the rest is headroom
/// for errors, and the bound keeps an error storm from costing more than 1/20 of a small machine.
const MAX_LINES_PER_SECOND: u32 = 1000;
/// Most bytes of one write, unless one line is longer: writes of up to this size to a pipe are
/// atomic, so that a collector finds no torn lines.
const MAX_WRITE_BYTES: usize = 4096;
/// How long lines are batched, so that the writer thread wakes up a few times a second and not for
/// each line.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Entries of one read that are logged by name when they name no host.
const MAX_LOGGED_ENTRIES: usize = 20;
/// Shortest time between two lines of a [`LogRateLimit`].
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limit for lines that a burst would otherwise write for each request.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimit {
    last: Option<Instant>,
}

impl LogRateLimit {
    /// Whether a line may be written now; records it if so.
    pub(crate) fn is_due(&mut self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < LINE_INTERVAL;
        if self.last.is_some_and(recent) {
            return false;
        }
        self.last = Some(now);
        true
    }
}

/// The queue of log lines; cheap to clone.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Lines that were queued and are not written yet.
    pending: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts a queue with a thread that writes its lines to `out`.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<LogQueue> {
        let (lines, rx) = bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicU64::new(0));
        let queue = LogQueue {
            lines,
            dropped: Arc::clone(&dropped),
            pending: Arc::clone(&pending),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, out, &dropped, &pending))?;
        Ok(queue)
    }

    /// Waits until all lines so far are written, at most for `timeout`: the last lines of a process
    /// show how it ended.
    pub fn drain(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < end {
            thread::sleep(BATCH_DELAY / 4);
        }
    }

    /// Lines that were dropped and are not yet reported by a `log-dropped` line.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for LogQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
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

fn write_lines(
    lines: &Receiver<Vec<u8>>,
    mut out: impl Write,
    dropped: &AtomicU64,
    pending: &AtomicU64,
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
        let mut received = 0;
        // Bounded: a burst may fill the queue as fast as it is read.
        let batch = lines.try_iter().take(QUEUE_LINES);
        for line in std::iter::once(first).chain(batch) {
            written += 1;
            received += 1;
            if written > MAX_LINES_PER_SECOND {
                dropped.fetch_add(1, Ordering::Relaxed);
            } else {
                buf.extend_from_slice(&line);
            }
        }
        let dropped_now = dropped.load(Ordering::Relaxed);
        if dropped_now > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"log-dropped\",\"lines\":{dropped_now}}}\n"
            );
            buf.extend_from_slice(line.as_bytes());
        }
        // If standard output is closed, there is nowhere to report it.
        if write_batches(&mut out, &buf).is_err() {
            return;
        }
        dropped.fetch_sub(dropped_now, Ordering::Relaxed);
        pending.fetch_sub(received, Ordering::AcqRel);
    }
}

/// Entries of one read of the host list that name no host to use.
///
/// The first ones are logged by name, and how many there are when it is dropped.
#[derive(Debug, Default)]
pub struct SkippedEntries(usize);

impl SkippedEntries {
    /// Adds an entry.
    pub fn add(&mut self, host: &str, version: RowVersion) {
        self.0 += 1;
        if self.0 <= MAX_LOGGED_ENTRIES {
            warn!(event = "host-entry", %host, version, outcome = "unreadable");
        }
    }
}

impl Drop for SkippedEntries {
    fn drop(&mut self) {
        if self.0 > MAX_LOGGED_ENTRIES {
            warn!(
                event = "host-entry",
                outcome = "unreadable",
                entries = self.0
            );
        }
    }
}

/// Writes complete lines, several per write up to [`MAX_WRITE_BYTES`].
fn write_batches(out: &mut impl Write, lines: &[u8]) -> io::Result<()> {
    let mut batch = Vec::new();
    for line in lines.split_inclusive(|b| *b == b'\n') {
        if !batch.is_empty() && batch.len() + line.len() > MAX_WRITE_BYTES {
            out.write_all(&batch)?;
            batch.clear();
        }
        batch.extend_from_slice(line);
    }
    out.write_all(&batch)?;
    out.flush()
}

/// Starts logging to standard output; lines below `level` are not written.
///
/// # Errors
/// If the writer thread can't be started.
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
    // It fails only if logging was already initialized in this process, which stays in place.
    drop(started);
    Ok(queue)
}
