//! Log lines on standard error, as text or JSON.

use eelgrassmill_node::LogSettings;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt;

/// Starts logging; a second start in one process is ignored.
pub(crate) fn start(settings: &LogSettings) {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::INFO);
    let lines = fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_target(false);
    let started = if settings.json {
        lines.json().flatten_event(true).try_init()
    } else {
        lines.with_ansi(false).try_init()
    };
    // Only a second start fails, and the first one goes on.
    let _ = started;
}
