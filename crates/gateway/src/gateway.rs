//! Start and graceful shutdown of a node.

use std::io;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eelgrassmill_account::ConnectionTable;
use eelgrassmill_base::Shutdown;
use eelgrassmill_engine::{RelayRequest, TargetClient};
use eelgrassmill_peer::{PeerError, PeerNode};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tracing::info;

use crate::config::{GatewayConfig, LiveConfig};
use crate::core::Core;
use crate::heads::locked;
use crate::peers::{self, UpdateHandler};
use crate::ports::Platform;
use crate::reflector::{HostSink, OperatorSink, run_reflector};
use crate::server::{self, Port};
use crate::settings::Settings;
use crate::{
    configuration, host_relay, host_signals, leader, loss_detection, node_api, quarantine,
};

/// How long new connections are still accepted after the signal to stop, in multiples of the
/// address TTL: callers keep this node's address for the TTL, and some for three times as long.
const OPEN_PORT_TTLS: u32 = 3;
/// Largest part of the grace period in which new connections are still accepted.
const MAX_OPEN_PORT_RATIO: f64 = 0.4;
/// Part of the grace period after which a node has stopped. The rest is for the process to exit.
const GRACE_RATIO: f64 = 0.95;
/// The end of that part, in which callers get an error for requests that are aborted.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(150);
/// How often a stopping node checks whether its connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a node failed to start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(std::net::SocketAddr, #[source] io::Error),
    /// The peer protocol can't be started.
    #[error("can't start the peer protocol: {0}")]
    Peers(#[from] PeerError),
}

/// A running node.
pub struct Gateway<P: Platform> {
    core: Arc<Core<P>>,
    /// Accepts callers' connections until the port closes.
    accept_loop: Mutex<Option<JoinHandle<()>>>,
    peer: Arc<PeerNode<UpdateHandler<P>>>,
    /// When the node received the signal to stop.
    signalled_at: OnceLock<Instant>,
}

impl<P: Platform> Gateway<P> {
    /// Binds the listeners and starts all tasks on the current runtime. `relay_requests` are those
    /// of the relay that `http` and the platform's clients use.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub async fn start(
        cfg: GatewayConfig,
        platform: P,
        http: TargetClient,
        relay_requests: mpsc::Receiver<RelayRequest>,
    ) -> Result<Gateway<P>, GatewayError> {
        let core = Arc::new(Core::new(cfg, platform, http));
        let addresses = core.cfg.addresses.clone();
        let callers = listen(addresses.callers)?;
        let ready = listen(addresses.ready)?;
        let directory = listen(addresses.directory)?;
        let peer = peers::start(&core, incarnation(), &Handle::current())?;
        let [of_callers, of_ready, of_directory] = &core.ports;
        let accept_loop = serve_callers(&core, callers, of_callers);
        serve_node_api(&core, ready, of_ready);
        serve_node_api(&core, directory, of_directory);
        spawn_tasks(&core);
        tokio::spawn(host_relay::run(Arc::clone(&core), relay_requests));
        Ok(Gateway {
            core,
            accept_loop: Mutex::new(Some(accept_loop)),
            peer,
            signalled_at: OnceLock::new(),
        })
    }

    /// Puts into force what may change while the node runs.
    pub(crate) fn apply(&self, settings: &Settings) {
        let (core, cfg) = (&self.core, &settings.gateway);
        core.set_live(LiveConfig::from(cfg));
        for (port, limit) in core.ports.iter().zip(cfg.limits.port_connections()) {
            port.set_limit(limit);
        }
        self.peer.set_seeds(cfg.addresses.other_seeds());
        core.platform.set_store(settings.store);
        if let Some(signalled_at) = self.signalled_at.get() {
            core.begin_shutdown(self.shutdown_from(*signalled_at));
        }
        peers::publish_status(core);
    }

    /// Shows how many changed settings need a restart.
    pub(crate) fn show_pending_settings(&self, count: usize) {
        let shown = i64::try_from(count).unwrap_or(i64::MAX);
        self.core.metrics.pending_settings.set(shown);
    }

    /// The settings in force that may change while the node runs.
    pub(crate) fn live(&self) -> LiveConfig {
        self.core.live()
    }

    /// Stops gracefully: withdraws this node's address, then closes connections between requests,
    /// and lets running requests finish. `false` if some still ran at the end.
    pub async fn stop(&self) -> bool {
        let signalled_at = *self.signalled_at.get_or_init(Instant::now);
        let initial = self.shutdown_from(signalled_at);
        self.core.begin_shutdown(initial);
        // A grace period that gets shorter meanwhile moves the deadlines.
        let shutdown = || self.core.shutdown().unwrap_or(initial);
        peers::publish_status(&self.core);
        info!(event = "stop", connections = self.open_connections());
        self.wait_drained(|| shutdown().accept_until()).await;
        self.core.stopping.send_replace(true);
        self.wait_port_closed().await;
        info!(
            event = "stop",
            outcome = "port closed",
            connections = self.open_connections()
        );
        let done = self.wait_drained(|| shutdown().drain_until()).await;
        // Tunnels of other nodes count as requests in progress, but not as failures to finish.
        self.wait_tunnels_closed(|| shutdown().drain_until()).await;
        if !done || self.core.host_relay.carried() > 0 {
            self.core.signal_exit();
            let end = shutdown().drain_until().max(Instant::now()) + SHUTDOWN_NOTICE;
            self.wait_drained(|| end).await;
        }
        self.peer.stop();
        done
    }

    /// Waits until no more connections are accepted. One that is accepted at the last moment must
    /// be counted, or the process would exit during its request.
    async fn wait_port_closed(&self) {
        let accept_loop = locked(&self.accept_loop).take();
        if let Some(accept_loop) = accept_loop {
            // A join error means that the runtime is shutting down.
            let _ = accept_loop.await;
        }
    }

    /// Callers' open connections.
    fn open_connections(&self) -> usize {
        let [callers, ..] = &self.core.ports;
        callers.usage().open
    }

    fn shutdown_from(&self, signalled_at: Instant) -> Shutdown {
        let live = self.core.live();
        let grace = live.grace;
        let addresses_expire = live.address_ttl * OPEN_PORT_TTLS;
        let open = addresses_expire.min(grace.mul_f64(MAX_OPEN_PORT_RATIO));
        let total = grace.mul_f64(GRACE_RATIO);
        Shutdown::new(signalled_at, open, total.saturating_sub(SHUTDOWN_NOTICE))
    }

    /// Waits until this node carries no tunnel or `end` is reached.
    async fn wait_tunnels_closed(&self, end: impl Fn() -> Instant) {
        while self.core.host_relay.carried() > 0 && Instant::now() < end() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Waits until no connection is open or `end` is reached. Returns whether none is open.
    async fn wait_drained(&self, end: impl Fn() -> Instant) -> bool {
        // Before the port closes, callers with open connections still have to learn of other nodes.
        while self.open_connections() > 0 || !*self.core.stopping.borrow() {
            if Instant::now() >= end() {
                return self.open_connections() == 0;
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        true
    }
}

fn listen(address: std::net::SocketAddr) -> Result<TcpListener, GatewayError> {
    eelgrassmill_account::listen(address).map_err(|err| GatewayError::Listen(address, err))
}

/// Identifies this start of the node; later starts have a higher value unless the wall clock was
/// set back.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn serve_callers<P: Platform>(
    core: &Arc<Core<P>>,
    listener: TcpListener,
    connections: &ConnectionTable,
) -> JoinHandle<()> {
    let (for_limits, for_requests) = (Arc::clone(core), Arc::clone(core));
    let stopping = core.stopping.subscribe();
    let limits = move || server::limits(&*for_limits);
    let port = Port {
        connections: connections.clone(),
        account: core.account.clone(),
        header_bytes: core.configuration.header_bytes(),
    };
    tokio::spawn(server::listen(
        listener,
        port,
        limits,
        stopping,
        move |req| server::handle(Arc::clone(&for_requests), req),
    ))
}

/// Serves requests to the node itself until the process ends.
fn serve_node_api<P: Platform>(
    core: &Arc<Core<P>>,
    listener: TcpListener,
    connections: &ConnectionTable,
) {
    let (for_limits, for_requests) = (Arc::clone(core), Arc::clone(core));
    let (never, stopping) = tokio::sync::watch::channel(false);
    let limits = move || server::limits(&*for_limits);
    let port = Port {
        connections: connections.clone(),
        account: core.account.clone(),
        header_bytes: core.configuration.header_bytes(),
    };
    tokio::spawn(async move {
        let _never = never;
        server::listen(listener, port, limits, stopping, move |req| {
            node_api::handle(Arc::clone(&for_requests), req)
        })
        .await;
    });
}

fn spawn_tasks<P: Platform>(core: &Arc<Core<P>>) {
    let shared = Arc::clone(core);
    tokio::spawn(async move {
        run_reflector(
            &*shared,
            shared.platform.hosts(),
            &HostSink(Arc::clone(&shared)),
        )
        .await;
    });
    let shared = Arc::clone(core);
    tokio::spawn(async move {
        run_reflector(
            &*shared,
            shared.platform.operator(),
            &OperatorSink(Arc::clone(&shared)),
        )
        .await;
    });
    tokio::spawn(configuration::fetch_from_peers(Arc::clone(core)));
    tokio::spawn(leader::run(Arc::clone(core)));
    tokio::spawn(loss_detection::run(Arc::clone(core)));
    tokio::spawn(host_signals::run(Arc::clone(core)));
    tokio::spawn(quarantine::send_reports_loop(Arc::clone(core)));
    tokio::spawn(quarantine::decide_loop(Arc::clone(core)));
    tokio::spawn(quarantine::save_evidence_loop(Arc::clone(core)));
    let shared = Arc::clone(core);
    tokio::spawn(async move { quarantine::restore(&shared).await });
    tokio::spawn(peers::publish_loads(Arc::clone(core)));
}
