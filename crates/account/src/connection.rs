//! Connections of clients at a port: how many are open, and which may be closed for another.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use eelgrassmill_base::value;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::bytes_account::{ByteAccount, Charge};

/// Bytes that the system keeps for a connection that isn't read. Without a bound of its own a
/// connection may take some MB.
pub const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Bytes that the system keeps for a connection whose client doesn't read.
pub const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after which a connection that waits for its client may be closed for another one, unless
/// another time is set.
const MIN_WAIT: Duration = Duration::from_millis(500);
/// How often a full table is looked at for such a connection: it becomes one without an event.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Listens on `address` with bounded socket buffers for each connection.
///
/// # Errors
/// If the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit them; the window is negotiated before they are accepted.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

value! { copy
    /// The connections of a table.
    #[derive(Default)]
    pub struct ConnectionUsage {
        /// Most connections that may be open.
        pub limit: usize,
        /// Open connections.
        pub open: usize,
        /// Connections that were closed for others so far.
        pub evicted: u64,
    }
}

/// The open connections of a port. Cheap to clone; all clones share the table.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when a connection closes or the limit changes.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    limit: usize,
    min_wait: Duration,
    /// Most connections that have brought no whole request, if that is bounded apart.
    unproven_limit: Option<usize>,
    next_id: u64,
    open: BTreeMap<u64, Connection>,
    evicted: u64,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a request.
    Receiving,
    /// For the process.
    Running,
}

#[derive(Debug)]
struct ConnectionState {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// Whether it has brought a whole request.
    is_proven: bool,
    /// When its client stopped reading, if it has.
    unread_since: Option<Instant>,
    is_evicted: bool,
    /// The task that reads or writes.
    wakers: [Option<Waker>; 2],
    /// Held until the response is sent.
    charge: Option<Charge>,
}

/// A client's connection. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Connection {
    state: Arc<Mutex<ConnectionState>>,
}

/// A request on a connection, until its response is sent.
#[derive(Debug)]
pub struct ActiveRequest {
    connection: Connection,
}

impl ConnectionTable {
    /// A table of at most `limit` connections.
    pub fn new(limit: usize) -> ConnectionTable {
        let state = State {
            limit,
            min_wait: MIN_WAIT,
            unproven_limit: None,
            next_id: 0,
            open: BTreeMap::new(),
            evicted: 0,
        };
        ConnectionTable {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                freed: Notify::new(),
            }),
        }
    }

    /// Sets how long a connection has to wait for its client before it may be closed for another one.
    pub fn evict_after(self, min_wait: Duration) -> ConnectionTable {
        self.state().min_wait = min_wait;
        self
    }

    /// Also bounds the connections that have brought no whole request yet.
    pub fn limit_unproven(self, limit: usize) -> ConnectionTable {
        self.state().unproven_limit = Some(limit);
        self
    }

    /// Changes the limit. Open connections beyond it stay until they are closed.
    pub fn set_limit(&self, limit: usize) {
        self.state().limit = limit;
        self.shared.freed.notify_waiters();
    }

    /// Its connections now.
    pub fn usage(&self) -> ConnectionUsage {
        let state = self.state();
        ConnectionUsage {
            limit: state.limit,
            open: state.open.len(),
            evicted: state.evicted,
        }
    }

    /// Adds a connection that was accepted. If the table is full, the connection that waits longest
    /// for its client is closed for it; if all wait for the process, this waits.
    ///
    /// A client that reads nothing of a response for `write_timeout` is disconnected.
    pub async fn admit<T>(
        &self,
        io: T,
        account: &ByteAccount,
        write_timeout: Duration,
    ) -> ClientStream<T> {
        loop {
            let freed = self.shared.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some((id, connection)) = self.try_add() {
                return self.stream(io, id, connection, account, write_timeout);
            }
            self.state().evict(Instant::now());
            let _ = tokio::time::timeout(RECHECK_INTERVAL, freed).await;
        }
    }

    /// Like [`ConnectionTable::admit`], but doesn't wait. `None` if all connections are taken and none
    /// can be closed.
    pub async fn try_admit<T>(
        &self,
        io: T,
        account: &ByteAccount,
        write_timeout: Duration,
    ) -> Option<ClientStream<T>> {
        let mut may_evict = true;
        loop {
            let freed = self.shared.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some((id, connection)) = self.try_add() {
                return Some(self.stream(io, id, connection, account, write_timeout));
            }
            if !std::mem::take(&mut may_evict) || !self.state().evict(Instant::now()) {
                return None;
            }
            let _ = tokio::time::timeout(RECHECK_INTERVAL, freed).await;
        }
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        loop {
            let freed = self.shared.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if self.state().open.is_empty() {
                return;
            }
            freed.await;
        }
    }

    fn stream<T>(
        &self,
        io: T,
        id: u64,
        connection: Connection,
        account: &ByteAccount,
        write_timeout: Duration,
    ) -> ClientStream<T> {
        ClientStream {
            io,
            connection,
            id,
            table: self.clone(),
            account: account.clone(),
            unread_id: None,
            write_timeout,
            stall: None,
            untrusted: None,
        }
    }

    /// Adds a connection if there is room.
    fn try_add(&self) -> Option<(u64, Connection)> {
        let mut state = self.state();
        if state.is_full() {
            return None;
        }
        state.next_id += 1;
        let (id, connection) = (state.next_id, Connection::new());
        state.open.insert(id, connection.clone());
        Some((id, connection))
    }

    fn remove(&self, id: u64) {
        self.state().open.remove(&id);
        self.shared.freed.notify_waiters();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_full(&self) -> bool {
        let unproven = || self.open.values().filter(|c| !c.lock().is_proven).count();
        let has_unproven = |limit| unproven() >= limit;
        self.open.len() >= self.limit || self.unproven_limit.is_some_and(has_unproven)
    }

    /// Closes the connection that waits longest for its client, if one waits for long enough.
    fn evict(&mut self, now: Instant) -> bool {
        let ranked = self.open.values().filter_map(|c| Some((c.rank(now)?, c)));
        let slow = ranked.filter(|((_, wait), _)| *wait >= self.min_wait);
        let Some((_, connection)) = slow.max_by_key(|(rank, _)| *rank) else {
            return false;
        };
        connection.evict();
        self.evicted += 1;
        true
    }
}

/// Order in which connections are closed for others: the greatest first.
type EvictionRank = (u8, Duration);

impl Connection {
    fn new() -> Connection {
        Connection {
            state: Arc::new(Mutex::new(ConnectionState {
                phase: Phase::Idle,
                since: Instant::now(),
                is_proven: false,
                unread_since: None,
                is_evicted: false,
                wakers: [None, None],
                charge: None,
            })),
        }
    }

    /// Marks the start of a request, whose head is complete.
    pub fn begin_request(&self) -> ActiveRequest {
        self.enter(Phase::Receiving);
        ActiveRequest {
            connection: self.clone(),
        }
    }

    /// Marks that the request's body is complete: the connection waits for the process now.
    pub fn mark_received(&self) {
        self.enter(Phase::Running);
        self.lock().is_proven = true;
    }

    /// Holds a charge until the response is sent.
    pub fn hold(&self, charge: Charge) {
        // Outside of the lock: dropping one takes that of the account.
        let before = self.lock().charge.replace(charge);
        drop(before);
    }

    /// Closes it at its next read or write.
    pub(crate) fn evict(&self) {
        let mut state = self.lock();
        state.is_evicted = true;
        for waker in state.wakers.iter_mut().filter_map(Option::take) {
            waker.wake();
        }
    }

    /// How long its client hasn't read.
    pub(crate) fn unread_for(&self, now: Instant) -> Option<Duration> {
        let since = self.lock().unread_since?;
        Some(now.saturating_duration_since(since))
    }

    /// `None` if it must not be closed, or is closing.
    fn rank(&self, now: Instant) -> Option<EvictionRank> {
        let state = self.lock();
        if state.is_evicted {
            return None;
        }
        let unread = state
            .unread_since
            .map(|at| now.saturating_duration_since(at));
        let waits = now.saturating_duration_since(state.since);
        match (state.phase, unread) {
            (Phase::Receiving, _) => Some((3, waits)),
            (Phase::Idle, None) if !state.is_proven => Some((3, waits)),
            (Phase::Idle, None) => Some((2, waits)),
            (_, Some(unread)) => Some((1, unread)),
            (Phase::Running, None) => None,
        }
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.lock();
        state.phase = phase;
        state.since = Instant::now();
    }

    fn on_received(&self) {
        if self.lock().phase == Phase::Idle {
            self.enter(Phase::Receiving);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.connection.enter(Phase::Idle);
        let charge = self.connection.lock().charge.take();
        drop(charge);
    }
}

/// Sides of a [`ClientStream`], with a waker each.
const READ: usize = 0;
const WRITE: usize = 1;

/// A client's connection in a table: it fails once it was evicted, or when its client reads nothing
/// for too long.
#[derive(Debug)]
pub struct ClientStream<T> {
    io: T,
    connection: Connection,
    id: u64,
    table: ConnectionTable,
    account: ByteAccount,
    /// Its id in the account while its client doesn't read.
    unread_id: Option<u64>,
    write_timeout: Duration,
    /// Runs while its client doesn't read.
    stall: Option<Pin<Box<Sleep>>>,
    /// Bytes that its client still has to send before it is trusted.
    untrusted: Option<usize>,
}

impl<T> ClientStream<T> {
    /// Its entry in the table.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// The connection itself.
    pub fn get_ref(&self) -> &T {
        &self.io
    }

    /// For protocols whose requests aren't marked: the connection may be closed for another one until
    /// its client has sent this many bytes, and not from then on.
    pub fn trust_after(mut self, bytes: usize) -> ClientStream<T> {
        self.untrusted = Some(bytes);
        self
    }

    fn on_received(&mut self, bytes: usize) {
        self.connection.on_received();
        let Some(left) = self.untrusted else { return };
        self.untrusted = left.checked_sub(bytes).filter(|left| *left > 0);
        if self.untrusted.is_none() {
            self.connection.mark_received();
        }
    }

    /// Fails if it was evicted; registers the task that an eviction wakes.
    fn check(&self, side: usize, cx: &Context<'_>) -> io::Result<()> {
        let mut state = self.connection.lock();
        if state.is_evicted {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let waker = &mut state.wakers[side];
        if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        Ok(())
    }

    fn on_write(&mut self, cx: &mut Context<'_>, is_blocked: bool) -> io::Result<()> {
        if !is_blocked {
            if self.stall.take().is_some() {
                self.connection.lock().unread_since = None;
                self.leave_account();
            }
            return Ok(());
        }
        if self.stall.is_none() {
            self.connection.lock().unread_since = Some(Instant::now());
            self.unread_id = Some(self.account.add_unread(self.connection.clone()));
        }
        let timeout = self.write_timeout;
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        match stall.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }

    fn leave_account(&mut self) {
        if let Some(id) = self.unread_id.take() {
            self.account.remove_unread(id);
        }
    }

    fn finish_write<R>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        self.on_write(cx, written.is_pending())?;
        written
    }
}

impl<T> Drop for ClientStream<T> {
    fn drop(&mut self) {
        self.leave_account();
        self.table.remove(self.id);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ClientStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(READ, cx)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        if received > 0 {
            self.on_received(received);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ClientStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(WRITE, cx)?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.finish_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(WRITE, cx)?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.finish_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
