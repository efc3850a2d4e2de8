//! Parts of a streamed response that its caller hasn't read.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::bytes_account::{ByteAccount, Charge};

/// Bytes of a stream that its caller hasn't read, unless one part is longer.
const WINDOW_BYTES: usize = 64 << 10;

/// Bounds what one stream holds within the account.
#[derive(Clone, Debug)]
pub struct ResponseWindow {
    account: ByteAccount,
    /// The free bytes of the window.
    free: Arc<Semaphore>,
}

impl ResponseWindow {
    /// The window of a new stream.
    pub fn new(account: &ByteAccount) -> ResponseWindow {
        ResponseWindow {
            account: account.clone(),
            free: Arc::new(Semaphore::new(WINDOW_BYTES)),
        }
    }

    /// Holds a part until its last clone is dropped. Waits until the parts before leave room for it,
    /// and the account has some.
    pub async fn hold(&self, part: Bytes) -> Bytes {
        let bytes = part.len().min(WINDOW_BYTES) as u32;
        let permit = Arc::clone(&self.free).acquire_many_owned(bytes).await;
        let charge = self.account.charge_response(part.len()).await;
        Bytes::from_owner(HeldPart {
            part,
            _charge: charge,
            // The semaphore is never closed.
            _permit: permit.ok(),
        })
    }
}

/// A part with what it is charged.
struct HeldPart {
    part: Bytes,
    _charge: Charge,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}
