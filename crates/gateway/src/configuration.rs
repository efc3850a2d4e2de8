//! The accepted configuration, from the store or from another node.
//!
//! The load it answers: the store turns some nodes away for seconds and serves the others.
//! Those nodes would go on accepting keys that were taken away and refusing routes that
//! were added, though their neighbours know better.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use eelgrassmill_base::{ConfigVersion, NodeId};
use eelgrassmill_fleet::Catalog;
use eelgrassmill_peer::{ConfigText, checksum};
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{AcceptedConfig, Platform};

/// A node that hears of a newer configuration gives the store this long to show it: the
/// store does so within 10 ms, and within some 250 ms when it is slow.
const OWN_READ: Duration = Duration::from_millis(400);
/// Longest wait for another node's text: some 100 KB between failure domains.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    held: RwLock<Held>,
    /// What each other node has in force, as it last said.
    elsewhere: Mutex<BTreeMap<NodeId, ConfigVersion>>,
    heard: Notify,
}

/// Invariant: the version never falls, and `text` is what `catalog` was read from.
#[derive(Debug, Default)]
struct Held {
    catalog: Arc<Catalog>,
    text: String,
}

impl Configuration {
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&held.catalog)
    }

    /// The configuration in force with its text; `None` before there is one.
    pub(crate) fn accepted(&self) -> Option<AcceptedConfig> {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        let known = held.catalog.version() > 0;
        known.then(|| AcceptedConfig {
            catalog: Catalog::clone(&held.catalog),
            text: held.text.clone(),
        })
    }

    /// Its text as other nodes get it; `None` before there is one.
    pub(crate) fn text(&self) -> Option<ConfigText> {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        let version = held.catalog.version();
        (version > 0).then(|| ConfigText {
            version,
            checksum: checksum(&held.text),
            author: Default::default(),
            submit_id: Default::default(),
            text: held.text.clone(),
        })
    }

    /// Puts a configuration in force, unless it is no newer. Whether it did.
    ///
    /// The store's answers may be seconds old, and a new connection may show an older
    /// state than the last one did; a version that has been in force is never left.
    fn offer(&self, accepted: AcceptedConfig) -> bool {
        let mut held = self.held.write().unwrap_or_else(PoisonError::into_inner);
        if accepted.catalog.version() <= held.catalog.version() {
            return false;
        }
        *held = Held {
            catalog: Arc::new(accepted.catalog),
            text: accepted.text,
        };
        true
    }

    /// Notes which version another node has in force.
    pub(crate) fn heard(&self, node: &NodeId, version: ConfigVersion) {
        locked(&self.elsewhere).insert(node.clone(), version);
        if version > self.catalog().version() {
            self.heard.notify_one();
        }
    }

    /// Forgets what a node said that is gone.
    pub(crate) fn forget(&self, node: &str) {
        locked(&self.elsewhere).remove(node);
    }

    /// Any of the nodes that have the highest version, if that is newer than the one here.
    fn ahead(&self) -> Option<(ConfigVersion, NodeId)> {
        let mine = self.catalog().version();
        let elsewhere = locked(&self.elsewhere);
        let newest = elsewhere.values().copied().max().filter(|v| *v > mine)?;
        let nodes = elsewhere.iter().filter(|(_, version)| **version == newest);
        let nodes: Vec<&NodeId> = nodes.map(|(node, _)| node).collect();
        let node = nodes.get(fastrand::usize(..nodes.len()))?;
        Some((newest, (*node).clone()))
    }
}

/// Puts a configuration in force, unless it is no newer. `source` is where it is from.
pub(crate) fn take<P: Platform>(core: &Core<P>, accepted: AcceptedConfig, source: &str) {
    let version = accepted.catalog.version();
    if !core.configuration.offer(accepted) {
        return;
    }
    info!(event = "config", version, outcome = "in-force", source);
    let shown = i64::try_from(version).unwrap_or(i64::MAX);
    core.metrics.config_version.set(shown);
    core.planning.wake();
}

/// Fetches newer configurations from other nodes where the store doesn't show them, for
/// ever.
///
/// A node has the list from one other, its parent. Where the store turns both away, any node
/// that tells of a newer version has it.
pub(crate) async fn follow_nodes<P: Platform>(core: Arc<Core<P>>) {
    loop {
        core.configuration.heard.notified().await;
        tokio::time::sleep(OWN_READ).await;
        while let Some((version, node)) = core.configuration.ahead() {
            fetch(&core, version, &node).await;
            tokio::time::sleep(OWN_READ).await;
        }
    }
}

async fn fetch<P: Platform>(core: &Core<P>, version: ConfigVersion, node: &NodeId) {
    let Some(peer) = core.peer() else { return };
    // Whole: former texts aren't kept, so that nobody could send a difference.
    let fetched = peer.fetch_config(node, None, FETCH_TIMEOUT).await;
    let read = match fetched {
        Ok(text) => core
            .platform
            .read_catalog(&text.text)
            .map(|catalog| AcceptedConfig {
                catalog,
                text: text.text,
            }),
        Err(err) => {
            warn!(event = "config", version, outcome = "not-fetched", %node, %err);
            return;
        }
    };
    match read {
        Ok(accepted) => take(core, accepted, node),
        Err(err) => warn!(event = "config", version, outcome = "unreadable", %node, %err),
    }
}
