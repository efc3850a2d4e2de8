//! What the stand-ins are to be like.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassmill_base::{FabricDomain, FailureDomain, HostId, Region, TargetKind, value};

/// Failure domains over which [`engine_specs`] and [`plain_specs`] spread hosts.
const FAILURE_DOMAINS: usize = 3;

value! {
    /// One target host. Build with [`HostSpec::engine`] or [`HostSpec::plain`].
    pub struct HostSpec {
        pub(crate) id: HostId,
        pub(crate) kind: TargetKind,
        pub(crate) region: Region,
        pub(crate) failure_domain: FailureDomain,
        pub(crate) fabric_domain: FabricDomain,
        pub(crate) accelerators: u32,
        pub(crate) address: Option<SocketAddr>,
        pub(crate) checks_fences: bool,
        pub(crate) refuses_repeats: bool,
        pub(crate) slots: usize,
        pub(crate) queue: usize,
        pub(crate) pace: Pace,
        pub(crate) cache_bytes: usize,
        pub(crate) event_lag: Duration,
        pub(crate) load_lag: Duration,
        pub(crate) crash_time: Duration,
    }

    /// How long work takes on a host.
    pub struct Pace {
        /// Time per token of an engine, or per call of a plain service.
        pub token: Duration,
        /// Time per token of the prompt that the prefix cache doesn't hold.
        pub prefill: Duration,
        /// How much one more request in the batch slows each token, in thousandths.
        pub batch_permille: u32,
    }
}

impl HostSpec {
    /// An engine host of 4 accelerators and 8 slots.
    pub fn engine(id: impl Into<HostId>) -> HostSpec {
        HostSpec {
            id: id.into(),
            kind: TargetKind::Engine,
            region: "region-1".into(),
            failure_domain: "domain-1".into(),
            fabric_domain: "fabric-1".into(),
            accelerators: 4,
            address: None,
            checks_fences: true,
            refuses_repeats: false,
            slots: 8,
            queue: 256,
            pace: Pace {
                token: Duration::from_millis(2),
                prefill: Duration::from_micros(20),
                batch_permille: 20,
            },
            cache_bytes: 256 << 10,
            event_lag: Duration::from_millis(300),
            load_lag: Duration::from_millis(500),
            crash_time: Duration::from_millis(300),
        }
    }

    /// A host of a plain service.
    pub fn plain(id: impl Into<HostId>) -> HostSpec {
        let engine = HostSpec::engine(id);
        HostSpec {
            kind: TargetKind::Plain,
            accelerators: 0,
            ..engine
        }
    }

    /// Sets the region, the failure domain and the fabric domain.
    pub fn place(
        mut self,
        region: impl Into<Region>,
        failure_domain: impl Into<FailureDomain>,
        fabric_domain: impl Into<FabricDomain>,
    ) -> HostSpec {
        self.region = region.into();
        self.failure_domain = failure_domain.into();
        self.fabric_domain = fabric_domain.into();
        self
    }

    /// Listens there and not on a free loopback port.
    pub fn address(mut self, address: SocketAddr) -> HostSpec {
        self.address = Some(address);
        self
    }

    /// Sets how many accelerators it has.
    pub fn accelerators(mut self, count: u32) -> HostSpec {
        self.accelerators = count;
        self
    }

    /// Whether it refuses orders with an old fencing number.
    pub fn checks_fences(mut self, checks: bool) -> HostSpec {
        self.checks_fences = checks;
        self
    }

    /// Whether a plain service itself refuses a key that it has run.
    pub fn refuses_repeats(mut self, refuses: bool) -> HostSpec {
        self.refuses_repeats = refuses;
        self
    }

    /// Sets how many requests run at once, and how many more may wait.
    pub fn slots(mut self, slots: usize, queue: usize) -> HostSpec {
        self.slots = slots.max(1);
        self.queue = queue;
        self
    }

    /// Sets how long work takes.
    pub fn pace(mut self, pace: Pace) -> HostSpec {
        self.pace = pace;
        self
    }

    /// Sets the size of the prefix cache in bytes of prompt and how late its events come.
    pub fn cache(mut self, bytes: usize, event_lag: Duration) -> HostSpec {
        self.cache_bytes = bytes;
        self.event_lag = event_lag;
        self
    }

    /// Sets how old the reported load may be.
    pub fn load_lag(mut self, lag: Duration) -> HostSpec {
        self.load_lag = lag;
        self
    }

    /// Sets how long it stays away after a killer request.
    pub fn crash_time(mut self, time: Duration) -> HostSpec {
        self.crash_time = time;
        self
    }
}

/// `count` engine hosts, `engine-0` up, in runs of `per_fabric` that share a fabric
/// domain; the fabric domains are spread over three failure domains.
pub fn engine_specs(count: usize, per_fabric: usize) -> Vec<HostSpec> {
    let spec = |i: usize| {
        let fabric = i / per_fabric.max(1);
        let domain = fabric % FAILURE_DOMAINS + 1;
        HostSpec::engine(format!("engine-{i}")).place(
            "region-1",
            format!("domain-{domain}"),
            format!("fabric-{}", fabric + 1),
        )
    };
    (0..count).map(spec).collect()
}

/// `count` plain hosts, `plain-0` up, spread over three failure domains.
pub fn plain_specs(count: usize) -> Vec<HostSpec> {
    let spec = |i: usize| {
        let domain = i % FAILURE_DOMAINS + 1;
        let fabric = format!("fabric-{domain}");
        HostSpec::plain(format!("plain-{i}")).place("region-1", format!("domain-{domain}"), fabric)
    };
    (0..count).map(spec).collect()
}
