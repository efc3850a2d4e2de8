//! Probes and orders.

use std::time::Duration;

use eelgrassmill_base::{HostId, HostReport, Order, OrderReply, value};
use eelgrassmill_stores::{HttpCaller, Reply, percent_encode};
use serde::Deserialize;

use crate::TargetError;

const DEFAULT_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_ANSWER: usize = 256 << 10;
const OK: u16 = 200;
const CONFLICT: u16 = 409;

value! { wire copy
    /// What happened to a beginning of prompts in an engine's prefix cache.
    pub enum CacheChange {
        /// It is in the cache now.
        Stored,
        /// It was thrown out.
        Evicted,
    }
}

value! { wire
    /// One event of a prefix cache.
    pub struct CacheEvent {
        /// Rises by one with every event; a number left out was lost.
        pub seq: u64,
        /// What happened.
        pub change: CacheChange,
        /// The beginning's name.
        pub prefix: u64,
    }

    /// Events of a prefix cache, as far as they are published.
    pub struct CacheEvents {
        /// The start of the host that counts these events; a new one starts over.
        pub incarnation: u64,
        /// What to ask for next.
        pub next: u64,
        /// The events, in the order of their numbers.
        pub events: Vec<CacheEvent>,
    }
}

#[derive(Deserialize)]
struct Cancelled {
    cancelled: bool,
}

/// Probes hosts and gives them orders. Every call blocks for a bounded time.
#[derive(Clone, Debug)]
pub struct HostControl {
    step_timeout: Duration,
    total_timeout: Duration,
}

/// Sets up a [`HostControl`].
#[derive(Debug)]
pub struct HostControlBuilder(HostControl);

impl HostControlBuilder {
    /// Bounds the connect, and each read and write, on its own.
    pub fn step_timeout(mut self, timeout: Duration) -> HostControlBuilder {
        self.0.step_timeout = timeout;
        self
    }

    /// Bounds the reading of a whole answer.
    pub fn total_timeout(mut self, timeout: Duration) -> HostControlBuilder {
        self.0.total_timeout = timeout;
        self
    }

    /// The control as set up.
    pub fn build(self) -> HostControl {
        self.0
    }
}

impl Default for HostControl {
    fn default() -> HostControl {
        HostControl {
            step_timeout: DEFAULT_TIMEOUT,
            total_timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl HostControl {
    /// Sets up a control; every timeout is 800 ms by default.
    pub fn builder() -> HostControlBuilder {
        HostControlBuilder(HostControl::default())
    }

    /// Asks the host at `address` for its report.
    ///
    /// # Errors
    /// When no report came. Whose report it is, is for the caller to compare.
    pub fn probe(&self, address: &str) -> Result<HostReport, TargetError> {
        let caller = self.caller(address);
        let reply = caller.get("/health")?;
        match reply.status.as_u16() {
            OK => Ok(caller.json(&reply)?),
            _ => Err(caller.unexpected_status(&reply).into()),
        }
    }

    /// Asks the host at `address` for its report, and checks that it is `host`.
    ///
    /// # Errors
    /// When no report came or another host answered.
    pub fn probe_host(&self, address: &str, host: &HostId) -> Result<HostReport, TargetError> {
        let report = self.probe(address)?;
        if report.host != *host {
            return Err(TargetError::WrongHost(report.host));
        }
        Ok(report)
    }

    /// Gives an order to the host at `address`.
    ///
    /// # Errors
    /// When no reply came; [`TargetError::may_have_arrived`] says whether the
    /// order may be obeyed all the same, now or later.
    pub fn order(&self, address: &str, order: &Order) -> Result<OrderReply, TargetError> {
        let caller = self.caller(address);
        let reply = caller.post_json("/order", order)?;
        let answer = order_reply(&caller, &reply)?;
        match answer {
            OrderReply::Obeyed(report) if report.host != order.host => {
                Err(TargetError::WrongHost(report.host))
            }
            answer => Ok(answer),
        }
    }

    /// Asks an engine for the events of its prefix cache from number `since` on.
    ///
    /// # Errors
    /// When no answer came.
    pub fn cache_events(&self, address: &str, since: u64) -> Result<CacheEvents, TargetError> {
        let caller = self.caller(address);
        let reply = caller.get(&format!("/cache-events?since={since}"))?;
        match reply.status.as_u16() {
            OK => Ok(caller.json(&reply)?),
            _ => Err(caller.unexpected_status(&reply).into()),
        }
    }

    /// Asks an engine to stop a request; whether it was there to be stopped.
    ///
    /// # Errors
    /// When no answer came.
    pub fn cancel(&self, address: &str, request: &str) -> Result<bool, TargetError> {
        let caller = self.caller(address);
        let reply = caller.post_json(&format!("/v1/cancel/{}", percent_encode(request)), &())?;
        match reply.status.as_u16() {
            OK => Ok(caller.json::<Cancelled>(&reply)?.cancelled),
            _ => Err(caller.unexpected_status(&reply).into()),
        }
    }

    fn caller(&self, address: &str) -> HttpCaller {
        HttpCaller::builder(address)
            .step_timeout(self.step_timeout)
            .total_timeout(self.total_timeout)
            .max_body_bytes(MAX_ANSWER)
            .build()
    }
}

fn order_reply(caller: &HttpCaller, reply: &Reply) -> Result<OrderReply, TargetError> {
    if !matches!(reply.status.as_u16(), OK | CONFLICT) {
        return Err(caller.unexpected_status(reply).into());
    }
    Ok(caller.json(reply)?)
}
