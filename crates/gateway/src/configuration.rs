//! The configuration in force, read from the store or from another node.
//!
//! The store can reject some nodes for seconds while it serves others. Without copies from other
//! nodes, the rejected ones would keep accepting revoked keys and refusing new routes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use eelgrassmill_base::{ConfigVersion, NodeId};
use eelgrassmill_fleet::Catalog;
use eelgrassmill_peer::{ConfigText, checksum};
use tokio::sync::{Notify, watch};
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{AcceptedConfig, Platform};

/// How long a node that learns of a newer configuration waits for it to arrive from the store,
/// which takes up to 10 ms, or some 250 ms when the store is slow.
const STORE_READ_DELAY: Duration = Duration::from_millis(400);
/// Timeout for another node's configuration text, some 100 KB between failure domains.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    current: RwLock<Current>,
    /// The version that each other node last reported to have in force.
    peer_versions: Mutex<BTreeMap<NodeId, ConfigVersion>>,
    peer_ahead: Notify,
    /// Largest request head that the configuration in force permits; 0 before there is one.
    header_bytes: watch::Sender<usize>,
}

/// Invariant: the version never decreases, and `catalog` was parsed from `text`.
#[derive(Debug, Default)]
struct Current {
    catalog: Arc<Catalog>,
    text: String,
}

impl Configuration {
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current.catalog)
    }

    /// The configuration in force with its text; `None` before there is one.
    pub(crate) fn accepted(&self) -> Option<AcceptedConfig> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        let known = current.catalog.version() > 0;
        known.then(|| AcceptedConfig {
            catalog: Catalog::clone(&current.catalog),
            text: current.text.clone(),
        })
    }

    /// Its text as sent to other nodes; `None` before there is one.
    pub(crate) fn text(&self) -> Option<ConfigText> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        let version = current.catalog.version();
        (version > 0).then(|| ConfigText {
            version,
            checksum: checksum(&current.text),
            author: Default::default(),
            submit_id: Default::default(),
            text: current.text.clone(),
        })
    }

    /// Puts a configuration in force if it is newer, and returns whether it is.
    ///
    /// The store's responses may be seconds old, and a new connection may show an older state than
    /// the last one did; the node never goes back to an older version.
    fn replace_if_newer(&self, accepted: AcceptedConfig) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if accepted.catalog.version() <= current.catalog.version() {
            return false;
        }
        *current = Current {
            catalog: Arc::new(accepted.catalog.following(&current.catalog)),
            text: accepted.text,
        };
        if let Some(limits) = current.catalog.limits() {
            self.header_bytes.send_replace(limits.header_bytes);
        }
        true
    }

    /// Follows the largest request head that the configuration in force permits.
    pub(crate) fn header_bytes(&self) -> watch::Receiver<usize> {
        self.header_bytes.subscribe()
    }

    /// Records the version that another node has in force.
    pub(crate) fn on_peer_version(&self, node: &NodeId, version: ConfigVersion) {
        locked(&self.peer_versions).insert(node.clone(), version);
        if version > self.catalog().version() {
            self.peer_ahead.notify_one();
        }
    }

    /// Forgets the version of a node that left or died.
    pub(crate) fn forget_node(&self, node: &str) {
        locked(&self.peer_versions).remove(node);
    }

    /// The highest version at other nodes, if it is newer than the one here, and a random node that
    /// has it.
    fn newer_at_peer(&self) -> Option<(ConfigVersion, NodeId)> {
        let own = self.catalog().version();
        let peer_versions = locked(&self.peer_versions);
        let newest = peer_versions.values().copied().max().filter(|v| *v > own)?;
        let nodes = peer_versions
            .iter()
            .filter(|(_, version)| **version == newest);
        let nodes: Vec<&NodeId> = nodes.map(|(node, _)| node).collect();
        let node = nodes.get(fastrand::usize(..nodes.len()))?;
        Some((newest, (*node).clone()))
    }
}

/// Puts a configuration in force if it is newer. `source` says where it is from.
pub(crate) fn apply<P: Platform>(core: &Core<P>, accepted: AcceptedConfig, source: &str) {
    let version = accepted.catalog.version();
    if !core.configuration.replace_if_newer(accepted) {
        return;
    }
    info!(event = "config", version, outcome = "in-force", source);
    let shown = i64::try_from(version).unwrap_or(i64::MAX);
    core.metrics.config_version.set(shown);
    if core.catalog().has_lost_customers() {
        warn!(event = "config", version, outcome = "without-customers");
    }
    core.planning.wake();
}

/// Fetches newer configurations from other nodes when the store doesn't show them, until the
/// process ends.
///
/// A node reads the list from one other node, its parent. If the store rejects both, any node that
/// reports a newer version has it.
pub(crate) async fn fetch_from_peers<P: Platform>(core: Arc<Core<P>>) {
    loop {
        core.configuration.peer_ahead.notified().await;
        tokio::time::sleep(STORE_READ_DELAY).await;
        while let Some((version, node)) = core.configuration.newer_at_peer() {
            fetch(&core, version, &node).await;
            tokio::time::sleep(STORE_READ_DELAY).await;
        }
    }
}

async fn fetch<P: Platform>(core: &Core<P>, version: ConfigVersion, node: &NodeId) {
    let Some(peer) = core.peer() else { return };
    // The whole text: former texts aren't kept, so no node could send a delta.
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
        Ok(accepted) => apply(core, accepted, node),
        Err(err) => warn!(event = "config", version, outcome = "unreadable", %node, %err),
    }
}
