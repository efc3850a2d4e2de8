//! A node's process, from its start to its stop.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};
use tracing::info;

use crate::gateway::{Gateway, GatewayError};
use crate::ports::Platform;
use crate::reload::SettingsFollower;
use crate::settings::Settings;

/// Why a node ended.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// It did not start.
    #[error(transparent)]
    Start(#[from] GatewayError),
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(#[from] std::io::Error),
    /// Requests were still in progress when the time to stop ran out.
    #[error("requests were still in progress when the time to stop ran out")]
    StoppedLate,
}

/// Starts a node, and runs it until SIGTERM or SIGINT. `file` has its settings and may change meanwhile.
///
/// # Errors
/// When it can't start, or did not end in time.
pub async fn run_until_stopped<P: Platform>(
    settings: Settings,
    file: &Path,
    start: impl AsyncFnOnce(Settings) -> Result<Gateway<P>, GatewayError>,
) -> Result<(), RunError> {
    // Before the node starts: a signal that follows at once must find it.
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let node = settings.gateway.node.clone();
    let running = start(settings.clone()).await?;
    info!(event = "start", %node);
    let mut follower = SettingsFollower::new(settings, file);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => follower.reload(&running),
            () = follower.wait() => follower.check(&running),
        }
    }
    // The file may have changed without a signal, and may change during the stop.
    follower.reload(&running);
    let stopped = running.stop();
    tokio::pin!(stopped);
    let done = loop {
        tokio::select! {
            done = &mut stopped => break done,
            _ = hup.recv() => follower.reload(&running),
            () = follower.wait() => follower.check(&running),
        }
    };
    info!(event = "stopped", %node, done);
    if done {
        Ok(())
    } else {
        Err(RunError::StoppedLate)
    }
}
