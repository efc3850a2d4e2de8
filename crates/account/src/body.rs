//! Bodies that are received within the account.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Body;
use tokio::sync::Notify;

use crate::bytes_account::{AccountFull, ByteAccount, Charge, HeldKind};
use crate::storage::{MAX_HEAP_BYTES, Storage};

/// Bytes after which a client has made progress.
const PROGRESS_BYTES: usize = 64 << 10;
/// Granularity of charges, in bytes: a page.
const PAGE_BYTES: usize = 4 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// It is longer than its limit.
    #[error("the body is too long")]
    TooLong,
    /// Its client closed the connection, or sent what is no body.
    #[error("the body broke off")]
    Broken,
    /// It did not arrive in time.
    #[error("the body took too long to arrive")]
    TimedOut,
    /// The memory for clients is used up, or the body was evicted while it made no progress.
    #[error("the memory for clients is used up")]
    OutOfMemory,
}

impl From<AccountFull> for ReadError {
    fn from(_: AccountFull) -> ReadError {
        ReadError::OutOfMemory
    }
}

/// A request body that is being received, shared with the account so that it can be evicted.
#[derive(Debug)]
pub(crate) struct PartialBody {
    state: Mutex<PartialState>,
    evicted: Notify,
}

#[derive(Debug)]
struct PartialState {
    /// `None` once it was evicted.
    storage: Option<Storage>,
    /// Bytes that are charged for it.
    charged: usize,
    /// When it last had [`PROGRESS_BYTES`] more than before.
    progressed_at: Instant,
    /// Its length at that time.
    progressed_len: usize,
}

impl PartialBody {
    fn new() -> PartialBody {
        PartialBody {
            state: Mutex::new(PartialState {
                storage: Some(Storage::default()),
                charged: 0,
                progressed_at: Instant::now(),
                progressed_len: 0,
            }),
            evicted: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PartialState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn charged(&self) -> usize {
        self.lock().charged
    }

    /// Bytes that are charged and have not come.
    pub(crate) fn reserved(&self) -> usize {
        let state = self.lock();
        let stored = state.storage.as_ref().map_or(0, Storage::len);
        state.charged.saturating_sub(stored)
    }

    pub(crate) fn set_charged(&self, bytes: usize) {
        self.lock().charged = bytes;
    }

    /// How long it has made no progress.
    pub(crate) fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.lock().progressed_at)
    }

    /// Frees its memory and returns the bytes that were charged.
    pub(crate) fn evict(&self) -> usize {
        let mut state = self.lock();
        state.storage = None;
        self.evicted.notify_one();
        std::mem::take(&mut state.charged)
    }
}

/// Receives one request body. Dropping it gives its bytes back.
#[derive(Debug)]
pub struct BodyBuffer {
    account: ByteAccount,
    id: u64,
    body: Arc<PartialBody>,
    max: usize,
}

impl BodyBuffer {
    /// A buffer for a body of at most `max` bytes. The length that its client has announced, if
    /// any, is charged at once, so that it can be received to its end.
    ///
    /// # Errors
    /// [`ReadError::TooLong`] or [`ReadError::OutOfMemory`].
    pub fn new(
        account: &ByteAccount,
        announced: Option<u64>,
        max: usize,
    ) -> Result<BodyBuffer, ReadError> {
        let announced = announced.unwrap_or(0);
        if announced > max as u64 {
            return Err(ReadError::TooLong);
        }
        let body = Arc::new(PartialBody::new());
        let buffer = BodyBuffer {
            account: account.clone(),
            id: account.add_partial(Arc::clone(&body)),
            body,
            max,
        };
        account.grow_partial(buffer.id, in_pages(announced as usize))?;
        Ok(buffer)
    }

    /// Appends bytes that have been received.
    ///
    /// # Errors
    /// [`ReadError::TooLong`] or [`ReadError::OutOfMemory`].
    pub fn push(&self, bytes: &[u8]) -> Result<(), ReadError> {
        if !self.append(bytes)? {
            let len = self.body.lock().storage.as_ref().map_or(0, Storage::len);
            let needed = charge_for(len + bytes.len(), self.max);
            self.account.grow_partial(self.id, needed)?;
            self.append(bytes)?;
        }
        Ok(())
    }

    /// Appends if the bytes are charged for.
    fn append(&self, bytes: &[u8]) -> Result<bool, ReadError> {
        let mut state = self.body.lock();
        let charged = state.charged;
        let Some(storage) = &mut state.storage else {
            return Err(ReadError::OutOfMemory);
        };
        let len = storage.len() + bytes.len();
        if len > self.max {
            return Err(ReadError::TooLong);
        }
        if len > charged {
            return Ok(false);
        }
        let appended = storage.append(bytes, self.max);
        appended.map_err(|_| ReadError::OutOfMemory)?;
        if len - state.progressed_len >= PROGRESS_BYTES {
            state.progressed_len = len;
            state.progressed_at = Instant::now();
        }
        Ok(true)
    }

    /// Waits until it is evicted.
    pub async fn evicted(&self) {
        self.body.evicted.notified().await;
    }

    /// The whole body. Its bytes are charged until its last clone is dropped.
    ///
    /// # Errors
    /// [`ReadError::OutOfMemory`] if it was evicted.
    pub fn finish(self) -> Result<Bytes, ReadError> {
        let charge = self.account.remove_partial(self.id);
        let mut charge = charge.ok_or(ReadError::OutOfMemory)?;
        let storage = self.body.lock().storage.take().unwrap_or_default();
        if storage.len() == 0 {
            return Ok(Bytes::new());
        }
        charge.shrink(in_pages(storage.len()));
        Ok(Bytes::from_owner(HeldBytes {
            storage,
            _charge: charge,
        }))
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        // Its storage goes with the last reference; nothing else has one.
        drop(self.account.remove_partial(self.id));
    }
}

/// Bytes with what they are charged.
struct HeldBytes {
    storage: Storage,
    _charge: Charge,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        self.storage.as_slice()
    }
}

fn in_pages(bytes: usize) -> usize {
    bytes.next_multiple_of(PAGE_BYTES)
}

/// What is charged for a body that has `len` bytes so far and no announced length: long ones double,
/// so that they are charged a few times.
fn charge_for(len: usize, max: usize) -> usize {
    if len <= MAX_HEAP_BYTES {
        in_pages(len)
    } else {
        in_pages(len.next_power_of_two().min(max))
    }
}

/// Receives a response within the account. It waits for room, since its request has run.
#[derive(Debug)]
pub struct ResponseBuffer {
    charge: Charge,
    storage: Storage,
    max: usize,
}

impl ResponseBuffer {
    /// A buffer for a response of at most `max` bytes. The announced length, if any, is charged at
    /// once.
    ///
    /// # Errors
    /// [`ReadError::TooLong`].
    pub async fn new(
        account: &ByteAccount,
        announced: Option<u64>,
        max: usize,
    ) -> Result<ResponseBuffer, ReadError> {
        let announced = announced.unwrap_or(0);
        if announced > max as u64 {
            return Err(ReadError::TooLong);
        }
        let announced = in_pages(announced as usize);
        Ok(ResponseBuffer {
            charge: account.charge_response(announced).await,
            storage: Storage::default(),
            max,
        })
    }

    /// A buffer for a response whose length isn't known.
    pub fn empty(account: &ByteAccount, max: usize) -> ResponseBuffer {
        ResponseBuffer {
            charge: account.empty_charge(HeldKind::Response),
            storage: Storage::default(),
            max,
        }
    }

    /// Appends bytes that have been received, once the account has room.
    ///
    /// # Errors
    /// [`ReadError::TooLong`] or [`ReadError::OutOfMemory`].
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        let len = self.storage.len() + bytes.len();
        if len > self.max {
            return Err(ReadError::TooLong);
        }
        if len > self.charge.bytes() {
            self.charge.grow_when_free(charge_for(len, self.max)).await;
        }
        let appended = self.storage.append(bytes, self.max);
        appended.map_err(|_| ReadError::OutOfMemory)
    }

    /// The whole response. Its bytes are charged until its last clone is dropped.
    pub fn finish(mut self) -> Bytes {
        if self.storage.len() == 0 {
            return Bytes::new();
        }
        self.charge.shrink(in_pages(self.storage.len()));
        Bytes::from_owner(HeldBytes {
            storage: self.storage,
            _charge: self.charge,
        })
    }
}

/// Reads a whole request body of at most `max` bytes until `deadline`.
///
/// # Errors
/// Why it was not read. Reading may go on with [`drain_body`].
pub async fn read_body<B>(
    body: &mut B,
    account: &ByteAccount,
    max: usize,
    deadline: Instant,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let buffer = BodyBuffer::new(account, body.size_hint().exact(), max)?;
    let receive = async {
        while let Some(data) = next_data(body).await? {
            buffer.push(&data)?;
        }
        Ok(())
    };
    let received = tokio::select! {
        received = receive => received,
        () = buffer.evicted() => Err(ReadError::OutOfMemory),
        () = tokio::time::sleep_until(deadline.into()) => Err(ReadError::TimedOut),
    };
    received?;
    buffer.finish()
}

async fn next_data<B>(body: &mut B) -> Result<Option<Bytes>, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| ReadError::Broken)?;
        // Trailers carry nothing for us.
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// How much of a refused request's body is read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// Bytes that are read at a pace at which most clients can send.
    pub bytes: usize,
    /// When reading ends.
    pub deadline: Instant,
}

/// Bytes that are read from a refused request in one [`DRAIN_PERIOD`].
const DRAIN_BYTES: usize = 64 << 10;
const DRAIN_PERIOD: Duration = Duration::from_millis(10);
/// The period for what is longer than any body may be.
const SLOW_DRAIN_PERIOD: Duration = Duration::from_millis(100);
/// How long that is read.
const SLOW_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Reads on after a refusal and keeps nothing. Closing a connection with unread bytes resets it, and
/// a client that is still sending may never see the refusal.
pub async fn drain_body<B>(mut body: B, limits: DrainLimits)
where
    B: Body<Data = Bytes> + Unpin,
{
    let fast = drain_paced(&mut body, limits.bytes, DRAIN_PERIOD);
    let is_longer = tokio::time::timeout_at(limits.deadline.into(), fast).await;
    if is_longer.unwrap_or(false) {
        let slow = drain_paced(&mut body, usize::MAX, SLOW_DRAIN_PERIOD);
        // Whether it ended or not, the connection closes.
        let _ = tokio::time::timeout(SLOW_DRAIN_TIME, slow).await;
    }
}

/// Reads up to `max` bytes, [`DRAIN_BYTES`] in each period. Returns whether there may be more.
async fn drain_paced<B>(body: &mut B, max: usize, period: Duration) -> bool
where
    B: Body<Data = Bytes> + Unpin,
{
    let (mut read, mut in_period) = (0_usize, 0);
    while let Ok(Some(data)) = next_data(body).await {
        read = read.saturating_add(data.len());
        if read > max {
            return true;
        }
        in_period += data.len();
        if in_period >= DRAIN_BYTES {
            in_period = 0;
            tokio::time::sleep(period).await;
        }
    }
    false
}
