//! Starting and stopping a node.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eelgrassmill_base::Shutdown;
use eelgrassmill_engine::TargetClient;
use eelgrassmill_peer::{PeerError, PeerNode};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tracing::info;

use crate::config::GatewayConfig;
use crate::core::Core;
use crate::heads::locked;
use crate::peers::{self, Peers};
use crate::ports::Platform;
use crate::reflector::{self, HostSink, OperatorSink};
use crate::server::{self, OpenConnections};
use crate::{configuration, leader, loss_detection, node_api};

/// After the signal to stop new connections are still taken for this long, in which
/// callers' answers with this node's address run out: they keep them for the time that
/// they are told, and some three times as long.
const OPEN_PORT_TTLS: u32 = 3;
/// Part of the grace in which new connections are still taken, at most.
const MAX_OPEN_PORT_RATIO: f64 = 0.4;
/// Part of the grace after which a node has ended. The rest is for the exit of its process.
const GRACE_RATIO: f64 = 0.95;
/// The end of that period, in which callers get an error for answers that are cut off.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(150);
/// How often a stopping node looks whether it is done.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(std::net::SocketAddr, #[source] io::Error),
    /// The port for other nodes can't be used.
    #[error("can't reach other nodes: {0}")]
    Peers(#[from] PeerError),
}

/// A node that runs.
pub struct Gateway<P: Platform> {
    core: Arc<Core<P>>,
    open: Arc<OpenConnections>,
    /// Takes callers' connections until the port closes.
    port: Mutex<Option<JoinHandle<()>>>,
    peer: Arc<PeerNode<Peers<P>>>,
}

impl<P: Platform> Gateway<P> {
    /// Listens, and starts everything on the current runtime.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub async fn start(
        cfg: GatewayConfig,
        platform: P,
        http: TargetClient,
    ) -> Result<Gateway<P>, GatewayError> {
        let core = Arc::new(Core::new(cfg, platform, http));
        let addresses = core.cfg.addresses.clone();
        let callers = listen(addresses.callers).await?;
        let ready = listen(addresses.ready).await?;
        let directory = listen(addresses.directory).await?;
        let peer = peers::start(&core, incarnation(), &Handle::current())?;
        let open = Arc::new(OpenConnections::default());
        let port = serve_callers(&core, callers, Arc::clone(&open));
        serve_node_api(&core, ready);
        serve_node_api(&core, directory);
        spawn_loops(&core);
        Ok(Gateway {
            core,
            open,
            port: Mutex::new(Some(port)),
            peer,
        })
    }

    /// Stops: leaves the addresses first, then ends connections between requests, and
    /// gives those that run their time. `false` when some still ran at the end.
    pub async fn stop(&self) -> bool {
        let shutdown = self.core.begin_shutdown(self.shutdown_from(Instant::now()));
        peers::publish_status(&self.core);
        info!(event = "stop", connections = self.open.count());
        self.wait_until(shutdown.closes()).await;
        self.core.stopping.send_replace(true);
        self.port_closed().await;
        info!(
            event = "stop",
            outcome = "port closed",
            connections = self.open.count()
        );
        let done = self.wait_until(shutdown.ends()).await;
        if !done {
            self.core.signal_exit();
            self.wait_until(shutdown.ends() + SHUTDOWN_NOTICE).await;
        }
        self.peer.stop();
        done
    }

    /// Waits until no connection is taken any more. One that is taken in the last moment must
    /// count: the process would exit with its request.
    async fn port_closed(&self) {
        let port = locked(&self.port).take();
        if let Some(port) = port {
            // It ends by returning or with the runtime.
            let _ = port.await;
        }
    }

    fn shutdown_from(&self, told: Instant) -> Shutdown {
        let cfg = &self.core.cfg;
        let kept = cfg.address_ttl * OPEN_PORT_TTLS;
        let open = kept.min(cfg.grace.mul_f64(MAX_OPEN_PORT_RATIO));
        let all = cfg.grace.mul_f64(GRACE_RATIO);
        Shutdown::new(told, open, all.saturating_sub(SHUTDOWN_NOTICE))
    }

    /// Waits until no connection is open or `end` is reached; whether none is.
    async fn wait_until(&self, end: Instant) -> bool {
        // Callers that keep their connections are still being told where else to go.
        while self.open.count() > 0 || !*self.core.stopping.borrow() {
            if Instant::now() >= end {
                return self.open.count() == 0;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| GatewayError::Listen(address, err))
}

/// This start of the node; a later one is higher unless the time of day jumped back.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn serve_callers<P: Platform>(
    core: &Arc<Core<P>>,
    listener: TcpListener,
    open: Arc<OpenConnections>,
) -> JoinHandle<()> {
    let (for_limits, for_calls) = (Arc::clone(core), Arc::clone(core));
    let stopping = core.stopping.subscribe();
    let limits = move || server::limits(&*for_limits);
    tokio::spawn(server::listen(
        listener,
        open,
        limits,
        stopping,
        move |req| server::handle(Arc::clone(&for_calls), req),
    ))
}

/// Serves questions to the node itself until the process ends.
fn serve_node_api<P: Platform>(core: &Arc<Core<P>>, listener: TcpListener) {
    let (for_limits, for_calls) = (Arc::clone(core), Arc::clone(core));
    let (never, stopping) = tokio::sync::watch::channel(false);
    let limits = move || server::limits(&*for_limits);
    let open = Arc::new(OpenConnections::default());
    tokio::spawn(async move {
        let _never = never;
        server::listen(listener, open, limits, stopping, move |req| {
            node_api::handle(Arc::clone(&for_calls), req)
        })
        .await;
    });
}

fn spawn_loops<P: Platform>(core: &Arc<Core<P>>) {
    let at = Arc::clone(core);
    tokio::spawn(async move {
        reflector::run(&*at, at.platform.hosts(), &HostSink(Arc::clone(&at))).await;
    });
    let at = Arc::clone(core);
    tokio::spawn(async move {
        reflector::run(&*at, at.platform.operator(), &OperatorSink(Arc::clone(&at))).await;
    });
    tokio::spawn(configuration::fetch_from_peers(Arc::clone(core)));
    tokio::spawn(leader::run(Arc::clone(core)));
    tokio::spawn(loss_detection::run(Arc::clone(core)));
    tokio::spawn(peers::publish_loads(Arc::clone(core)));
}
