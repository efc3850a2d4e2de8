//! What a process holds for its clients.
//!
//! A process has one [`ByteAccount`]. Whatever grows with the number of clients, or with what they
//! send or leave unread, is charged to it before memory is taken: bodies of requests, responses and
//! requests in progress. When it is full, request bodies whose clients make no progress are evicted
//! first, then connections whose clients don't read; what still doesn't fit is refused. A part of
//! the account is kept for small requests.
//!
//! A [`ConnectionTable`] bounds the connections of a port by closing those that wait longest for
//! their client.

mod body;
mod bytes_account;
mod connection;
mod descriptors;
mod in_progress;
mod memory;
mod pressure;
mod storage;
mod window;

pub use crate::body::{BodyBuffer, DrainLimits, ReadError, ResponseBuffer, drain_body, read_body};
pub use crate::bytes_account::{AccountFull, AccountUsage, ByteAccount, Charge, HeldKind};
pub use crate::connection::{
    ActiveRequest, ClientStream, Connection, ConnectionTable, ConnectionUsage,
    RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES, listen,
};
pub use crate::descriptors::DescriptorLimit;
pub use crate::in_progress::Held;
pub use crate::memory::MemoryLimit;
pub use crate::pressure::Pressure;
pub use crate::window::ResponseWindow;

/// What a request in progress takes beside its body and response, in bytes: its task, the socket
/// buffer of its connection and the buffers of a connection to a host.
pub const REQUEST_BYTES: usize = 64 << 10;
