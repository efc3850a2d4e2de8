//! Prometheus metrics of a node.

use std::time::Duration;

use eelgrassmill_fleet::{AdmissionDecision, Catalog, DemandSnapshot};
use http::StatusCode;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of latency buckets in seconds, dense around the latency objectives of interactive
/// calls (0.1 to 0.4 s) and the timeouts of streams (5 to 8 s).
const FIRST_BYTE_BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.2, 0.25, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, 15.0,
];

/// Largest prompt of each class of [`prompt_class`], in tokens.
const PROMPT_CLASSES: [(u64, &str); 3] = [(1024, "1024"), (2048, "2048"), (4096, "4096")];

/// The class of a prompt by its length, for a label: the largest prompt of the class.
fn prompt_class(tokens: u64) -> &'static str {
    let class = PROMPT_CLASSES.iter().find(|(max, _)| tokens <= *max);
    class.map_or("+Inf", |(_, name)| name)
}

/// Why a request is retried.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RetryReason {
    /// An attempt at a host failed or was refused.
    Attempt,
    /// Its stream broke and resumes at another replica.
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
    /// Requests with a prompt by service, class of the prompt and outcome.
    prompts: IntCounterVec,
    /// Time to the first byte of a response, by service and kind.
    pub(crate) first_byte: HistogramVec,
    /// Retries by service and reason.
    pub(crate) retries: IntCounterVec,
    /// Responses of hosts whose status promises that the request has not run, without the host's
    /// statement, by service and status.
    false_promises: IntCounterVec,
    /// Crashes of hosts under requests of this node, by service.
    pub(crate) host_crashes: IntCounterVec,
    /// Quarantined requests that this node knows of.
    pub(crate) quarantined_requests: IntGauge,
    /// Decisions of this node as a quarantine coordinator, by service and decision.
    pub(crate) quarantine_decisions: IntCounterVec,
    /// Hosts that name a limit, as far as this node knows.
    pub(crate) limited_hosts: IntGauge,
    /// Hosts that have asked this node for rest.
    pub(crate) resting_hosts: IntGauge,
    /// Hosts whose answers say that they leave, as far as this node knows.
    pub(crate) leaving_hosts: IntGauge,
    /// Hosts with a concurrency window, as judged by this node.
    pub(crate) paced_hosts: IntGauge,
    /// Hosts that get trial requests alone while others have room, as judged by this node.
    pub(crate) slow_hosts: IntGauge,
    /// Times that a host's limit held back a request of this node, by service.
    limited: IntCounterVec,
    /// Decisions on requests for slots, by service and decision.
    pub(crate) admission: IntCounterVec,
    /// Requests that came back after a rejection, by service and outcome.
    pub(crate) returning: IntCounterVec,
    /// Connections to hosts through other nodes by outcome, and those carried for other nodes.
    pub(crate) relayed_connections: IntCounterVec,
    /// Orders by kind and reply.
    pub(crate) orders: IntCounterVec,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Settings that were changed and need a restart.
    pub(crate) pending_settings: IntGauge,
    /// Evacuated failure domains, whose hosts take no new requests.
    pub(crate) evacuated_domains: IntGauge,
    /// Replicas that take requests.
    pub(crate) open_replicas: IntGauge,
    /// Target number of replicas by service and model, at the planner.
    pub(crate) capacity_target_replicas: IntGaugeVec,
    /// Steps by which capacity followed demand, by kind.
    pub(crate) capacity_steps: IntCounterVec,
    /// Slots that the planner takes each model to want, by service and model; absent where that is
    /// unknown.
    pub(crate) wanted_slots: GaugeVec,
    /// Bytes that are held for callers, by kind.
    pub(crate) client_bytes: IntGaugeVec,
    /// Most bytes that may be held for callers.
    pub(crate) client_bytes_limit: IntGauge,
    /// Open connections, by port.
    pub(crate) connections: IntGaugeVec,
    /// Most open connections, by port.
    pub(crate) connections_limit: IntGaugeVec,
    /// Connections that were closed for others, by port.
    pub(crate) connections_evicted: IntCounterVec,
    /// What was evicted or refused because the memory for callers was used up, by action.
    pub(crate) client_memory_short: IntCounterVec,
    /// Consecutive failed calls to the store.
    pub(crate) store_failures: IntGauge,
    /// How often the store came back from an older copy.
    pub(crate) store_era: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("constant name and labels are valid");
            register(&registry, vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("constant name is valid");
            register(&registry, gauge)
        };
        let first_byte = HistogramVec::new(
            HistogramOpts::new(
                "gateway_first_byte_seconds",
                "Time to the first byte of an answer.",
            )
            .buckets(FIRST_BYTE_BUCKETS.to_vec()),
            &["service", "kind"],
        )
        .expect("constant name and labels are valid");
        let capacity_target_replicas = IntGaugeVec::new(
            Opts::new(
                "gateway_capacity_target_replicas",
                "Target number of replicas of each model.",
            ),
            &["service", "model"],
        )
        .expect("constant name and labels are valid");
        let gauges = |name: &str, help: &str, label: &str| {
            let vec = IntGaugeVec::new(Opts::new(name, help), &[label])
                .expect("constant name and labels are valid");
            register(&registry, vec)
        };
        let wanted_slots = GaugeVec::new(
            Opts::new(
                "gateway_capacity_wanted_slots",
                "Slots that the requests of a model want.",
            ),
            &["service", "model"],
        )
        .expect("constant name and labels are valid");
        Metrics {
            requests: counter(
                "gateway_requests_total",
                "Requests of callers by outcome.",
                &["service", "kind", "outcome"],
            ),
            prompts: counter(
                "gateway_prompts_total",
                "Requests with a prompt by its length and outcome.",
                &["service", "max_tokens", "outcome"],
            ),
            first_byte: register(&registry, first_byte),
            retries: counter(
                "gateway_repeats_total",
                "Requests that were sent once more.",
                &["service", "reason"],
            ),
            false_promises: counter(
                "gateway_false_promises_total",
                "Responses of hosts that promise by their status alone that a request has not run.",
                &["service", "status"],
            ),
            host_crashes: counter(
                "gateway_host_crashes_total",
                "Hosts that crashed under requests of this node.",
                &["service"],
            ),
            quarantined_requests: gauge(
                "gateway_quarantined_requests",
                "Requests that are rejected because they crash hosts.",
            ),
            quarantine_decisions: counter(
                "gateway_quarantine_decisions_total",
                "Decisions of this node as a quarantine coordinator.",
                &["service", "decision"],
            ),
            limited_hosts: gauge(
                "gateway_limited_hosts",
                "Hosts that name the requests a second that they take.",
            ),
            resting_hosts: gauge(
                "gateway_resting_hosts",
                "Hosts that have asked this node for rest.",
            ),
            leaving_hosts: gauge(
                "gateway_leaving_hosts",
                "Hosts whose answers say that they leave.",
            ),
            paced_hosts: gauge(
                "gateway_paced_hosts",
                "Hosts whose requests are limited by a window that their answers open.",
            ),
            slow_hosts: gauge(
                "gateway_slow_hosts",
                "Hosts that are much slower than the others.",
            ),
            relayed_connections: counter(
                "gateway_relayed_connections_total",
                "Connections to hosts through other nodes, and for them.",
                &["outcome"],
            ),
            admission: counter(
                "gateway_admission_total",
                "Decisions of this node on requests for slots.",
                &["service", "decision"],
            ),
            returning: counter(
                "gateway_returning_total",
                "Requests that came back after a rejection.",
                &["service", "outcome"],
            ),
            limited: counter(
                "gateway_limited_total",
                "Times that a limit that hosts name held back a request.",
                &["service"],
            ),
            orders: counter(
                "gateway_orders_total",
                "Orders to hosts.",
                &["order", "reply"],
            ),
            config_version: gauge("gateway_config_version", "Configuration in force."),
            pending_settings: gauge(
                "gateway_pending_settings",
                "Settings that were changed and need a restart.",
            ),
            evacuated_domains: gauge(
                "gateway_evacuated_domains",
                "Failure domains whose hosts take nothing new.",
            ),
            open_replicas: gauge("gateway_open_replicas", "Replicas that take requests."),
            capacity_target_replicas: register(&registry, capacity_target_replicas),
            capacity_steps: counter(
                "gateway_capacity_steps_total",
                "Steps by which the capacity of models followed their demand.",
                &["step"],
            ),
            wanted_slots: register(&registry, wanted_slots),
            client_bytes: gauges(
                "gateway_client_bytes",
                "Bytes that are held for callers.",
                "kind",
            ),
            connections: gauges("gateway_connections", "Open connections.", "port"),
            connections_limit: gauges(
                "gateway_connections_limit",
                "Most open connections.",
                "port",
            ),
            connections_evicted: counter(
                "gateway_connections_evicted_total",
                "Connections that were closed for others.",
                &["port"],
            ),
            client_bytes_limit: gauge(
                "gateway_client_bytes_limit",
                "Most bytes that may be held for callers.",
            ),
            client_memory_short: counter(
                "gateway_client_memory_short_total",
                "What was evicted or refused because the memory for callers was used up.",
                &["action"],
            ),
            store_failures: gauge(
                "gateway_store_failures",
                "Failed calls to the store in a row.",
            ),
            store_era: gauge(
                "gateway_store_era",
                "How often the store came back from an older copy, as it says itself.",
            ),
            registry,
        }
    }
}

/// Registers a metric; names within the registry are distinct.
fn register<C>(registry: &Registry, metric: C) -> C
where
    C: prometheus::core::Collector + Clone + 'static,
{
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("metric names are distinct");
    metric
}

impl Metrics {
    /// Counts a finished request by its outcome.
    pub(crate) fn count_request(&self, service: &str, kind: &str, outcome: &str) {
        self.requests
            .with_label_values(&[service, kind, outcome])
            .inc();
    }

    /// Counts a finished request with a prompt.
    pub(crate) fn count_prompt(&self, service: &str, tokens: u64, is_served: bool) {
        let outcome = if is_served { "served" } else { "unserved" };
        let labels = [service, prompt_class(tokens), outcome];
        self.prompts.with_label_values(&labels).inc();
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, service: &str, reason: RetryReason) {
        let labels = [service, reason.name()];
        self.retries.with_label_values(&labels).inc();
    }

    /// Counts a response whose status makes a promise that its host doesn't.
    pub(crate) fn count_false_promise(&self, service: &str, status: StatusCode) {
        let labels = [service, status.as_str()];
        self.false_promises.with_label_values(&labels).inc();
    }

    /// Counts a decision on a request for a slot.
    pub(crate) fn count_admission(
        &self,
        service: &str,
        decision: AdmissionDecision,
        is_returning: bool,
    ) {
        let is_served = decision == AdmissionDecision::Granted;
        let name = match decision {
            AdmissionDecision::Granted => "granted",
            AdmissionDecision::RejectedEstimate => "rejected-estimate",
            AdmissionDecision::RejectedShare => "rejected-share",
            AdmissionDecision::Shed => "shed",
        };
        self.admission.with_label_values(&[service, name]).inc();
        if is_returning {
            let outcome = if is_served { "served" } else { "rejected" };
            self.returning.with_label_values(&[service, outcome]).inc();
        }
    }

    /// Counts a request that a limit held back.
    pub(crate) fn count_limited(&self, service: &str) {
        self.limited.with_label_values(&[service]).inc();
    }

    /// Records the time to the first byte of a response.
    pub(crate) fn observe_first_byte(&self, service: &str, kind: &str, latency: Duration) {
        let histogram = self.first_byte.with_label_values(&[service, kind]);
        histogram.observe(latency.as_secs_f64());
    }

    /// Sets the wanted slots of each model, or removes them where they are unknown.
    pub(crate) fn set_wanted_slots(&self, catalog: &Catalog, demand: &DemandSnapshot) {
        for service in catalog.services() {
            let models = service.engine.iter().flat_map(|e| &e.models);
            for model in models {
                let labels = [service.name.as_str(), model.name.as_str()];
                if let Some(demand) = demand.get(&service.name, &model.name) {
                    let gauge = self.wanted_slots.with_label_values(&labels);
                    gauge.set(demand.wanted);
                } else {
                    // An error means that it was unknown before.
                    let _ = self.wanted_slots.remove_label_values(&labels);
                }
            }
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::error!(%err, "failed to encode metrics");
        }
        buf
    }
}
