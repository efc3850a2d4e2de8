//! Counters, gauges and histograms of one node, as Prometheus reads them.

mod labels;
pub(crate) mod process;

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use eelgrassmill_account::{AccountUsage, ConnectionUsage, HeldKind};
use eelgrassmill_base::Urgency;
use prometheus::{
    Counter, CounterVec, Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

pub use labels::{AdminRefusal, Promise, RequestEnd, TableCall, TableResult};

/// Most values of a label that comes from the text, such as tenants.
///
/// A text may name thousands; each would be a time series at each node for as
/// long as it runs. Later ones share the value `other`.
pub const MAX_LABEL_VALUES: usize = 200;

const OTHER: &str = "other";

/// Upper bounds in seconds; the middle is close where the aim lies (first token within 1.3 s).
const WAIT_BUCKETS: [f64; 14] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.9, 1.3, 2.0, 5.0, 10.0, 30.0, 120.0,
];

/// All metrics of one node. Cheap to share by reference; every method takes `&self`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    promise_guarded: IntCounterVec,
    promise_broken: IntCounterVec,
    group_downtime: CounterVec,
    stranded: Counter,
    requests: IntCounterVec,
    waiting: HistogramVec,
    first_token: HistogramVec,
    answering: HistogramVec,
    table_calls: IntCounterVec,
    peer_bytes: IntCounterVec,
    admin_refusals: IntCounterVec,
    client_bytes: IntGaugeVec,
    client_bytes_limit: IntGauge,
    client_memory_short: IntCounterVec,
    connections: IntGaugeVec,
    connections_limit: IntGaugeVec,
    connections_evicted: IntCounterVec,
    groups: IntGaugeVec,
    config_version: IntGauge,
    /// Values of the tenant label in use. Invariant: at most [`MAX_LABEL_VALUES`].
    tenants: Mutex<BTreeSet<String>>,
    /// Values of the service label in use. Invariant: at most [`MAX_LABEL_VALUES`].
    services: Mutex<BTreeSet<String>>,
}

impl Metrics {
    /// A registry of its own, so that several nodes can be in one process.
    ///
    /// # Errors
    /// When a metric's name or label isn't one that Prometheus takes.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let r = Registry::new();
        let metrics = Metrics {
            promise_guarded: counters(
                &r,
                "promise_guarded_total",
                "Times that a guard kept a promise from being broken.",
                &["promise"],
            )?,
            promise_broken: counters(
                &r,
                "promise_broken_total",
                "Times that a promise was seen broken. Anything but 0 is an alarm.",
                &["promise"],
            )?,
            group_downtime: downtime(&r)?,
            stranded: stranded(&r)?,
            requests: counters(
                &r,
                "requests_total",
                "Requests by how they ended.",
                &["tenant", "class", "end"],
            )?,
            waiting: histogram(&r, "waiting_seconds", "Time from admission to a target.")?,
            first_token: histogram(
                &r,
                "first_token_seconds",
                "Time from admission to first byte.",
            )?,
            answering: histogram(
                &r,
                "answer_seconds",
                "Time from admission to the whole answer.",
            )?,
            table_calls: counters(
                &r,
                "table_calls_total",
                "Calls to the table service.",
                &["call", "result"],
            )?,
            peer_bytes: counters(
                &r,
                "peer_bytes_total",
                "Bytes over the connections to other nodes.",
                &["direction"],
            )?,
            admin_refusals: counters(
                &r,
                "admin_refusals_total",
                "Admin calls that were refused.",
                &["reason"],
            )?,
            client_bytes: gauges(
                &r,
                "client_bytes",
                "Bytes that are held for callers.",
                &["kind"],
            )?,
            client_bytes_limit: gauge(
                &r,
                "client_bytes_limit",
                "Most bytes that may be held for callers.",
            )?,
            client_memory_short: counters(
                &r,
                "client_memory_short_total",
                "What was evicted or refused because the memory for callers was used up.",
                &["action"],
            )?,
            connections: gauges(&r, "connections", "Open connections.", &["port"])?,
            connections_limit: gauges(
                &r,
                "connections_limit",
                "Most open connections.",
                &["port"],
            )?,
            connections_evicted: counters(
                &r,
                "connections_evicted_total",
                "Connections that were closed for others.",
                &["port"],
            )?,
            groups: gauges(&r, "groups", "Groups as this node sees them.", &["state"])?,
            config_version: gauge(
                &r,
                "config_version",
                "Version of the configuration in force at this node.",
            )?,
            tenants: Mutex::default(),
            services: Mutex::default(),
            registry: r,
        };
        metrics.start_promises_at_zero();
        Ok(metrics)
    }

    /// An alarm on a series that doesn't exist until its first count can miss that count.
    fn start_promises_at_zero(&self) {
        for promise in Promise::ALL {
            self.promise_guarded.with_label_values(&[promise.name()]);
            self.promise_broken.with_label_values(&[promise.name()]);
        }
    }

    /// A guard kept `promise` from being broken.
    pub fn promise_guarded(&self, promise: Promise) {
        self.promise_guarded
            .with_label_values(&[promise.name()])
            .inc();
    }

    /// `promise` was seen broken.
    pub fn promise_broken(&self, promise: Promise) {
        self.promise_broken
            .with_label_values(&[promise.name()])
            .inc();
    }

    /// A group of `service` could not serve for `time` more.
    pub fn add_group_downtime(&self, service: &str, time: Duration) {
        let service = bounded(&self.services, service);
        self.group_downtime
            .with_label_values(&[service])
            .inc_by(time.as_secs_f64());
    }

    /// `accelerators` healthy ones sat idle in incomplete groups for `time` more.
    pub fn add_stranded(&self, accelerators: u32, time: Duration) {
        self.stranded
            .inc_by(f64::from(accelerators) * time.as_secs_f64());
    }

    /// A request ended.
    pub fn request_ended(&self, tenant: &str, urgency: Urgency, end: RequestEnd) {
        let tenant = bounded(&self.tenants, tenant);
        self.requests
            .with_label_values(&[tenant, class(urgency), end.name()])
            .inc();
    }

    /// A request waited so long before it went to a target.
    pub fn waited(&self, urgency: Urgency, time: Duration) {
        self.waiting
            .with_label_values(&[class(urgency)])
            .observe(time.as_secs_f64());
    }

    /// The first byte of an answer went to the caller.
    pub fn first_token(&self, urgency: Urgency, time: Duration) {
        self.first_token
            .with_label_values(&[class(urgency)])
            .observe(time.as_secs_f64());
    }

    /// The whole answer went to the caller.
    pub fn answered(&self, urgency: Urgency, time: Duration) {
        self.answering
            .with_label_values(&[class(urgency)])
            .observe(time.as_secs_f64());
    }

    /// A call to the table service ended.
    pub fn table_call(&self, call: TableCall, result: TableResult) {
        self.table_calls
            .with_label_values(&[call.name(), result.name()])
            .inc();
    }

    /// So many bytes more went to other nodes and came from them.
    pub fn add_peer_bytes(&self, sent: u64, received: u64) {
        let count = |direction: &str, n| {
            self.peer_bytes.with_label_values(&[direction]).inc_by(n);
        };
        count("sent", sent);
        count("received", received);
    }

    /// An admin call was refused.
    pub fn admin_refused(&self, reason: AdminRefusal) {
        self.admin_refusals
            .with_label_values(&[reason.name()])
            .inc();
    }

    /// Admin calls refused for `reason` so far.
    pub fn admin_refusals(&self, reason: AdminRefusal) -> u64 {
        self.admin_refusals
            .with_label_values(&[reason.name()])
            .get()
    }

    /// What the account of bytes holds.
    pub fn set_client_bytes(&self, usage: &AccountUsage) {
        for kind in HeldKind::ALL {
            let gauge = self.client_bytes.with_label_values(&[kind.name()]);
            gauge.set(gauge_value(usage.held[kind as usize]));
        }
        self.client_bytes_limit.set(gauge_value(usage.limit));
        let actions = [
            ("body", usage.evicted_bodies),
            ("connection", usage.evicted_connections),
            ("refused", usage.refused),
        ];
        for (action, total) in actions {
            let counter = self.client_memory_short.with_label_values(&[action]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// The connections of a port.
    pub fn set_connections(&self, port: &str, usage: &ConnectionUsage) {
        let open = self.connections.with_label_values(&[port]);
        open.set(gauge_value(usage.open));
        let limit = self.connections_limit.with_label_values(&[port]);
        limit.set(gauge_value(usage.limit));
        let evicted = self.connections_evicted.with_label_values(&[port]);
        evicted.inc_by(usage.evicted.saturating_sub(evicted.get()));
    }

    /// How many groups this node sees serving and not serving.
    pub fn set_groups(&self, serving: usize, down: usize) {
        let gauge = |state: &str, n| {
            self.groups.with_label_values(&[state]).set(gauge_value(n));
        };
        gauge("serving", serving);
        gauge("down", down);
    }

    /// The version of the configuration in force here.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// All of it in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        // Writing to memory fails only for metrics without a value, which the registry leaves out.
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        match written {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(e) => format!("# not rendered: {e}\n"),
        }
    }
}

fn class(urgency: Urgency) -> &'static str {
    if urgency.is_urgent() {
        "urgent"
    } else {
        "normal"
    }
}

fn bounded<'a>(known: &Mutex<BTreeSet<String>>, value: &'a str) -> &'a str {
    let mut known = known.lock().unwrap_or_else(PoisonError::into_inner);
    if known.contains(value) {
        return value;
    }
    if known.len() >= MAX_LABEL_VALUES {
        return OTHER;
    }
    known.insert(value.to_owned());
    value
}

fn full_name(name: &str) -> String {
    format!("eelgrassmill_{name}")
}

fn counters(
    r: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(Opts::new(full_name(name), help), labels)?;
    r.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn histogram(r: &Registry, name: &str, help: &str) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(full_name(name), help).buckets(WAIT_BUCKETS.to_vec());
    let histogram = HistogramVec::new(opts, &["class"])?;
    r.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

fn downtime(r: &Registry) -> Result<CounterVec, prometheus::Error> {
    let help = "Time in which groups could not serve, summed over groups.";
    let opts = Opts::new(full_name("group_downtime_seconds_total"), help);
    let counters = CounterVec::new(opts, &["service"])?;
    r.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn stranded(r: &Registry) -> Result<Counter, prometheus::Error> {
    let help = "Healthy accelerators idle in incomplete groups, times seconds.";
    let counter = Counter::new(full_name("stranded_accelerator_seconds_total"), help)?;
    r.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauges(
    r: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    let gauges = IntGaugeVec::new(Opts::new(full_name(name), help), labels)?;
    r.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn gauge(r: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(full_name(name), help)?;
    r.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauge_value(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
