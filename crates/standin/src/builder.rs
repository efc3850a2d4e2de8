//! Starting the stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, HostEntry, HostId, HostState};
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

use crate::host::Host;
use crate::platform::Platform;
use crate::runs::RunReport;
use crate::server::{listen, serve, serve_host};
use crate::spec::HostSpec;
use crate::world::World;
use crate::{control, platform_http};

const DEFAULT_THREADS: usize = 2;
/// How long tasks may take to stop.
const STOP_TIME: Duration = Duration::from_secs(2);
const DEFAULT_BYTES_PER_SECOND: u64 = 1 << 30;

/// Sets up the stand-ins.
#[derive(Debug, Default)]
pub struct StandinsBuilder {
    hosts: Vec<HostSpec>,
    weights: BTreeMap<SmolStr, u64>,
    bytes_per_second: Option<u64>,
    list_lag: Duration,
    platform: Option<SocketAddr>,
    control: Option<SocketAddr>,
    threads: Option<usize>,
}

/// Why the stand-ins can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A runtime or a listener can't be had.
    #[error("stand-ins can't start: {0}")]
    Io(#[from] std::io::Error),
    /// Two hosts have the same name.
    #[error("two stand-in hosts are called {0}")]
    Duplicate(HostId),
}

/// The stand-ins while they run; dropping this stops them all.
pub struct Standins {
    world: Arc<World>,
    description: Arc<Value>,
    platform: SmolStr,
    control: SmolStr,
    /// Taken when it is dropped.
    runtime: Option<Runtime>,
}

impl StandinsBuilder {
    /// Adds target hosts.
    pub fn hosts(mut self, specs: impl IntoIterator<Item = HostSpec>) -> StandinsBuilder {
        self.hosts.extend(specs);
        self
    }

    /// Puts a model version of `bytes` into the weight store.
    pub fn weights(mut self, model: &str, version: &str, bytes: u64) -> StandinsBuilder {
        self.weights
            .insert(format_smolstr!("{model}@{version}"), bytes);
        self
    }

    /// Sets the rate of the weight store, shared by all loads; 1 GiB/s by default.
    pub fn weight_rate(mut self, bytes_per_second: u64) -> StandinsBuilder {
        self.bytes_per_second = Some(bytes_per_second);
        self
    }

    /// Sets by how much the host list lags; not at all by default.
    pub fn list_lag(mut self, lag: Duration) -> StandinsBuilder {
        self.list_lag = lag;
        self
    }

    /// Serves the platform there and not on a free loopback port.
    pub fn platform_address(mut self, address: SocketAddr) -> StandinsBuilder {
        self.platform = Some(address);
        self
    }

    /// Serves the switches there and not on a free loopback port.
    pub fn control_address(mut self, address: SocketAddr) -> StandinsBuilder {
        self.control = Some(address);
        self
    }

    /// Sets how many threads serve; 2 by default.
    pub fn threads(mut self, threads: usize) -> StandinsBuilder {
        self.threads = Some(threads.max(1));
        self
    }

    /// Starts everything, each target with a listener of its own.
    ///
    /// # Errors
    /// When an address can't be had or two hosts share a name.
    pub fn start(self) -> Result<Standins, StartError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.threads.unwrap_or(DEFAULT_THREADS))
            .thread_name("standin")
            .enable_all()
            .build()?;
        // On a thread of its own, as the caller's may belong to another runtime.
        let start = || runtime.block_on(self.start_all());
        let started = std::thread::scope(|scope| scope.spawn(start).join());
        let mut started = started.unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
        started.runtime = Some(runtime);
        Ok(started)
    }

    async fn start_all(self) -> Result<Standins, StartError> {
        let platform_listener = listen(self.platform).await?;
        let control_listener = listen(self.control).await?;
        let platform = platform_listener.local_addr()?.to_smolstr();
        let control = control_listener.local_addr()?.to_smolstr();
        let (hosts, listeners) = listen_all(self.hosts).await?;
        let list: Vec<HostEntry> = hosts.values().map(|h| h.entry(HostState::Live)).collect();
        let rate = self.bytes_per_second.unwrap_or(DEFAULT_BYTES_PER_SECOND);
        let state = Platform::new(self.weights, rate, self.list_lag, list);
        let world = Arc::new(World {
            hosts,
            platform: state,
        });
        let description = Arc::new(control::describe(&control, &platform, &world));
        for (id, listener) in listeners {
            let host = Arc::clone(&world.hosts[&id]);
            tokio::spawn(serve_host(Arc::clone(&world), host, listener));
        }
        spawn_platform(Arc::clone(&world), platform_listener);
        spawn_control(
            Arc::clone(&world),
            Arc::clone(&description),
            control_listener,
        );
        Ok(Standins {
            world,
            description,
            platform,
            control,
            runtime: None,
        })
    }
}

async fn listen_all(
    specs: Vec<HostSpec>,
) -> Result<(BTreeMap<HostId, Arc<Host>>, Vec<(HostId, TcpListener)>), StartError> {
    let mut hosts = BTreeMap::new();
    let mut listeners = Vec::new();
    for spec in specs {
        let id = spec.id.clone();
        let listener = listen(spec.address).await?;
        let address = listener.local_addr()?.to_smolstr();
        if hosts
            .insert(id.clone(), Arc::new(Host::new(spec, address)))
            .is_some()
        {
            return Err(StartError::Duplicate(id));
        }
        listeners.push((id, listener));
    }
    Ok((hosts, listeners))
}

fn spawn_platform(world: Arc<World>, listener: TcpListener) {
    tokio::spawn(async move {
        let answer = move |req| platform_http::answer(Arc::clone(&world), req);
        match serve(&listener, &mut JoinSet::new(), answer).await {}
    });
}

fn spawn_control(world: Arc<World>, description: Arc<Value>, listener: TcpListener) {
    tokio::spawn(async move {
        let answer = move |req| control::answer(Arc::clone(&world), Arc::clone(&description), req);
        match serve(&listener, &mut JoinSet::new(), answer).await {}
    });
}

impl Standins {
    /// Sets up stand-ins.
    pub fn builder() -> StandinsBuilder {
        StandinsBuilder::default()
    }

    /// `IP:PORT` of the platform: table, objects, weights and host list.
    pub fn platform_address(&self) -> &str {
        &self.platform
    }

    /// `IP:PORT` of the switches, which have no faults of their own.
    pub fn control_address(&self) -> &str {
        &self.control
    }

    /// All hosts, as a list without lag shows them.
    pub fn host_entries(&self) -> Vec<HostEntry> {
        self.world
            .hosts
            .values()
            .map(|host| host.entry(HostState::Live))
            .collect()
    }

    /// `IP:PORT` of a host.
    pub fn address_of(&self, host: &str) -> Option<&str> {
        self.world.hosts.get(host).map(|host| host.address.as_str())
    }

    /// What a host ran and was ordered.
    pub fn runs(&self, host: &str) -> Option<RunReport> {
        self.world.hosts.get(host).map(|host| host.runs.report())
    }

    /// When a host first became ready in this epoch of a group, exactly and by its own
    /// account: also where it has not answered anybody since.
    pub fn ready_since(&self, host: &str, group: &str, epoch: Epoch) -> Option<Instant> {
        self.world.hosts.get(host)?.ready_since(group, epoch)
    }

    /// How many requests wait for a slot of a host.
    pub fn waiting(&self, host: &str) -> Option<usize> {
        self.world.hosts.get(host).map(|host| host.slots.waiting())
    }

    /// Every address and fault switch, as JSON.
    pub fn serve_description(&self) -> Value {
        (*self.description).clone()
    }
}

impl Drop for Standins {
    fn drop(&mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        // Waits, so that nothing answers any more when this returns; on a thread
        // of its own, as a runtime's own thread must not wait for another.
        let stop = || runtime.shutdown_timeout(STOP_TIME);
        std::thread::scope(|scope| drop(scope.spawn(stop).join()));
    }
}
