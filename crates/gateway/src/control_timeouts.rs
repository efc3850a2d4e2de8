//! Timeouts of orders and report requests to hosts.
//!
//! Short ones detect within a second that a host is gone. A host that always takes longer would
//! never be heard again: its timeouts follow the time that it takes, and grow while it is silent.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::HostId;

/// Longest timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);
/// A host may take this many times longer than the last time.
const SLOWDOWN: u32 = 2;

/// The timeouts of hosts for which the usual ones are too short.
#[derive(Debug, Default)]
pub(crate) struct ControlTimeouts(BTreeMap<HostId, Duration>);

impl ControlTimeouts {
    /// The timeout of a call to a host that usually has `usual`.
    pub(crate) fn timeout(&self, host: &HostId, usual: Duration) -> Duration {
        self.0.get(host).copied().unwrap_or_default().max(usual)
    }

    /// Records the time that a host took to answer a call that usually has the timeout `usual`.
    pub(crate) fn record_answer(&mut self, host: &HostId, took: Duration, usual: Duration) {
        let timeout = (took * SLOWDOWN).min(MAX_TIMEOUT);
        if timeout > usual {
            self.0.insert(host.clone(), timeout);
        } else {
            self.0.remove(host);
        }
    }

    /// Records that a host that counts as silent didn't answer in time.
    pub(crate) fn record_silence(&mut self, host: &HostId, usual: Duration) {
        let timeout = self.timeout(host, usual) * SLOWDOWN;
        self.0.insert(host.clone(), timeout.min(MAX_TIMEOUT));
    }

    /// Forgets hosts that aren't listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&HostId) -> bool) {
        self.0.retain(|host, _| is_listed(host));
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    const USUAL: Duration = Duration::from_millis(200);

    /// Guards against a host that answers each call a moment after it was given up.
    #[gtest]
    fn a_silent_host_gets_more_time_at_each_call() {
        let (mut timeouts, host) = (ControlTimeouts::default(), HostId::from("w-1"));
        expect_that!(timeouts.timeout(&host, USUAL), eq(USUAL));
        let mut seen = Vec::new();
        for _ in 0..6 {
            timeouts.record_silence(&host, USUAL);
            seen.push(timeouts.timeout(&host, USUAL).as_millis());
        }
        expect_that!(seen, eq(&[400, 800, 1600, 3200, 4000, 4000]));
        timeouts.record_answer(&host, 3 * USUAL, USUAL);
        expect_that!(timeouts.timeout(&host, USUAL), eq(6 * USUAL));
        timeouts.record_answer(&host, USUAL / 4, USUAL);
        expect_that!(timeouts.timeout(&host, USUAL), eq(USUAL));
    }
}
