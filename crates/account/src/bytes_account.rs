//! The account of bytes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::value;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::body::PartialBody;
use crate::connection::Connection;

/// Largest holding that counts as small, in bytes.
pub(crate) const SMALL_BYTES: usize = 64 << 10;
/// Part of the account that only small holdings may use, as 1 / this.
const SMALL_SHARE: usize = 4;
/// Time without progress after which a client counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(200);
/// How long a connection that was evicted for a charge has to give its bytes back.
const EVICTION_TIME: Duration = Duration::from_millis(500);

/// Number of [`HeldKind`]s.
const KINDS: usize = 4;

value! { copy
    /// What bytes are held for.
    pub enum HeldKind {
        /// Requests in progress: their tasks, socket buffers and buffers of the HTTP library.
        InProgress,
        /// Bodies of requests, until no attempt needs them any more.
        RequestBody,
        /// Responses that are received or not yet read by their caller.
        Response,
        /// Connections that are relayed for other nodes.
        Relay,
    }

    /// What the account holds.
    #[derive(Default)]
    pub struct AccountUsage {
        /// Most bytes that it may hold.
        pub limit: usize,
        /// Bytes by kind.
        pub held: [usize; KINDS],
        /// Bytes that are held for bodies and have not come yet.
        pub reserved: usize,
        /// Incomplete request bodies that were evicted so far.
        pub evicted_bodies: u64,
        /// Connections that were evicted so far because their clients don't read.
        pub evicted_connections: u64,
        /// Charges that were refused so far.
        pub refused: u64,
    }
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [HeldKind; KINDS] = [
        HeldKind::InProgress,
        HeldKind::RequestBody,
        HeldKind::Response,
        HeldKind::Relay,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            HeldKind::InProgress => "in-progress",
            HeldKind::RequestBody => "request-body",
            HeldKind::Response => "response",
            HeldKind::Relay => "relay",
        }
    }
}

impl AccountUsage {
    /// Evictions and refusals so far.
    pub fn shortages(&self) -> u64 {
        self.evicted_bodies + self.evicted_connections + self.refused
    }

    /// Bytes that are in memory for what is held: all but relays, which may take what they are charged
    /// and mostly don't, and what was announced and has not come.
    pub(crate) fn resident(&self) -> usize {
        let relays = self.held[HeldKind::Relay as usize];
        self.total().saturating_sub(relays + self.reserved)
    }

    /// Bytes of all kinds.
    pub fn total(&self) -> usize {
        self.held.iter().sum()
    }
}

/// The account has no room for a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for clients is used up")]
pub struct AccountFull;

/// The bytes that a process holds for its clients. Cheap to clone; all clones share the account.
#[derive(Clone, Debug)]
pub struct ByteAccount {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when bytes are given back.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    usage: AccountUsage,
    next_id: u64,
    /// Request bodies that are being received, by id.
    partial: BTreeMap<u64, Arc<PartialBody>>,
    /// Connections whose clients don't read, by id.
    unread: BTreeMap<u64, Connection>,
}

/// Bytes that are charged to an account until it is dropped.
#[derive(Debug)]
pub struct Charge {
    account: ByteAccount,
    kind: HeldKind,
    bytes: usize,
}

impl ByteAccount {
    /// An account of at most `limit` bytes.
    pub fn new(limit: usize) -> ByteAccount {
        let usage = AccountUsage {
            limit,
            ..AccountUsage::default()
        };
        ByteAccount {
            shared: Arc::new(Shared {
                state: Mutex::new(State {
                    usage,
                    ..State::default()
                }),
                released: Notify::new(),
            }),
        }
    }

    /// Changes the limit. What is held beyond it stays until it is given back.
    pub fn set_limit(&self, limit: usize) {
        self.state().usage.limit = limit;
        self.shared.released.notify_waiters();
    }

    /// What it holds now.
    pub fn usage(&self) -> AccountUsage {
        let state = self.state();
        let reserved = state.partial.values().map(|body| body.reserved());
        AccountUsage {
            reserved: reserved.sum(),
            ..state.usage
        }
    }

    /// Charges a holding of `bytes`. Clients that have stalled are evicted for it.
    ///
    /// # Errors
    /// If the account is full.
    pub async fn charge(&self, kind: HeldKind, bytes: usize) -> Result<Charge, AccountFull> {
        let mut charge = self.empty_charge(kind);
        charge.grow_evicting(bytes, EVICTION_TIME).await?;
        Ok(charge)
    }

    /// Charges a holding of `bytes` for a request that a host has begun to answer: waits until the
    /// account has room.
    pub async fn charge_response(&self, bytes: usize) -> Charge {
        let mut charge = self.empty_charge(HeldKind::Response);
        charge.grow_when_free(bytes).await;
        charge
    }

    /// Charges a holding if it fits, evicting nothing.
    ///
    /// # Errors
    /// If the account is full.
    pub fn try_charge(&self, kind: HeldKind, bytes: usize) -> Result<Charge, AccountFull> {
        let mut charge = self.empty_charge(kind);
        let mut state = self.state();
        if !charge.try_grow_in(&mut state, bytes) {
            state.usage.refused += 1;
            return Err(AccountFull);
        }
        Ok(charge)
    }

    pub(crate) fn empty_charge(&self, kind: HeldKind) -> Charge {
        Charge {
            account: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Waits until bytes are given back after this call.
    fn released(&self) -> Notified<'_> {
        self.shared.released.notified()
    }

    /// Adds a body that is being received, with no bytes yet. Returns its id.
    pub(crate) fn add_partial(&self, body: Arc<PartialBody>) -> u64 {
        let mut state = self.state();
        let id = state.next_id();
        state.partial.insert(id, body);
        id
    }

    /// Grows the charge of an incomplete body to `bytes`, evicting others that have stalled.
    ///
    /// # Errors
    /// If the account is full.
    pub(crate) fn grow_partial(&self, id: u64, bytes: usize) -> Result<(), AccountFull> {
        let mut state = self.state();
        let now = Instant::now();
        loop {
            // Evicted meanwhile: its owner finds out when it appends.
            let Some(body) = state.partial.get(&id).cloned() else {
                return Ok(());
            };
            let more = bytes.saturating_sub(body.charged());
            if more <= state.room(bytes) {
                state.usage.held[HeldKind::RequestBody as usize] += more;
                body.set_charged(bytes);
                return Ok(());
            }
            if !state.make_room(Some(id), bytes, now) {
                state.usage.refused += 1;
                return Err(AccountFull);
            }
        }
    }

    /// Removes an incomplete body, unless it was evicted. Its charge becomes that of the caller.
    pub(crate) fn remove_partial(&self, id: u64) -> Option<Charge> {
        let body = self.state().partial.remove(&id)?;
        Some(Charge {
            account: self.clone(),
            kind: HeldKind::RequestBody,
            bytes: body.charged(),
        })
    }

    pub(crate) fn add_unread(&self, connection: Connection) -> u64 {
        let mut state = self.state();
        let id = state.next_id();
        state.unread.insert(id, connection);
        id
    }

    pub(crate) fn remove_unread(&self, id: u64) {
        self.state().unread.remove(&id);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Bytes that a holding of `total` bytes may still take.
    fn room(&self, total: usize) -> usize {
        let limit = self.usage.limit;
        let usable = if total > SMALL_BYTES {
            limit - limit / SMALL_SHARE
        } else {
            limit
        };
        usable.saturating_sub(self.usage.total())
    }

    /// Evicts one incomplete body other than `except`, the one without progress for longest.
    /// `min_stall` is the least time without progress. Its bytes are free at once.
    fn evict_body(&mut self, except: Option<u64>, min_stall: Duration, now: Instant) -> bool {
        let others = self.partial.iter().filter(|(id, _)| Some(**id) != except);
        let stalled = others.filter_map(|(id, body)| {
            let stall = body.stalled_for(now);
            (stall >= min_stall).then_some((stall, *id))
        });
        let Some((_, id)) = stalled.max() else {
            return false;
        };
        let Some(body) = self.partial.remove(&id) else {
            return false;
        };
        self.usage.held[HeldKind::RequestBody as usize] -= body.evict();
        self.usage.evicted_bodies += 1;
        true
    }

    /// Evicts one body for a request's holding of `total` bytes. A small one may evict any.
    fn make_room(&mut self, except: Option<u64>, total: usize, now: Instant) -> bool {
        if self.evict_body(except, STALL_TIME, now) {
            return true;
        }
        total <= SMALL_BYTES && self.evict_body(except, Duration::ZERO, now)
    }

    /// Closes the connection whose client hasn't read for longest, if any has stalled.
    fn evict_unread(&mut self, now: Instant) -> bool {
        let stalled = self.unread.iter().filter_map(|(id, connection)| {
            let stall = connection.unread_for(now)?;
            (stall >= STALL_TIME).then_some((stall, *id))
        });
        let Some((_, id)) = stalled.max() else {
            return false;
        };
        if let Some(connection) = self.unread.remove(&id) {
            connection.evict();
            self.usage.evicted_connections += 1;
        }
        true
    }
}

impl Charge {
    /// Its bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes` if they fit.
    fn try_grow_in(&mut self, state: &mut State, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more > state.room(bytes) {
            return false;
        }
        state.usage.held[self.kind as usize] += more;
        self.bytes += more;
        true
    }

    /// Grows to `bytes`, evicting stalled bodies and, with up to `wait` until they have closed,
    /// stalled connections.
    async fn grow_evicting(&mut self, bytes: usize, wait: Duration) -> Result<(), AccountFull> {
        let account = self.account.clone();
        let end = tokio::time::Instant::now() + wait;
        loop {
            let released = account.released();
            tokio::pin!(released);
            released.as_mut().enable();
            {
                let mut state = account.state();
                let now = Instant::now();
                while !self.try_grow_in(&mut state, bytes) && state.make_room(None, bytes, now) {}
                if self.bytes >= bytes {
                    return Ok(());
                }
                if !state.evict_unread(now) {
                    state.usage.refused += 1;
                    return Err(AccountFull);
                }
            }
            if tokio::time::timeout_at(end, released).await.is_err() {
                account.state().usage.refused += 1;
                return Err(AccountFull);
            }
        }
    }

    /// Grows to `bytes` once they fit; incomplete request bodies go first.
    pub(crate) async fn grow_when_free(&mut self, bytes: usize) {
        let account = self.account.clone();
        loop {
            let released = account.released();
            tokio::pin!(released);
            released.as_mut().enable();
            {
                let mut state = account.state();
                let now = Instant::now();
                while !self.try_grow_in(&mut state, bytes)
                    && state.evict_body(None, Duration::ZERO, now)
                {}
                if self.bytes >= bytes {
                    return;
                }
                state.evict_unread(now);
            }
            // Clients stall without an event.
            let _ = tokio::time::timeout(STALL_TIME, released).await;
        }
    }

    /// Gives back all but `bytes`.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less > 0 {
            self.account.state().usage.held[self.kind as usize] -= less;
            self.bytes -= less;
            self.account.shared.released.notify_waiters();
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
