//! The I/O around the dissemination state: the server, the flush loop and the client calls.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_account::{ByteAccount, ConnectionTable};
use eelgrassmill_base::{NodeId, StorePosition, value};
use prost::bytes::Bytes;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;

use crate::blocked_peers::BlockedPeers;
use crate::config_text::{ConfigText, restore};
use crate::dissemination::{Dissemination, DisseminationConfig, Member};
use crate::error::PeerError;
use crate::item::{Item, ItemKey, Update};
use crate::meter::{Meter, MeteredStream, Traffic};
use crate::tunnel::{HostConnection, TunnelError, TunnelReader, outgoing};
use crate::wire::client::{Pool, PoolKind};
use crate::wire::host_messages::{LimitReply, LimitRequest, SuspectReply, SuspectRequest};
use crate::wire::messages::{
    Batch, FetchConfigReply, FetchConfigRequest, ListReply, ListRequest, QuotaReply, QuotaRequest,
    ScheduleReply, ScheduleRequest, TimelineReply, TimelineRequest,
};
use crate::wire::path;
use crate::wire::server::PeerServer;

/// Maximum number of accepted connections that have sent nothing, or hardly anything.
const MAX_UNPROVEN_CONNECTIONS: usize = 64;
/// Bytes after which a connection counts as another node's: more than the preface of HTTP/2.
const TRUSTED_BYTES: usize = 256;
/// How long an accepted connection may wait for another one to be closed for it.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a node that doesn't read is disconnected, if its keep-alive pings haven't
/// shown that before.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of concurrent calls per connection. Besides short calls these are slot requests
/// of one node, which wait for up to 1.4 s.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;
/// Maximum number of batches in flight to one node.
const MAX_IN_FLIGHT_BATCHES: usize = 4;
/// Maximum number of batches whose updates are queued for the handler.
const MAX_QUEUED_BATCHES: usize = 1024;
/// How often a node that knows no other sends a hello to the seeds: of nodes that start
/// together the seeds may be the last.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of the first hellos. A seed that is powered off doesn't refuse the connection, which
/// must be opened again once the seed is up.
const FAST_HELLO_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of hellos after which the seeds are considered slow and the call timeout applies.
const FAST_HELLOS: u32 = 6;
/// Interval and timeout of HTTP/2 keep-alive pings to other nodes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Handles received updates and the calls of other nodes.
///
/// Only [`PeerHandler::list`] and [`PeerHandler::schedule`] may wait.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles updates in the order in which they were received.
    fn on_updates(&self, updates: Vec<Update>);

    /// The active configuration, if any.
    fn config(&self) -> Option<ConfigText> {
        None
    }

    /// The configuration of a given version if it is still available, as the base of a difference.
    fn config_at_version(&self, _version: u64) -> Option<ConfigText> {
        None
    }

    /// The events that match `query`; none by default.
    fn timeline(&self, _query: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    /// The slots granted to an entry host; none by default.
    fn quota(&self, _req: QuotaRequest) -> QuotaReply {
        QuotaReply::default()
    }

    /// Handles crash reports and a trial request as the quarantine coordinator of a service; by
    /// default no trial is permitted.
    fn suspects(&self, _req: SuspectRequest) -> SuspectReply {
        SuspectReply::default()
    }

    /// Handles limits that the calling node observed, and decides whether it may send a request to a
    /// limited target; by default it may not.
    fn limits(&self, _req: LimitRequest) -> LimitReply {
        LimitReply::default()
    }

    /// The changes of a list kept by the platform, once there are any or the caller's wait time
    /// is over; none by default.
    fn list(&self, _req: ListRequest) -> impl Future<Output = ListReply> + Send {
        std::future::ready(ListReply::default())
    }

    /// Handles slot events and a slot request as the scheduler of a model; no scheduler by
    /// default.
    fn schedule(&self, _req: ScheduleRequest) -> impl Future<Output = ScheduleReply> + Send {
        std::future::ready(ScheduleReply::default())
    }

    /// Connects to a host for the node `from`; by default it does not.
    fn connect_host(
        &self,
        _from: &NodeId,
        _address: &str,
        _timeout: Duration,
    ) -> impl Future<Output = Result<HostConnection, TunnelError>> + Send {
        std::future::ready(Err(TunnelError::Unavailable))
    }

    /// The timestamp to send with a batch, so that events of two nodes can be ordered causally.
    fn timestamp(&self) -> HlcTimestamp {
        HlcTimestamp::default()
    }

    /// Handles the timestamp of another node's batch.
    fn on_timestamp(&self, _timestamp: HlcTimestamp) {}
}

value! { copy
    /// A timestamp of the hybrid logical clock in the timeline crate.
    #[derive(Default)]
    pub struct HlcTimestamp {
        /// Milliseconds since 1970.
        pub wall_ms: u64,
        /// Counter within one millisecond.
        pub counter: u32,
    }
}

value! {
    /// Configuration of a [`PeerNode`].
    pub struct PeerNodeConfig {
        /// Its identity and timing. `me.address` is replaced by the address that it listens on.
        pub dissemination: DisseminationConfig,
        /// Address to listen on; port 0 for a free one.
        pub listen: SocketAddr,
        /// Nodes to contact while no other is known.
        pub seeds: Vec<SocketAddr>,
        /// Maximum number of connections accepted from other nodes.
        pub max_connections: usize,
    }
}

/// A running node of the peer protocol.
pub struct PeerNode<H> {
    inner: Arc<Inner<H>>,
    local_address: SocketAddr,
    stop: watch::Sender<bool>,
}

/// State shared by the server, the flush loop and the client calls.
pub(crate) struct Inner<H> {
    pub(crate) me: NodeId,
    state: Mutex<Dissemination>,
    pub(crate) handler: Arc<H>,
    pub(crate) blocked_peers: BlockedPeers,
    pool: Pool,
    /// Connections for tunnels.
    tunnels: Pool,
    meter: Meter,
    seeds: Mutex<Vec<SocketAddr>>,
    flush_interval: Duration,
    call_timeout: Duration,
    /// Connections accepted from other nodes.
    connections: ConnectionTable,
    /// Updates queued for the handler. Capacity is reserved before the state changes, which
    /// keeps the order and loses no update if the handler lags.
    update_queue: mpsc::Sender<Vec<Update>>,
    in_flight: Mutex<BTreeMap<NodeId, usize>>,
}

impl<H: PeerHandler> PeerNode<H> {
    /// Listens, and runs the server and the flush loop on `runtime` until [`PeerNode::stop`].
    ///
    /// # Errors
    /// If `cfg.listen` can't be listened on.
    pub fn start(
        cfg: PeerNodeConfig,
        handler: Arc<H>,
        blocked_peers: BlockedPeers,
        runtime: &Handle,
    ) -> Result<PeerNode<H>, PeerError> {
        let listener = std::net::TcpListener::bind(cfg.listen).map_err(PeerError::Listen)?;
        PeerNode::start_on(listener, cfg, handler, blocked_peers, runtime)
    }

    /// Like [`PeerNode::start`], but on an open listener, whose port others may already know;
    /// `cfg.listen` is ignored.
    ///
    /// # Errors
    /// If the listener can't be used.
    pub fn start_on(
        listener: std::net::TcpListener,
        mut cfg: PeerNodeConfig,
        handler: Arc<H>,
        blocked_peers: BlockedPeers,
        runtime: &Handle,
    ) -> Result<PeerNode<H>, PeerError> {
        listener.set_nonblocking(true).map_err(PeerError::Listen)?;
        let local_address = listener.local_addr().map_err(PeerError::Listen)?;
        cfg.dissemination.me.address = local_address.to_string().into();
        let (update_queue, queued) = mpsc::channel(MAX_QUEUED_BATCHES);
        let inner = Arc::new(Inner::new(cfg, handler, blocked_peers, update_queue));
        let (stop, stopped) = watch::channel(false);
        {
            let _guard = runtime.enter();
            let listener =
                tokio::net::TcpListener::from_std(listener).map_err(PeerError::Listen)?;
            runtime.spawn(serve(Arc::clone(&inner), listener, stopped.clone()));
        }
        runtime.spawn(deliver_updates(Arc::clone(&inner.handler), queued));
        runtime.spawn(run_flush_loop(Arc::clone(&inner), stopped));
        Ok(PeerNode {
            inner,
            local_address,
            stop,
        })
    }

    /// The address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Runs `use_state` with the state locked; it must not block.
    pub fn with_state<T>(&self, use_state: impl FnOnce(&mut Dissemination) -> T) -> T {
        use_state(&mut self.inner.state())
    }

    /// Publishes an item until it is replaced or withdrawn.
    pub fn publish(&self, item: Item) {
        self.inner.state().publish(item, Instant::now());
    }

    /// Publishes an item that expires at every node after `ttl`.
    pub fn publish_with_ttl(&self, item: Item, ttl: Duration) {
        self.inner
            .state()
            .publish_with_ttl(item, ttl, Instant::now());
    }

    /// Withdraws an item.
    pub fn withdraw(&self, key: &ItemKey) {
        self.inner.state().withdraw(key, Instant::now());
    }

    /// Confirms that everything published by this node was still valid at `as_of`.
    pub fn confirm(&self, as_of: Instant) {
        self.inner.state().confirm(as_of);
    }

    /// Replaces the nodes to contact while no other is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self
            .inner
            .seeds
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Sets the list of members as read from the table.
    pub fn set_members(&self, members: impl IntoIterator<Item = Member>) {
        self.inner.state().set_members(members, Instant::now());
    }

    /// Fetches the events of `node` that match `query`.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub async fn fetch_timeline(
        &self,
        node: &NodeId,
        query: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let from = self.inner.me.to_string();
        let req = TimelineRequest { from, query };
        let reply: TimelineReply = self.inner.call(node, path::TIMELINE, req, timeout).await?;
        Ok(reply.events)
    }

    /// Requests slots from the watcher `node`.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub async fn request_quota(
        &self,
        node: &NodeId,
        req: QuotaRequest,
        timeout: Duration,
    ) -> Result<QuotaReply, PeerError> {
        self.inner.call(node, path::QUOTA, req, timeout).await
    }

    /// Fetches the changes of `list` after `since` from `node`, which waits up to `wait` for one.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub async fn fetch_list(
        &self,
        node: &NodeId,
        list: &str,
        since: StorePosition,
        wait: Duration,
        timeout: Duration,
    ) -> Result<ListReply, PeerError> {
        let req = ListRequest {
            from: self.inner.me.to_string(),
            list: list.to_owned(),
            since: since.version,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            era: Some(since.era),
        };
        self.inner.call(node, path::LIST, req, wait + timeout).await
    }

    /// Sends slot events to the scheduler at `node` and may request a slot.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub async fn call_scheduler(
        &self,
        node: &NodeId,
        req: ScheduleRequest,
        timeout: Duration,
    ) -> Result<ScheduleReply, PeerError> {
        self.inner.call(node, path::SCHEDULE, req, timeout).await
    }

    /// Sends crash reports to the quarantine coordinator at `node` and may request a trial.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub async fn call_quarantine_coordinator(
        &self,
        node: &NodeId,
        req: SuspectRequest,
        timeout: Duration,
    ) -> Result<SuspectReply, PeerError> {
        self.inner.call(node, path::SUSPECTS, req, timeout).await
    }

    /// Reports limits to `node`, which keeps them, and may ask to send a request to a limited target.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub async fn call_limit_keeper(
        &self,
        node: &NodeId,
        req: LimitRequest,
        timeout: Duration,
    ) -> Result<LimitReply, PeerError> {
        self.inner.call(node, path::LIMITS, req, timeout).await
    }

    /// Opens a connection to the host at `address` through `node`, which takes the bytes in `sent`.
    ///
    /// # Errors
    /// If `node` doesn't open it within `timeout`.
    pub async fn open_tunnel(
        &self,
        node: &NodeId,
        address: &str,
        timeout: Duration,
        sent: mpsc::Receiver<Bytes>,
    ) -> Result<TunnelReader, TunnelError> {
        let inner = &self.inner;
        if inner.blocked_peers.contains(node) {
            return Err(TunnelError::Unavailable);
        }
        let frames = outgoing(&inner.me, address, timeout, sent);
        let node = inner.address(node)?;
        let opened = inner.tunnels.open_tunnel(node, frames, timeout).await;
        inner.meter.record_call(opened.is_ok());
        opened.map(TunnelReader::from)
    }

    /// Fetches the active configuration of `node`, as a difference from `base` if that node
    /// still has it.
    ///
    /// # Errors
    /// If the node can't be reached, has none, or the text doesn't match its checksum.
    pub async fn fetch_config(
        &self,
        node: &NodeId,
        base: Option<&ConfigText>,
        timeout: Duration,
    ) -> Result<ConfigText, PeerError> {
        let restored = self.fetch_config_once(node, base, timeout).await;
        match restored {
            // The two nodes have different texts for the base version: fetch the full text.
            Err(PeerError::Checksum) if base.is_some() => {
                self.fetch_config_once(node, None, timeout).await
            }
            other => other,
        }
    }

    async fn fetch_config_once(
        &self,
        node: &NodeId,
        base: Option<&ConfigText>,
        timeout: Duration,
    ) -> Result<ConfigText, PeerError> {
        let req = FetchConfigRequest {
            from: self.inner.me.to_string(),
            have_version: base.map_or(0, |base| base.version),
            have_checksum: base.map_or_else(String::new, |base| base.checksum.to_string()),
        };
        let inner = &self.inner;
        let reply: FetchConfigReply = inner.call(node, path::FETCH_CONFIG, req, timeout).await?;
        restore(reply, base)
    }

    /// The traffic over the connections to other nodes so far.
    pub fn traffic(&self) -> Traffic {
        self.inner.meter.traffic()
    }

    /// Stops listening and flushing. Calls in flight complete.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl<H> Drop for PeerNode<H> {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

impl<H: PeerHandler> Inner<H> {
    fn new(
        cfg: PeerNodeConfig,
        handler: Arc<H>,
        blocked_peers: BlockedPeers,
        update_queue: mpsc::Sender<Vec<Update>>,
    ) -> Inner<H> {
        let meter = Meter::default();
        let timing = &cfg.dissemination.timing;
        Inner {
            me: cfg.dissemination.me.id.clone(),
            handler,
            blocked_peers,
            pool: Pool::new(timing.call_timeout, meter.clone(), PoolKind::Calls),
            tunnels: Pool::new(timing.call_timeout, meter.clone(), PoolKind::Tunnels),
            meter,
            seeds: Mutex::new(cfg.seeds),
            connections: ConnectionTable::new(cfg.max_connections)
                .limit_unproven(MAX_UNPROVEN_CONNECTIONS),
            flush_interval: timing.flush_interval,
            call_timeout: timing.call_timeout,
            update_queue,
            in_flight: Mutex::new(BTreeMap::new()),
            state: Mutex::new(Dissemination::new(cfg.dissemination, Instant::now())),
        }
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.clone()
    }

    fn state(&self) -> MutexGuard<'_, Dissemination> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a batch and returns the reply, or `None` if the update queue is full and the
    /// sender must retry.
    pub(crate) fn receive(&self, from: &NodeId, batch: Batch) -> Option<Batch> {
        self.observe_timestamp(&batch);
        let permit = self.update_queue.try_reserve().ok()?;
        let mut state = self.state();
        let now = Instant::now();
        let updates = state.receive(from, batch, now);
        let mut reply = state.reply(from, now);
        permit.send(updates);
        drop(state);
        self.set_timestamp(&mut reply);
        Some(reply)
    }

    fn observe_timestamp(&self, batch: &Batch) {
        self.handler.on_timestamp(HlcTimestamp {
            wall_ms: batch.hlc_wall_ms,
            counter: batch.hlc_counter,
        });
    }

    fn set_timestamp(&self, batch: &mut Batch) {
        let timestamp = self.handler.timestamp();
        batch.hlc_wall_ms = timestamp.wall_ms;
        batch.hlc_counter = timestamp.counter;
    }

    /// Applies the reply to a batch; what it requests is sent with the next flush.
    fn receive_reply(&self, from: &NodeId, batch: Batch) {
        self.observe_timestamp(&batch);
        let Ok(permit) = self.update_queue.try_reserve() else {
            return;
        };
        let mut state = self.state();
        let updates = state.receive(from, batch, Instant::now());
        permit.send(updates);
    }

    fn address(&self, node: &NodeId) -> Result<SocketAddr, PeerError> {
        let known = self.state().address_of(node);
        let address = known.ok_or_else(|| PeerError::NoAddress(node.clone()))?;
        address
            .parse()
            .map_err(|_| PeerError::InvalidAddress(address.to_string()))
    }

    async fn call<Req, Res>(
        &self,
        node: &NodeId,
        path: &'static str,
        req: Req,
        timeout: Duration,
    ) -> Result<Res, PeerError>
    where
        Req: prost::Message + Default + 'static,
        Res: prost::Message + Default + 'static,
    {
        if self.blocked_peers.contains(node) {
            return Err(PeerError::Blocked(node.clone()));
        }
        let address = self.address(node)?;
        let result = self.pool.call(address, path, req, timeout).await;
        self.meter.record_call(result.is_ok());
        result
    }

    /// Counts one more batch in flight to `node`; `false` if there are too many.
    fn try_begin_batch(&self, node: &NodeId) -> bool {
        let mut in_flight = self.in_flight();
        let count = in_flight.entry(node.clone()).or_default();
        let is_allowed = *count < MAX_IN_FLIGHT_BATCHES;
        *count += usize::from(is_allowed);
        is_allowed
    }

    fn end_batch(&self, node: &NodeId) {
        let mut in_flight = self.in_flight();
        if let Some(count) = in_flight.get_mut(node) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(node);
            }
        }
    }

    fn in_flight(&self) -> MutexGuard<'_, BTreeMap<NodeId, usize>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(&self, node: NodeId, mut batch: Batch) {
        self.set_timestamp(&mut batch);
        let result: Result<Batch, PeerError> = self
            .call(&node, path::EXCHANGE, batch, self.call_timeout)
            .await;
        self.end_batch(&node);
        match result {
            Ok(reply) => self.receive_reply(&node, reply),
            Err(_) => self.state().on_call_failed(&node, Instant::now()),
        }
    }

    async fn send_hello(&self, seed: SocketAddr, hello: Batch, timeout: Duration) {
        let result: Result<Batch, PeerError> =
            self.pool.call(seed, path::EXCHANGE, hello, timeout).await;
        if matches!(result, Err(PeerError::Timeout)) {
            // TCP retransmits a lost SYN only after a second.
            self.pool.drop_connection(seed);
        }
        self.meter.record_call(result.is_ok());
        if let Ok(reply) = result {
            let from = NodeId::from(reply.from.as_str());
            if !self.blocked_peers.contains(&from) {
                self.receive_reply(&from, reply);
            }
        }
    }
}

/// Serves calls until stopped.
async fn serve<H: PeerHandler>(
    inner: Arc<Inner<H>>,
    listener: tokio::net::TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let timeout = inner.call_timeout;
    // Nodes are trusted with what they send; only their connections are bounded.
    let account = ByteAccount::new(usize::MAX);
    let (connections, meter) = (inner.connections.clone(), inner.meter.clone());
    let accepted = TcpListenerStream::new(listener).then(move |accepted| {
        let (connections, account, meter) = (connections.clone(), account.clone(), meter.clone());
        async move {
            let Ok(io) = accepted else {
                // Without a pause a lack of descriptors would spin a core.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                return None;
            };
            // A connection that isn't admitted is closed, so that the node asks another one.
            let admitted = connections.admit(io, &account, WRITE_TIMEOUT);
            let io = tokio::time::timeout(ADMISSION_TIMEOUT, admitted).await;
            let io = io.ok()?.trust_after(TRUSTED_BYTES);
            Some(Ok::<_, std::io::Error>(MeteredStream::new(io, meter)))
        }
    });
    let incoming = accepted.filter_map(|accepted| accepted);
    let served = tonic::transport::Server::builder()
        .timeout(timeout)
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_INTERVAL))
        .add_service(PeerServer::new(inner))
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stopped.wait_for(|&stopped| stopped).await;
        })
        .await;
    if let Err(err) = served {
        tracing::error!(%err, "peer server failed");
    }
}

/// Passes updates to the handler in order.
async fn deliver_updates<H: PeerHandler>(handler: Arc<H>, mut queued: mpsc::Receiver<Vec<Update>>) {
    while let Some(updates) = queued.recv().await {
        if !updates.is_empty() {
            handler.on_updates(updates);
        }
    }
}

/// Sends what is due at each flush interval until stopped.
async fn run_flush_loop<H: PeerHandler>(inner: Arc<Inner<H>>, mut stopped: watch::Receiver<bool>) {
    let mut flushes = tokio::time::interval(inner.flush_interval);
    flushes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut next_hello = Instant::now();
    let mut hellos = 0;
    loop {
        tokio::select! {
            _ = flushes.tick() => {}
            _ = stopped.wait_for(|&stopped| stopped) => return,
        }
        send_due(&inner);
        if Instant::now() >= next_hello {
            let is_fast = hellos < FAST_HELLOS;
            hellos += 1;
            send_hellos(
                &inner,
                if is_fast {
                    FAST_HELLO_TIMEOUT
                } else {
                    inner.call_timeout
                },
            );
            next_hello = Instant::now() + HELLO_INTERVAL;
        }
    }
}

fn send_due<H: PeerHandler>(inner: &Arc<Inner<H>>) {
    let Ok(permit) = inner.update_queue.try_reserve() else {
        return;
    };
    let output = {
        let mut state = inner.state();
        let output = state.tick(Instant::now());
        permit.send(output.updates);
        output.batches
    };
    for (node, batch) in output {
        if inner.try_begin_batch(&node) {
            let inner = Arc::clone(inner);
            tokio::spawn(async move { inner.exchange(node, batch).await });
        } else {
            inner.state().on_call_failed(&node, Instant::now());
        }
    }
}

/// Sends hellos to the seeds while this node knows no other.
fn send_hellos<H: PeerHandler>(inner: &Arc<Inner<H>>, timeout: Duration) {
    let hello = {
        let state = inner.state();
        if state.overlay().len() > 1 {
            return;
        }
        state.hello(Instant::now())
    };
    for seed in inner.seeds() {
        let inner = Arc::clone(inner);
        let hello = hello.clone();
        tokio::spawn(async move { inner.send_hello(seed, hello, timeout).await });
    }
}
