//! Following the platform's lists.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_fleet::{FleetChange, Host};
use tracing::{info, warn};

use crate::configuration;
use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Accepted, Cursor, Platform, Source, SourceError};

/// Longest wait of one question for changes. A connection that went silent for good shows
/// only as a question without an answer, so this bounds how long a change goes unseen.
const WAIT: Duration = Duration::from_secs(3);
/// Pause after an answer with changes, so that changes that come together cost one call.
const GATHER: Duration = Duration::from_millis(60);
/// Pause after a failure; grows up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// A store that is back must be read again well within the 2 s in which a change counts.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// What becomes of changes.
pub(crate) trait Sink<C> {
    /// The name of the list, for logs.
    const LIST: &'static str;
    /// Takes changes in order.
    fn take(&self, changes: Vec<C>);
}

/// Keeps a sink up to date with a source, for ever.
pub(crate) async fn follow<P, S, K>(core: &Core<P>, source: &S, sink: &K)
where
    P: Platform,
    S: Source,
    K: Sink<S::Change>,
{
    let mut cursor: Option<Cursor> = None;
    let mut newest: Cursor = 0;
    let mut pause = FIRST_PAUSE;
    let mut healthy = false;
    loop {
        let result = match cursor {
            None => source.snapshot().await,
            // After a failure the first question is one that is answered at once: a wait
            // on a connection that is dead would hide for seconds that the store is back.
            Some(since) if !healthy => source.changes(since, Duration::ZERO).await,
            Some(since) => source.changes(since, WAIT).await,
        };
        match result {
            // A read that shows an older state than one before says nothing of now.
            Ok((_, at)) if cursor.is_none() && at < newest => {
                tokio::time::sleep(pause).await;
            }
            Ok((changes, at)) => {
                core.store_answered();
                if !healthy {
                    info!(
                        event = "dependency",
                        list = K::LIST,
                        state = "answers",
                        version = at
                    );
                }
                healthy = true;
                pause = FIRST_PAUSE;
                newest = newest.max(at);
                cursor = Some(newest);
                let quiet = changes.is_empty();
                sink.take(changes);
                if !quiet {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(SourceError::Compacted) => {
                info!(event = "dependency", list = K::LIST, state = "history-gone");
                cursor = None;
            }
            Err(err) => {
                core.store_failed();
                if healthy || pause == FIRST_PAUSE {
                    warn!(event = "dependency", list = K::LIST, state = "fails", %err);
                }
                healthy = false;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
        let failures = i64::try_from(core.store_failures()).unwrap_or(i64::MAX);
        core.metrics.store_failures.set(failures);
    }
}

/// Takes host entries into the fleet.
pub(crate) struct HostSink<P: Platform>(pub(crate) Arc<Core<P>>);

impl<P: Platform> Sink<FleetChange> for HostSink<P> {
    const LIST: &'static str = "hosts";

    fn take(&self, changes: Vec<FleetChange>) {
        let now = Instant::now();
        let mut changed = !changes.is_empty();
        {
            let mut fleet = locked(&self.0.fleet);
            let mut gone = Vec::new();
            for change in changes {
                if let FleetChange::Put(host) = &change {
                    note(host);
                }
                gone.extend(fleet.apply(change, now));
            }
            changed |= !gone.is_empty();
            for host in gone {
                info!(event = "host-gone", %host, reason = "no longer listed");
            }
        }
        if changed {
            self.0.refresh_heads();
        }
    }
}

fn note(host: &Host) {
    let m = host.membership.as_ref();
    info!(
        event = "host", host = %host.id, state = ?host.state, born = host.born_ms,
        fabric = %host.fabric, staged = ?host.staged,
        replica = m.map_or("", |m| m.replica.as_str()), epoch = m.map_or(0, |m| m.epoch),
        rank = m.map_or(0, |m| m.rank), phase = ?m.map(|m| m.phase),
        model = host.model.as_deref().unwrap_or_default(),
    );
}

/// Takes configurations into force.
pub(crate) struct CatalogSink<P: Platform>(pub(crate) Arc<Core<P>>);

impl<P: Platform> Sink<Accepted> for CatalogSink<P> {
    const LIST: &'static str = "configuration";

    fn take(&self, changes: Vec<Accepted>) {
        for accepted in changes {
            configuration::take(&self.0, accepted, "store");
        }
    }
}
