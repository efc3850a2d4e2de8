//! Counters and histograms, by the conventions of Prometheus.

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets in seconds: around the latency objectives of
/// interactive calls (0.1 to 0.4 s) and the timeouts of streams (5 to 8 s).
const BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.2, 0.25, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, 15.0,
];

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RetryReason {
    /// A host did not serve it.
    Attempt,
    /// Its stream broke off and goes on at another replica.
    Resume,
}

impl RetryReason {
    fn name(self) -> &'static str {
        match self {
            RetryReason::Attempt => "attempt",
            RetryReason::Resume => "resume",
        }
    }
}

/// A node's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by service, kind and outcome.
    pub(crate) requests: IntCounterVec,
    /// Time to the first byte of an answer, by service and kind.
    pub(crate) first_byte: HistogramVec,
    /// Requests that were sent once more, by service and reason.
    pub(crate) retries: IntCounterVec,
    /// Orders by kind and reply.
    pub(crate) orders: IntCounterVec,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Failure domains whose hosts take nothing new.
    pub(crate) evacuated_domains: IntGauge,
    /// Replicas that take requests.
    pub(crate) open_replicas: IntGauge,
    /// Failures of the platform's store in a row.
    pub(crate) store_failures: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("name and labels are constants that are valid");
            register(&registry, vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is a constant that is valid");
            register(&registry, gauge)
        };
        let first_byte = HistogramVec::new(
            HistogramOpts::new(
                "gateway_first_byte_seconds",
                "Time to the first byte of an answer.",
            )
            .buckets(BUCKETS.to_vec()),
            &["service", "kind"],
        )
        .expect("name and labels are constants that are valid");
        Metrics {
            requests: counter(
                "gateway_requests_total",
                "Requests of callers by outcome.",
                &["service", "kind", "outcome"],
            ),
            first_byte: register(&registry, first_byte),
            retries: counter(
                "gateway_repeats_total",
                "Requests that were sent once more.",
                &["service", "reason"],
            ),
            orders: counter(
                "gateway_orders_total",
                "Orders to hosts.",
                &["order", "reply"],
            ),
            config_version: gauge("gateway_config_version", "Configuration in force."),
            evacuated_domains: gauge(
                "gateway_evacuated_domains",
                "Failure domains whose hosts take nothing new.",
            ),
            open_replicas: gauge("gateway_open_replicas", "Replicas that take requests."),
            store_failures: gauge(
                "gateway_store_failures",
                "Failed calls to the store in a row.",
            ),
            registry,
        }
    }
}

/// Registers a metric of a new registry, where no name can be taken yet.
fn register<C>(registry: &Registry, metric: C) -> C
where
    C: prometheus::core::Collector + Clone + 'static,
{
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("each metric of the registry has a name of its own");
    metric
}

impl Metrics {
    /// Counts the end of a request.
    pub(crate) fn count_request(&self, service: &str, kind: &str, outcome: &str) {
        self.requests
            .with_label_values(&[service, kind, outcome])
            .inc();
    }

    /// Counts a request that is sent once more.
    pub(crate) fn count_retry(&self, service: &str, reason: RetryReason) {
        let labels = [service, reason.name()];
        self.retries.with_label_values(&labels).inc();
    }

    /// Counts the time to the first byte of an answer.
    pub(crate) fn observe_first_byte(&self, service: &str, kind: &str, time: Duration) {
        let histogram = self.first_byte.with_label_values(&[service, kind]);
        histogram.observe(time.as_secs_f64());
    }

    /// The page that a collector reads.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::error!(%err, "metrics can't be encoded");
        }
        buf
    }
}
