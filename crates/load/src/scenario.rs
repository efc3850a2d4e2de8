//! A scenario as checked values.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{ServiceName, TenantId, Tokens, Urgency, value};
use smol_str::SmolStr;

value! { copy
    /// Which of an entry's calls a class uses.
    pub enum Api {
        /// `POST /v1/completions`.
        Completions,
        /// `POST /v1/chat/completions`.
        Chat,
        /// `POST /services/NAME/PATH` of a plain service.
        Call,
    }

    /// An inclusive range from which numbers are drawn evenly.
    pub struct Span {
        /// Its least number.
        pub least: u64,
        /// Its greatest number. Invariant: not below `least`.
        pub greatest: u64,
    }
}

/// What to send, for how long, and what to break meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: SmolStr,
    /// How long requests arrive.
    pub time: Duration,
    /// How long to wait for answers after the last arrival.
    pub patience: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Requests under way at most; arrivals beyond it are counted as unsent.
    pub max_in_flight: usize,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantId, TenantToken>,
    /// Classes by name.
    pub classes: BTreeMap<SmolStr, Class>,
    /// Faults in the order of their times.
    pub faults: Vec<FaultAt>,
}

value! {
    /// A tenant: the bearer token that names it and how many callers share it.
    pub struct TenantToken {
        /// The token.
        pub token: SmolStr,
        /// Its callers, each of which asks for addresses by itself.
        pub callers: u32,
    }

    /// A fault and its time.
    pub struct FaultAt {
        /// Time since the first arrival was possible.
        pub at: Duration,
        /// A stand-in host, `platform`, or `entry-N` for the Nth entry given.
        pub target: SmolStr,
        /// Name of the fault's switch; for an entry what its keeper is to do.
        pub name: SmolStr,
        /// How long it lasts; for ever when absent.
        pub time: Option<Duration>,
        /// Its argument.
        pub n: Option<u64>,
    }
}

/// Requests of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: SmolStr,
    /// The service it asks.
    pub service: ServiceName,
    /// The call it uses.
    pub api: Api,
    /// Path below the service, for [`Api::Call`].
    pub path: SmolStr,
    /// Whether answers come as streams.
    pub stream: bool,
    /// Requests per second of each of its tenants, by tenant.
    pub rates: BTreeMap<TenantId, f64>,
    /// Bytes of a prompt or body.
    pub prompt_bytes: Span,
    /// Leading bytes that all prompts of a family share.
    pub shared_bytes: usize,
    /// How many such families there are.
    pub families: u64,
    /// Text put into every prompt.
    pub mark: SmolStr,
    /// Whether every request of it is the same.
    pub same: bool,
    /// Tokens asked for.
    pub tokens: Span,
    /// Urgency sent along.
    pub urgency: Urgency,
    /// Deadline sent along.
    pub deadline: Option<Duration>,
    /// Whether each request carries an idempotency key of its own.
    pub at_most_once: bool,
    /// How often a request may be sent again when `Retry-After` says so.
    pub retries: u32,
}

impl Scenario {
    /// The same scenario over another time, with the faults before its end.
    pub fn lasting(mut self, time: Duration) -> Scenario {
        self.time = time;
        self.faults.retain(|fault| fault.at < time);
        self
    }
}

impl Span {
    pub(crate) fn draw(self, rng: &mut fastrand::Rng) -> u64 {
        rng.u64(self.least..=self.greatest)
    }
}

/// Most tokens of one request.
pub(crate) const MAX_TOKENS: Tokens = 100_000;
