//! The thin side that does the I/O: a server, the tick loop and the calls.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, value};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;

use crate::blocked_peers::BlockedPeers;
use crate::config_text::{ConfigText, restore};
use crate::dissemination::{Dissemination, DisseminationConfig, Member};
use crate::error::PeerError;
use crate::item::{Item, ItemKey, Update};
use crate::meter::{Meter, Metered, Traffic};
use crate::wire::client::Pool;
use crate::wire::messages::{
    Batch, FetchConfigReply, FetchConfigRequest, ListReply, ListRequest, QuotaReply, QuotaRequest,
    ScheduleReply, ScheduleRequest, TimelineReply, TimelineRequest,
};
use crate::wire::path;
use crate::wire::server::PeerServer;

/// Most connections that a node accepts from others.
const MAX_ACCEPTED: usize = 512;
/// Most calls that one connection has under way. Beside short calls these are requests of one node that wait for places, for 1.4 s at most.
const MAX_STREAMS: u32 = 256;
/// Most batches to one node that are under way.
const MAX_UNDER_WAY: usize = 4;
/// Most batches whose updates wait for the handler.
const MAX_UNHANDLED: usize = 1024;
/// A node that knows no other greets the seeds this often: of nodes that start together the
/// seeds may be the last.
const GREET_INTERVAL: Duration = Duration::from_millis(200);
/// How long one of the first greetings waits for its answer. A seed that has no power shows only
/// as silence, and its connection must be dialled anew once it is up.
const GREET_TIMEOUT: Duration = Duration::from_millis(300);
/// Greetings after which seeds are taken for slow, and given the longest transit.
const FAST_GREETINGS: u32 = 6;
/// A connection over which nothing comes back for this long is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// What a node does with what it learns, and answers when it is asked.
///
/// No method but [`PeerHandler::list`] and [`PeerHandler::schedule`] may wait.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes what this node learned, in the order in which it did.
    fn on_updates(&self, updates: Vec<Update>);

    /// The configuration in force here, where this node has one to tell.
    fn config(&self) -> Option<ConfigText> {
        None
    }

    /// A former configuration, when it is still at hand, so that a difference can be made.
    fn config_at_version(&self, _version: u64) -> Option<ConfigText> {
        None
    }

    /// The events that `query` selects, where this node keeps any.
    fn timeline(&self, _query: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    /// The slots that an entry is granted, where this node grants any.
    fn quota(&self, _req: QuotaRequest) -> QuotaReply {
        QuotaReply::default()
    }

    /// The changes of a list that the platform keeps, once there are any or the asker's time
    /// to wait is over, where this node knows any.
    fn list(&self, _req: ListRequest) -> impl Future<Output = ListReply> + Send {
        std::future::ready(ListReply::default())
    }

    /// Takes notices of a model's requests and finds a place for one, where this node places
    /// any.
    fn schedule(&self, _req: ScheduleRequest) -> impl Future<Output = ScheduleReply> + Send {
        std::future::ready(ScheduleReply::default())
    }

    /// The stamp that a batch carries, so that events of two nodes can be put in causal order.
    fn timestamp(&self) -> HlcTimestamp {
        HlcTimestamp::default()
    }

    /// Takes notice of the stamp of another node's batch.
    fn on_timestamp(&self, _timestamp: HlcTimestamp) {}
}

value! { copy
    /// A stamp of a hybrid logical clock; the timeline crate gives it its meaning.
    #[derive(Default)]
    pub struct HlcTimestamp {
        /// Milliseconds since 1970.
        pub wall_ms: u64,
        /// Counts stamps within one millisecond.
        pub counter: u32,
    }
}

value! {
    /// How a node takes part.
    pub struct PeerNodeConfig {
        /// Who it is. `me.address` is replaced by the address that it listens on.
        pub dissemination: DisseminationConfig,
        /// Where it listens; port 0 for a free one.
        pub listen: SocketAddr,
        /// Nodes that are asked when no other is known.
        pub seeds: Vec<SocketAddr>,
    }
}

/// A node's part in the protocol.
pub struct PeerNode<H> {
    inner: Arc<Inner<H>>,
    local: SocketAddr,
    stop: watch::Sender<bool>,
}

/// What the server, the tick loop and the calls share.
pub(crate) struct Inner<H> {
    pub(crate) me: NodeId,
    state: Mutex<Dissemination>,
    pub(crate) handler: Arc<H>,
    pub(crate) blocked_peers: BlockedPeers,
    pool: Pool,
    meter: Meter,
    seeds: Vec<SocketAddr>,
    flush: Duration,
    call_timeout: Duration,
    /// Updates on their way to the handler. A place is reserved before the state is
    /// changed, so that the order is kept and nothing is lost when it lags behind.
    unhandled: mpsc::Sender<Vec<Update>>,
    under_way: Mutex<BTreeMap<NodeId, usize>>,
}

impl<H: PeerHandler> PeerNode<H> {
    /// Listens, and runs the server and the tick loop on `runtime` until [`PeerNode::stop`].
    ///
    /// # Errors
    /// When `cfg.listen` can't be listened on.
    pub fn start(
        cfg: PeerNodeConfig,
        handler: Arc<H>,
        blocked_peers: BlockedPeers,
        runtime: &Handle,
    ) -> Result<PeerNode<H>, PeerError> {
        let listener = std::net::TcpListener::bind(cfg.listen).map_err(PeerError::Listen)?;
        PeerNode::start_on(listener, cfg, handler, blocked_peers, runtime)
    }

    /// The same on a port that is listened on already, whose number others may have
    /// been told; `cfg.listen` is left alone.
    ///
    /// # Errors
    /// When the listener can't be used.
    pub fn start_on(
        listener: std::net::TcpListener,
        mut cfg: PeerNodeConfig,
        handler: Arc<H>,
        blocked_peers: BlockedPeers,
        runtime: &Handle,
    ) -> Result<PeerNode<H>, PeerError> {
        listener.set_nonblocking(true).map_err(PeerError::Listen)?;
        let local = listener.local_addr().map_err(PeerError::Listen)?;
        cfg.dissemination.me.address = local.to_string().into();
        let (unhandled, waiting) = mpsc::channel(MAX_UNHANDLED);
        let inner = Arc::new(Inner::new(cfg, handler, blocked_peers, unhandled));
        let (stop, stopped) = watch::channel(false);
        {
            let _guard = runtime.enter();
            let listener =
                tokio::net::TcpListener::from_std(listener).map_err(PeerError::Listen)?;
            runtime.spawn(serve(Arc::clone(&inner), listener, stopped.clone()));
        }
        runtime.spawn(deliver(Arc::clone(&inner.handler), waiting));
        runtime.spawn(run(Arc::clone(&inner), stopped));
        Ok(PeerNode { inner, local, stop })
    }

    /// Where it listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local
    }

    /// Reads the state, or publishes and changes members. Must be quick.
    pub fn with_state<T>(&self, use_state: impl FnOnce(&mut Dissemination) -> T) -> T {
        use_state(&mut self.inner.state())
    }

    /// Publishes an item until it is replaced or withdrawn.
    pub fn publish(&self, item: Item) {
        self.inner.state().publish(item, Instant::now());
    }

    /// Publishes an item that every node drops after `ttl`.
    pub fn publish_with_ttl(&self, item: Item, ttl: Duration) {
        self.inner
            .state()
            .publish_with_ttl(item, ttl, Instant::now());
    }

    /// Withdraws an item.
    pub fn withdraw(&self, key: &ItemKey) {
        self.inner.state().withdraw(key, Instant::now());
    }

    /// Says that everything published by this node still held at `as_of`.
    pub fn confirm(&self, as_of: Instant) {
        self.inner.state().confirm(as_of);
    }

    /// Takes the list of members as read from the table.
    pub fn set_members(&self, members: impl IntoIterator<Item = Member>) {
        self.inner.state().set_members(members, Instant::now());
    }

    /// The events of `node` that `query` selects.
    ///
    /// # Errors
    /// When the node can't be reached, is too slow or refuses.
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

    /// The slots that the watcher `node` grants.
    ///
    /// # Errors
    /// When the node can't be reached, is too slow or refuses.
    pub async fn request_quota(
        &self,
        node: &NodeId,
        req: QuotaRequest,
        timeout: Duration,
    ) -> Result<QuotaReply, PeerError> {
        self.inner.call(node, path::QUOTA, req, timeout).await
    }

    /// The changes of `list` after `since` as `node` knows them, waited for as long as `wait`.
    ///
    /// # Errors
    /// When the node can't be reached, is too slow or refuses.
    pub async fn fetch_list(
        &self,
        node: &NodeId,
        list: &str,
        since: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<ListReply, PeerError> {
        let req = ListRequest {
            from: self.inner.me.to_string(),
            list: list.to_owned(),
            since,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        self.inner.call(node, path::LIST, req, wait + timeout).await
    }

    /// Tells `node`, which places a model's requests, and asks it for a place.
    ///
    /// # Errors
    /// When the node can't be reached, is too slow or refuses.
    pub async fn call_scheduler(
        &self,
        node: &NodeId,
        req: ScheduleRequest,
        timeout: Duration,
    ) -> Result<ScheduleReply, PeerError> {
        self.inner.call(node, path::SCHEDULE, req, timeout).await
    }

    /// The configuration in force at `node`, as a difference from `base` where that
    /// node still has it.
    ///
    /// # Errors
    /// When the node can't be reached, has none, or its text does not match its checksum.
    pub async fn fetch_config(
        &self,
        node: &NodeId,
        base: Option<&ConfigText>,
        timeout: Duration,
    ) -> Result<ConfigText, PeerError> {
        let restored = self.fetch_config_once(node, base, timeout).await;
        match restored {
            // The node's idea of our version is not ours; the whole text settles it.
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

    /// What went over the connections to other nodes so far.
    pub fn traffic(&self) -> Traffic {
        self.inner.meter.traffic()
    }

    /// Stops listening and ticking. Calls under way end.
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
        unhandled: mpsc::Sender<Vec<Update>>,
    ) -> Inner<H> {
        let meter = Meter::default();
        let timing = &cfg.dissemination.timing;
        Inner {
            me: cfg.dissemination.me.id.clone(),
            handler,
            blocked_peers,
            pool: Pool::new(timing.call_timeout, meter.clone()),
            meter,
            seeds: cfg.seeds,
            flush: timing.flush_interval,
            call_timeout: timing.call_timeout,
            unhandled,
            under_way: Mutex::new(BTreeMap::new()),
            state: Mutex::new(Dissemination::new(cfg.dissemination, Instant::now())),
        }
    }

    fn state(&self) -> MutexGuard<'_, Dissemination> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a batch; gives what is owed to its sender, or `None` when the
    /// handler lags so far behind that the batch must come again.
    pub(crate) fn receive(&self, from: &NodeId, batch: Batch) -> Option<Batch> {
        self.observe(&batch);
        let place = self.unhandled.try_reserve().ok()?;
        let mut state = self.state();
        let now = Instant::now();
        let updates = state.receive(from, batch, now);
        let mut answer = state.answer(from, now);
        place.send(updates);
        drop(state);
        self.set_timestamp(&mut answer);
        Some(answer)
    }

    fn observe(&self, batch: &Batch) {
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

    /// Takes in the answer to a batch of ours; what it asks for goes with the next flush.
    fn receive_answer(&self, from: &NodeId, batch: Batch) {
        self.observe(&batch);
        let Ok(place) = self.unhandled.try_reserve() else {
            return;
        };
        let mut state = self.state();
        let updates = state.receive(from, batch, Instant::now());
        place.send(updates);
    }

    fn address(&self, node: &NodeId) -> Result<SocketAddr, PeerError> {
        let known = self.state().address_of(node);
        let address = known.ok_or_else(|| PeerError::NoAddress(node.clone()))?;
        address
            .parse()
            .map_err(|_| PeerError::BadAddress(address.to_string()))
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
        self.meter.called(result.is_ok());
        result
    }

    /// Whether one more batch to `node` may be under way.
    fn enter(&self, node: &NodeId) -> bool {
        let mut under_way = self.under_way();
        let count = under_way.entry(node.clone()).or_default();
        let free = *count < MAX_UNDER_WAY;
        *count += usize::from(free);
        free
    }

    fn leave(&self, node: &NodeId) {
        let mut under_way = self.under_way();
        if let Some(count) = under_way.get_mut(node) {
            *count -= 1;
            if *count == 0 {
                under_way.remove(node);
            }
        }
    }

    fn under_way(&self) -> MutexGuard<'_, BTreeMap<NodeId, usize>> {
        self.under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(&self, node: NodeId, mut batch: Batch) {
        self.set_timestamp(&mut batch);
        let result: Result<Batch, PeerError> = self
            .call(&node, path::EXCHANGE, batch, self.call_timeout)
            .await;
        self.leave(&node);
        match result {
            Ok(answer) => self.receive_answer(&node, answer),
            Err(_) => self.state().on_call_failed(&node, Instant::now()),
        }
    }

    async fn greet(&self, seed: SocketAddr, hello: Batch, timeout: Duration) {
        let result: Result<Batch, PeerError> =
            self.pool.call(seed, path::EXCHANGE, hello, timeout).await;
        if matches!(result, Err(PeerError::Timeout)) {
            // The packet that opens it is sent again only after a second.
            self.pool.drop_channel(seed);
        }
        self.meter.called(result.is_ok());
        if let Ok(answer) = result {
            let from = NodeId::from(answer.from.as_str());
            if !self.blocked_peers.contains(&from) {
                self.receive_answer(&from, answer);
            }
        }
    }
}

/// Takes connections until stopped.
async fn serve<H: PeerHandler>(
    inner: Arc<Inner<H>>,
    listener: tokio::net::TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(MAX_ACCEPTED));
    let meter = inner.meter.clone();
    let timeout = inner.call_timeout;
    let incoming = TcpListenerStream::new(listener).filter_map(move |accepted| {
        let io = accepted.ok()?;
        let place = Arc::clone(&places).try_acquire_owned().ok()?;
        let metered = Metered::new(io, meter.clone(), Some(place));
        Some(Ok::<_, std::io::Error>(metered))
    });
    let served = tonic::transport::Server::builder()
        .timeout(timeout)
        .max_concurrent_streams(MAX_STREAMS)
        .http2_keepalive_interval(Some(KEEP_ALIVE))
        .http2_keepalive_timeout(Some(KEEP_ALIVE))
        .add_service(PeerServer::new(inner))
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stopped.wait_for(|&stopped| stopped).await;
        })
        .await;
    if let Err(err) = served {
        tracing::error!(%err, "peer server ended");
    }
}

/// Hands updates to the handler, in order.
async fn deliver<H: PeerHandler>(handler: Arc<H>, mut waiting: mpsc::Receiver<Vec<Update>>) {
    while let Some(updates) = waiting.recv().await {
        if !updates.is_empty() {
            handler.on_updates(updates);
        }
    }
}

/// Sends what is due, once in each flush period, until stopped.
async fn run<H: PeerHandler>(inner: Arc<Inner<H>>, mut stopped: watch::Receiver<bool>) {
    let mut flushes = tokio::time::interval(inner.flush);
    flushes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut greet_next = Instant::now();
    let mut greetings = 0;
    loop {
        tokio::select! {
            _ = flushes.tick() => {}
            _ = stopped.wait_for(|&stopped| stopped) => return,
        }
        send_due(&inner);
        if Instant::now() >= greet_next {
            let is_fast = greetings < FAST_GREETINGS;
            greetings += 1;
            greet_seeds(
                &inner,
                if is_fast {
                    GREET_TIMEOUT
                } else {
                    inner.call_timeout
                },
            );
            greet_next = Instant::now() + GREET_INTERVAL;
        }
    }
}

fn send_due<H: PeerHandler>(inner: &Arc<Inner<H>>) {
    let Ok(place) = inner.unhandled.try_reserve() else {
        return;
    };
    let output = {
        let mut state = inner.state();
        let output = state.tick(Instant::now());
        place.send(output.updates);
        output.batches
    };
    for (node, batch) in output {
        if inner.enter(&node) {
            let inner = Arc::clone(inner);
            tokio::spawn(async move { inner.exchange(node, batch).await });
        } else {
            inner.state().on_call_failed(&node, Instant::now());
        }
    }
}

/// Introduces this node to the seeds while it knows no other node.
fn greet_seeds<H: PeerHandler>(inner: &Arc<Inner<H>>, timeout: Duration) {
    let hello = {
        let state = inner.state();
        if state.overlay().len() > 1 {
            return;
        }
        state.hello(Instant::now())
    };
    for &seed in &inner.seeds {
        let inner = Arc::clone(inner);
        let hello = hello.clone();
        tokio::spawn(async move { inner.greet(seed, hello, timeout).await });
    }
}
