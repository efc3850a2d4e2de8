//! Calls that run on when their callers have left.

use tokio::sync::watch;

/// Counts the calls that this node runs to their end whether or not a caller still waits.
///
/// Connections alone don't tell: the one of such a call may be gone.
#[derive(Debug, Default)]
pub(crate) struct Running(watch::Sender<usize>);

/// One call; it counts until this is dropped.
pub(crate) struct RunningCall(watch::Sender<usize>);

impl Running {
    pub(crate) fn begin(&self) -> RunningCall {
        self.0.send_modify(|count| *count += 1);
        RunningCall(self.0.clone())
    }

    /// Waits until none runs.
    pub(crate) async fn until_none(&self) {
        // The sender lives as long as `self`, so this ends only by the value.
        let _ = self.0.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
