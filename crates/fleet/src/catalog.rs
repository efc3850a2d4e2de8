//! The accepted configuration, as requests are routed by it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_base::{ConfigVersion, ModelName, ServiceName, TenantId, value};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::cold::ColdStart;

value! { copy
    /// Whether a request may run a second time.
    pub enum RetryPolicy {
        /// Running twice does no harm.
        Idempotent,
        /// It runs at most once for each attempt of its caller.
        AtMostOnce,
    }
}

value! { copy
    /// What holds for routes whose answers are event streams.
    pub struct StreamRules {
        /// A broken stream may go on at another host after its last event.
        pub resumable: bool,
        /// The longest pause between events with which an answer is still on time.
        pub max_event_gap: Duration,
    }
}

value! {
    /// Where requests of one host name and path prefix go.
    pub struct Route {
        /// Its name, for logs.
        pub name: SmolStr,
        /// The host name that callers ask for.
        pub host: SmolStr,
        /// Begins and ends with a slash.
        pub prefix: SmolStr,
        /// What may be repeated.
        pub retry_policy: RetryPolicy,
        /// Set on routes that answer with a stream.
        pub stream: Option<StreamRules>,
        /// The longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Within it an answer is on time.
        pub latency_objective: Duration,
        /// 0 is the most urgent.
        pub urgency: u8,
        /// Most hosts on which one attempt of a caller may run.
        pub attempts: u32,
        /// Callers need no key.
        pub public: bool,
        /// Services and their weights. Invariant: never empty.
        pub services: SmallVec<[(ServiceName, u32); 2]>,
    }

    /// One model that a service's hosts can form replicas of.
    pub struct ModelSpec {
        /// Its name.
        pub name: ModelName,
        /// Hosts of one replica.
        pub size: usize,
        /// The model's part of the work, of 1.
        pub share: Millionths,
        /// Time to load its weights from the weight store.
        pub load_time: Duration,
        /// Time to load its weights from the host's own memory.
        pub warm_load_time: Duration,
        /// Factor on all of its replicas' times.
        pub time_factor: Millionths,
    }

    /// What the hosts of a model service can do.
    pub struct Engine {
        /// Requests that a replica runs at once.
        pub slots: usize,
        /// The models. The first is the one with the largest part of the work.
        pub models: Vec<ModelSpec>,
        /// Loads from the weight store that may start in a second, in thousandths.
        pub loads_per_ks: u64,
        /// Loads under way beyond which each takes longer.
        pub max_concurrent_loads: usize,
        /// How fast a replica works whose model's pace is 1.
        pub speed: EngineSpeed,
    }

    /// One service.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Connections that one host accepts from all nodes together.
        pub max_connections: usize,
        /// Set where its hosts are cold after a start.
        pub cold: Option<ColdStart>,
        /// Set where its hosts form replicas of models.
        pub engine: Option<Engine>,
    }

    /// What a caller may send, and how long it may take.
    pub struct CallerLimits {
        /// Bytes of a request's head.
        pub header_bytes: usize,
        /// Bytes of a request's body.
        pub body_bytes: usize,
        /// Time to send a request's head.
        pub header_timeout: Duration,
        /// Idle time after which a connection may be closed.
        pub idle_timeout: Duration,
    }

    /// Who holds a key.
    pub struct Caller {
        /// The tenant.
        pub tenant: TenantId,
        /// Goes before the route's urgency where it is set.
        pub urgency: Option<u8>,
    }
}

value! { copy
    /// How fast a replica reads prompts and writes answers.
    ///
    /// It works in passes. A pass that writes takes some steps, each of which adds a token to
    /// every stream, and reads prompts between them; a stream's events come a pass apart.
    pub struct EngineSpeed {
        /// A step that writes, with nothing else to do.
        pub decode_step: Duration,
        /// What each request that is written adds to a step.
        pub decode_per_request: Duration,
        /// Steps of a pass.
        pub steps_per_pass: u32,
        /// Time to read a prompt token; zero where it isn't known.
        pub prefill_per_token: Duration,
        /// Factor on all times.
        pub time_factor: Millionths,
    }
}

impl EngineSpeed {
    /// A pass that writes `requests` and reads `prompt` tokens beside.
    pub fn pass_time(&self, requests: usize, prompt: u64) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let writing = (self.decode_step + self.decode_per_request * requests) * self.steps_per_pass;
        let reading = self.prefill_per_token.mul_f64(prompt as f64);
        (writing + reading).mul_f64(self.time_factor.get())
    }
}

value! { copy
    /// A fraction in millionths, so that values that hold it stay comparable.
    pub struct Millionths(u64);
}

impl Millionths {
    /// The nearest number of millionths; negative and undefined numbers give 0.
    pub fn of(x: f64) -> Millionths {
        Millionths((x.max(0.0) * 1e6).round() as u64)
    }

    /// As a number.
    pub fn get(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// Why no route takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route has this host name and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The key is missing or belongs to no tenant.
    #[error("the key is missing or unknown")]
    UnknownKey,
}

/// An accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: ConfigVersion,
    /// Routes of a host name, the longest prefix first.
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    callers: HashMap<SmolStr, Arc<Caller>>,
    limits: Option<CallerLimits>,
}

impl Catalog {
    /// Builds the lookup tables.
    pub fn new(
        version: ConfigVersion,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        callers: impl IntoIterator<Item = (SmolStr, Arc<Caller>)>,
        limits: Option<CallerLimits>,
    ) -> Catalog {
        let mut by_host: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Catalog {
            version,
            routes: by_host,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            callers: callers.into_iter().collect(),
            limits,
        }
    }

    /// Its version; 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The route of the longest prefix that begins `path`.
    ///
    /// # Errors
    /// [`RouteError::NoRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteError> {
        let routes = self.routes.get(host).ok_or(RouteError::NoRoute)?;
        let found = routes.iter().find(|r| path.starts_with(r.prefix.as_str()));
        found.ok_or(RouteError::NoRoute)
    }

    /// Who holds `key`. On a public route a missing or unknown key is nobody's.
    ///
    /// # Errors
    /// [`RouteError::UnknownKey`].
    pub fn caller(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Caller>>, RouteError> {
        let known = key.and_then(|k| self.callers.get(k));
        if known.is_some() || route.public || self.callers.is_empty() {
            return Ok(known.cloned());
        }
        Err(RouteError::UnknownKey)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// A model of a service, with what the service's hosts can do.
    pub fn model(&self, service: &str, model: &str) -> Option<(&Engine, &ModelSpec)> {
        let engine = self.service(service)?.engine.as_ref()?;
        let spec = engine.models.iter().find(|m| m.name == model)?;
        Some((engine, spec))
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// What callers may send.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.limits.as_ref()
    }
}
