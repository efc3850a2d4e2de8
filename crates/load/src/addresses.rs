//! What one caller knows of the entries: it asks, keeps the answer and follows it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{ServiceName, TenantId};
use http::{Request, header};
use http_body_util::Full;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::http::call;

const ASK_TIME: Duration = Duration::from_secs(2);
/// How long an answer is kept at most, whatever it says.
const MAX_KEEP: Duration = Duration::from_secs(60);

/// Answer of `GET /v1/addresses`.
#[derive(Debug, Deserialize)]
struct Wire {
    /// `IP:PORT`, the best first.
    addresses: Vec<SmolStr>,
    /// How long this may be kept, in seconds.
    keep_seconds: f64,
}

#[derive(Clone)]
struct Known {
    addresses: Vec<SmolStr>,
    until: Instant,
}

/// One of a tenant's callers, and the service that it asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Caller {
    pub(crate) tenant: TenantId,
    pub(crate) index: u32,
    pub(crate) service: ServiceName,
}

/// The addresses that each caller knows for each service.
pub(crate) struct AddressBook {
    entries: Vec<SmolStr>,
    known: Mutex<BTreeMap<Caller, Known>>,
}

impl AddressBook {
    /// A book for callers who were told of `entries`, at least one, beforehand.
    pub(crate) fn new(entries: Vec<SmolStr>) -> AddressBook {
        AddressBook {
            entries,
            known: Mutex::new(BTreeMap::new()),
        }
    }

    /// The addresses to use, in order; asks when the answer kept has run out.
    pub(crate) async fn addresses(&self, caller: &Caller, token: &str) -> Vec<SmolStr> {
        let known = self.lock().get(caller).cloned();
        let old = match known {
            Some(known) if known.until > Instant::now() => return known.addresses,
            Some(known) => known.addresses,
            None => Vec::new(),
        };
        // First whom it was told of last, then those known from the start, of
        // which each caller begins with another.
        let (before, after) = self
            .entries
            .split_at(caller.index as usize % self.entries.len());
        for entry in old.iter().chain(after).chain(before) {
            if let Some(known) = ask(entry, token, &caller.service).await {
                let addresses = known.addresses.clone();
                self.lock().insert(caller.clone(), known);
                return addresses;
            }
        }
        if old.is_empty() {
            self.entries.clone()
        } else {
            old
        }
    }

    /// Drops what a caller knows, after none of its addresses could be reached.
    pub(crate) fn forget(&self, caller: &Caller) {
        self.lock().remove(caller);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Caller, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn ask(entry: &str, token: &str, service: &str) -> Option<Known> {
    let req = Request::get(format!("/v1/addresses?service={service}"))
        .header(header::HOST, entry)
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))
        .ok()?;
    let asked = async {
        let answer = call(entry, req).await.ok()?;
        answer
            .head
            .status()
            .is_success()
            .then_some(answer)?
            .whole()
            .await
    };
    let body = timeout(ASK_TIME, asked).await.ok()??;
    let wire: Wire = serde_json::from_slice(&body).ok()?;
    if wire.addresses.is_empty() {
        return None;
    }
    let keep = Duration::try_from_secs_f64(wire.keep_seconds).unwrap_or_default();
    Some(Known {
        addresses: wire.addresses,
        until: Instant::now() + keep.min(MAX_KEEP),
    })
}
