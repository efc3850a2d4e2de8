//! The accepted configuration: routes, services, models and callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_base::{ConfigVersion, ModelName, ServiceName, TenantId, value};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::cold::ColdStart;

value! { copy
    /// Whether a request may be executed more than once.
    pub enum RetryPolicy {
    /// Repeated execution is harmless.
    Idempotent,
        /// The request is executed at most once per attempt of its caller.
        AtMostOnce,
    }
}

value! { copy
    /// Rules for routes that respond with event streams.
    pub struct StreamRules {
        /// Whether a broken stream may resume at another host after its last event.
        pub resumable: bool,
        /// Longest gap between events of a response that is on time.
        pub max_event_gap: Duration,
    }
}

value! {
    /// A route for requests with one host name and path prefix.
    pub struct Route {
        /// Its name, for logs.
        pub name: SmolStr,
        /// The host name in the request.
        pub host: SmolStr,
        /// The path prefix; begins and ends with a slash.
        pub prefix: SmolStr,
        /// Whether requests may be executed more than once.
        pub retry_policy: RetryPolicy,
        /// Set for routes that respond with a stream.
        pub stream: Option<StreamRules>,
        /// Timeout of a request.
        pub timeout: Duration,
        /// A response within this time is on time.
        pub latency_objective: Duration,
        /// 0 is the most urgent.
        pub urgency: u8,
        /// Maximum number of hosts to which one attempt of a caller may be sent.
        pub attempts: u32,
        /// Whether callers need no key.
        pub public: bool,
        /// Services and their weights. One of weight zero gets no requests.
        pub services: SmallVec<[(ServiceName, u32); 2]>,
    }

    /// A model that a service's hosts can form replicas of.
    pub struct ModelSpec {
        /// Its name.
        pub name: ModelName,
        /// Number of hosts in a replica.
        pub size: usize,
        /// The model's fraction of all work.
        pub share: Millionths,
        /// Time to load its weights from the weight store.
        pub load_time: Duration,
        /// Time to load its weights from the host's memory.
        pub warm_load_time: Duration,
        /// Factor that scales all times of its replicas.
        pub time_factor: Millionths,
    }

    /// Capabilities of the hosts of a model service.
    pub struct Engine {
    /// Maximum number of concurrent requests of a replica.
    pub slots: usize,
    /// The models; the first has the largest share of the work.
    pub models: Vec<ModelSpec>,
    /// Maximum rate of loads from the weight store, in loads per 1000 seconds.
    pub loads_per_ks: u64,
    /// Number of concurrent loads beyond which each load takes longer.
    pub max_concurrent_loads: usize,
        /// Speed of a replica whose model has a time factor of 1.
        pub speed: EngineSpeed,
    }

    /// One service.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Maximum number of connections that one host accepts from all nodes together.
        pub max_connections: usize,
        /// Set if its hosts are cold after a start.
        pub cold: Option<ColdStart>,
        /// Set if its hosts form replicas of models.
        pub engine: Option<Engine>,
    }

    /// Size limits and timeouts of callers' requests.
    pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
        /// Idle time after which a connection may be closed.
        pub idle_timeout: Duration,
    }

    /// The owner of an API key.
    pub struct Caller {
    /// The tenant.
    pub tenant: TenantId,
        /// Overrides the route's urgency if set.
        pub urgency: Option<u8>,
    }
}

value! { copy
    /// Prefill and decode speed of a replica.
    ///
    /// A replica works in passes. A pass consists of several decode steps, each of which adds a
    /// token to every stream, and prefills prompts between them; a stream's events are one pass
    /// apart.
    pub struct EngineSpeed {
        /// Base time of a decode step.
        pub decode_step: Duration,
        /// Additional time of a decode step per request.
        pub decode_per_request: Duration,
        /// Number of decode steps in a pass.
        pub steps_per_pass: u32,
        /// Time to prefill a prompt token; zero if unknown.
        pub prefill_per_token: Duration,
        /// Factor that scales all times.
        pub time_factor: Millionths,
    }
}

impl EngineSpeed {
    /// Duration of a pass that decodes `requests` and prefills `prompt` tokens.
    pub fn pass_time(&self, requests: usize, prompt: u64) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let writing = (self.decode_step + self.decode_per_request * requests) * self.steps_per_pass;
        let reading = self.prefill_per_token.mul_f64(prompt as f64);
        (writing + reading).mul_f64(self.time_factor.get())
    }
}

value! { copy
    /// A non-negative number in millionths. Unlike `f64` it implements `Eq` and `Ord`.
    pub struct Millionths(u64);
}

impl Millionths {
    /// Rounds to the nearest millionth; negative numbers and NaN give 0.
    pub fn of(x: f64) -> Millionths {
        Millionths((x.max(0.0) * 1e6).round() as u64)
    }

    /// A number of millionths.
    pub fn from_count(millionths: u64) -> Millionths {
        Millionths(millionths)
    }

    /// The number of millionths.
    pub fn count(self) -> u64 {
        self.0
    }

    /// Converts to a floating-point number.
    pub fn get(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// Why a request can't be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route matches the host name and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The API key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
}

/// Who may send requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CallerAccess {
    /// No customers are configured: everybody, without a key.
    #[default]
    Open,
    /// No customers are configured any more: callers without a key. No key is known.
    WithoutKey,
    /// Customers are configured: callers with one of these keys, which may be none.
    ByKey(HashMap<SmolStr, Arc<Caller>>),
}

impl FromIterator<(SmolStr, Arc<Caller>)> for CallerAccess {
    fn from_iter<I: IntoIterator<Item = (SmolStr, Arc<Caller>)>>(keys: I) -> CallerAccess {
        CallerAccess::ByKey(keys.into_iter().collect())
    }
}

/// An accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: ConfigVersion,
    /// Routes by host name, the longest prefix first.
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    access: CallerAccess,
    limits: Option<CallerLimits>,
}

impl Catalog {
    /// Builds the lookup tables.
    pub fn new(
        version: ConfigVersion,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        access: CallerAccess,
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
            access,
            limits,
        }
    }

    /// The configuration version; 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The route with the longest prefix of `path`.
    ///
    /// # Errors
    /// [`RouteError::NoRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteError> {
        let routes = self.routes.get(host).ok_or(RouteError::NoRoute)?;
        let found = routes.iter().find(|r| path.starts_with(r.prefix.as_str()));
        found.ok_or(RouteError::NoRoute)
    }

    /// This configuration as the next version after `earlier`. Keys that were taken away with the whole
    /// list of customers are unknown, as if only they had been taken away.
    pub fn following(mut self, earlier: &Catalog) -> Catalog {
        if self.access == CallerAccess::Open && earlier.access != CallerAccess::Open {
            self.access = CallerAccess::WithoutKey;
        }
        self
    }

    /// Whether an earlier version had customers and this one has not.
    pub fn has_lost_customers(&self) -> bool {
        self.access == CallerAccess::WithoutKey
    }

    /// The owner of `key`. On a public route, or if no customers are configured, a missing or unknown
    /// key gives `None`.
    ///
    /// # Errors
    /// [`RouteError::UnknownKey`].
    pub fn caller(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Caller>>, RouteError> {
        let (known, is_key_needed) = match &self.access {
            CallerAccess::Open => return Ok(None),
            CallerAccess::WithoutKey => (None, key.is_some()),
            CallerAccess::ByKey(callers) => (key.and_then(|k| callers.get(k)), true),
        };
        if known.is_some() || route.public || !is_key_needed {
            return Ok(known.cloned());
        }
        Err(RouteError::UnknownKey)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// A model of a service, with the service's engine.
    pub fn model(&self, service: &str, model: &str) -> Option<(&Engine, &ModelSpec)> {
        let engine = self.service(service)?.engine.as_ref()?;
        let spec = engine.models.iter().find(|m| m.name == model)?;
        Some((engine, spec))
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Limits of callers' requests.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.limits.as_ref()
    }
}
