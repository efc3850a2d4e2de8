//! Connections to hosts through other nodes, and for them.
//!
//! A node that loses its links to hosts goes on with what it was doing: it asks for slots, sends
//! requests and orders and checks hosts as before, and only its connections lead through a node that
//! reaches the hosts. That node connects directly, so there is one hop and no loop.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use eelgrassmill_account::HeldKind;
use eelgrassmill_base::{HostId, NodeId};
use eelgrassmill_engine::{Relay, RelayEnd, RelayError, RelayRequest, RelayStream, SendError};
use eelgrassmill_fleet::RelayChoice;
use eelgrassmill_peer::{HostConnection, TunnelError, TunnelReader};
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::logs::LogRateLimit;
use crate::ports::Platform;

/// Tunnels that this node carries for others: several times the requests that run at one node.
const MAX_TUNNELS: usize = 256;
/// What a tunnel for another node holds at most, in bytes: frames and the flow-control windows both
/// ways.
const TUNNEL_BYTES: usize = 192 << 10;
/// Tunnels that this node opens at the same time.
const MAX_OPENING: usize = 256;
/// Timeout of a tunnel: connecting to a host takes 1 to 5 ms, and as long to another node.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(120);
/// The same at a node that has lost its links: no direct connection is waited for.
const CUT_OFF_TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);
/// Nodes that have to agree that the host is the cause, if so many can be asked.
const MIN_DENIALS: usize = 2;
/// Hosts that are tried to find out whether this node reaches any.
const MAX_REFERENCE_HOSTS: usize = 3;
/// Time without an answer after which a further node is asked at the same time.
const ASK_INTERVAL: Duration = Duration::from_millis(40);
/// A node vouches that a host is the cause only if it reached another host this recently.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(500);
/// Bytes that are read at once on the way to a host.
const READ_BYTES: usize = 8 << 10;
/// Frames that are buffered on the way to a host.
const BUFFERED_FRAMES: usize = 4;

/// This node's tunnels.
#[derive(Debug)]
pub(crate) struct HostRelay {
    /// Places for tunnels of other nodes.
    carried: Arc<Semaphore>,
    /// Places for tunnels that are being opened.
    opening: Arc<Semaphore>,
    choice: Mutex<RelayChoice>,
    log_limit: Mutex<LogRateLimit>,
}

impl Default for HostRelay {
    fn default() -> HostRelay {
        HostRelay {
            carried: Arc::new(Semaphore::new(MAX_TUNNELS)),
            opening: Arc::new(Semaphore::new(MAX_OPENING)),
            choice: Mutex::default(),
            log_limit: Mutex::default(),
        }
    }
}

impl HostRelay {
    /// Number of tunnels that this node carries for others.
    pub(crate) fn carried(&self) -> usize {
        MAX_TUNNELS - self.carried.available_permits()
    }
}

/// Opens the tunnels that this node's clients request, until the process ends.
pub(crate) async fn run<P: Platform>(
    core: Arc<Core<P>>,
    mut requests: mpsc::Receiver<RelayRequest>,
) {
    while let Some(req) = requests.recv().await {
        let permit = Arc::clone(&core.host_relay.opening).acquire_owned().await;
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            let RelayRequest { address, mut reply } = req;
            let opened = tokio::select! {
                opened = open(&core, &address) => opened,
                () = reply.closed() => return,
            };
            drop(permit);
            log_opened(&core, &address, &opened);
            // A connection that is no longer needed closes here.
            let _ = reply.send(opened);
        });
    }
}

/// Opens a connection through the node that answers first.
async fn open<P: Platform>(core: &Arc<Core<P>>, address: &str) -> Result<RelayStream, RelayError> {
    let candidates = {
        let now = Instant::now();
        let nodes = locked(&core.nodes);
        locked(&core.host_relay.choice).candidates(nodes.alive(now), fastrand::u64(..), now)
    };
    let needed_denials = MIN_DENIALS.min(candidates.len());
    let mut candidates = candidates.into_iter();
    let mut asked = JoinSet::new();
    let mut denials = 0;
    loop {
        if let Some(node) = candidates.next() {
            let (core, address) = (Arc::clone(core), SmolStr::from(address));
            asked.spawn(async move { open_through(&core, node, &address).await });
        }
        let has_more = candidates.len() > 0;
        let answered = tokio::select! {
            answered = asked.join_next() => answered,
            () = tokio::time::sleep(ASK_INTERVAL), if has_more => continue,
        };
        // The task can't panic; one that did would count as not asked.
        let Some(Ok(answered)) = answered else {
            return Err(RelayError::Unavailable);
        };
        let denial = match answered {
            Ok(stream) => return Ok(stream),
            Err(TunnelError::Unavailable) => continue,
            Err(TunnelError::Refused) => RelayError::Refused,
            Err(TunnelError::Unreachable) => RelayError::Unreachable,
        };
        denials += 1;
        if denials == needed_denials {
            return Err(denial);
        }
    }
}

async fn open_through<P: Platform>(
    core: &Arc<Core<P>>,
    node: NodeId,
    address: &str,
) -> Result<RelayStream, TunnelError> {
    let peer = core.peer().ok_or(TunnelError::Unavailable)?;
    let (sent, frames) = mpsc::channel(BUFFERED_FRAMES);
    let timeout = if is_cut_off(core) {
        CUT_OFF_TUNNEL_TIMEOUT
    } else {
        TUNNEL_TIMEOUT
    };
    let reader = peer.open_tunnel(&node, address, timeout, frames).await;
    if matches!(reader, Err(TunnelError::Unavailable)) {
        locked(&core.host_relay.choice).mark_unavailable(&node, Instant::now());
    }
    let reader = reader?;
    let (stream, end) = RelayStream::new();
    tokio::spawn(carry(end, reader, sent));
    Ok(stream)
}

/// Carries bytes between a client of this node and a tunnel until either closes.
async fn carry(end: RelayEnd, mut reader: TunnelReader, frames: mpsc::Sender<bytes::Bytes>) {
    let RelayEnd { received, mut sent } = end;
    let to_host = async {
        loop {
            let mut data = BytesMut::with_capacity(READ_BYTES);
            match sent.read_buf(&mut data).await {
                Ok(0) | Err(_) => return,
                // The tunnel's end shows in what is read from it.
                Ok(_) if frames.send(data.freeze()).await.is_err() => std::future::pending().await,
                Ok(_) => {}
            }
        }
    };
    let from_host = async {
        while let Some(chunk) = reader.next().await {
            if received.send(chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = to_host => {}
        () = from_host => {}
    }
}

/// Connects to a host for another node.
pub(crate) async fn connect_host<P: Platform>(
    core: &Core<P>,
    address: &str,
    timeout: Duration,
) -> Result<HostConnection, TunnelError> {
    if !locked(&core.fleet).hosts().any(|h| h.address == address) {
        return Err(TunnelError::Unreachable);
    }
    if is_cut_off(core) || core.is_leaving() {
        return Err(TunnelError::Unavailable);
    }
    let permit = Arc::clone(&core.host_relay.carried).try_acquire_owned();
    let permit = permit.map_err(|_| TunnelError::Unavailable)?;
    let charge = core.account.try_charge(HeldKind::Relay, TUNNEL_BYTES);
    let charge = charge.map_err(|_| TunnelError::Unavailable)?;
    // The calling node's time includes the way here and back.
    let opened = tokio::time::timeout(timeout.mul_f64(0.8), core.http.open_for_peer(address));
    let stream = match opened.await {
        Ok(Ok(stream)) => stream,
        _ if !reached_hosts_recently(core) => return Err(TunnelError::Unavailable),
        Ok(Err(SendError::Refused(_))) => return Err(TunnelError::Refused),
        Ok(Err(_)) | Err(_) => return Err(TunnelError::Unreachable),
    };
    stream
        .set_nodelay(true)
        .map_err(|_| TunnelError::Unreachable)?;
    core.metrics
        .relayed_connections
        .with_label_values(&["carried"])
        .inc();
    Ok(HostConnection {
        stream,
        permit,
        charge,
        closing: core.exiting(),
    })
}

fn is_cut_off<P: Platform>(core: &Core<P>) -> bool {
    core.http.relay().is_some_and(Relay::is_cut_off)
}

fn reached_hosts_recently<P: Platform>(core: &Core<P>) -> bool {
    let last = core.http.relay().and_then(Relay::last_direct);
    last.is_some_and(|at| at.elapsed() < MAX_EVIDENCE_AGE)
}

/// Whether this node reaches hosts directly, by those other than `except`. Otherwise what it finds
/// out about a host may be the state of its own links.
pub(crate) async fn reaches_hosts<P: Platform>(core: &Arc<Core<P>>, except: &[HostId]) -> bool {
    if core.http.relay().is_none() || reached_hosts_recently(core) {
        return true;
    }
    let mut others: Vec<SmolStr> = {
        let fleet = locked(&core.fleet);
        let others = fleet.hosts().filter(|h| !except.contains(&h.id));
        others.map(|h| h.address.clone()).collect()
    };
    if others.is_empty() {
        return true;
    }
    fastrand::shuffle(&mut others);
    let mut opening = JoinSet::new();
    for address in others.into_iter().take(MAX_REFERENCE_HOSTS) {
        let core = Arc::clone(core);
        opening.spawn(async move { core.http.open_for_peer(&address).await.is_ok() });
    }
    while let Some(opened) = opening.join_next().await {
        if opened.unwrap_or(false) {
            return true;
        }
    }
    false
}

fn log_opened<P: Platform>(
    core: &Core<P>,
    address: &str,
    opened: &Result<RelayStream, RelayError>,
) {
    let outcome = match opened {
        Ok(_) => "opened",
        Err(RelayError::Unavailable) => "unavailable",
        Err(RelayError::Refused) => "refused",
        Err(RelayError::Unreachable) => "unreachable",
    };
    let connections = &core.metrics.relayed_connections;
    connections.with_label_values(&[outcome]).inc();
    if locked(&core.host_relay.log_limit).is_due(Instant::now()) {
        info!(event = "host-relay", %address, outcome, cut_off = is_cut_off(core));
    }
}
