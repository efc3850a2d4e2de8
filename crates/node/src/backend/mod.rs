//! What stands behind the admin API at a node.

mod show;
mod submit;

use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_base::{ConfigVersion, NodeId};
use eelgrassmill_config::{CURRENT_KEY, CurrentRow, LOG_PREFIX, LogRow, Submit, log_key};
use eelgrassmill_peer::PeerNode;
use eelgrassmill_stores::{Table, TableError};
use eelgrassmill_timeline::{NodeEvents, Query, Timeline, merge};
use smol_str::SmolStr;
use tokio::runtime::Handle;

use crate::admin::{
    AdminBackend, BackendError, ConfigStatus, ConfigVersionInfo, GroupInfo, HostInfo, NodeInfo,
    SubmitReply, SuspectInfo, TenantInfo,
};
use crate::loops::rows::{decode, scan};
use crate::metrics::process::ProcessMetrics;
use crate::peers::Peers;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Longest wait for one node's part of the time line.
const TIMELINE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers the admin API from what this node knows and from the table.
pub(crate) struct Backend {
    pub(crate) core: Arc<Core>,
    pub(crate) peer: Arc<PeerNode<Peers>>,
    runtime: Handle,
    process: ProcessMetrics,
}

impl Backend {
    pub(crate) fn new(
        core: Arc<Core>,
        peer: Arc<PeerNode<Peers>>,
        runtime: Handle,
    ) -> Result<Backend, prometheus::Error> {
        Ok(Backend {
            core,
            peer,
            runtime,
            process: ProcessMetrics::new()?,
        })
    }

    /// Asks all nodes at once; gives who was asked and the answers that came.
    fn ask_all(&self, query: &Query) -> (Vec<NodeId>, Vec<NodeEvents>) {
        let nodes: Vec<NodeId> = {
            let directory = lock(&self.core.directory);
            directory.entries().map(|(node, _)| node.clone()).collect()
        };
        let body = serde_json::to_vec(query).unwrap_or_default();
        let asking: Vec<_> = nodes
            .iter()
            .map(|node| {
                let peer = self.peer.clone();
                let body = body.clone();
                let node = node.clone();
                self.runtime
                    .spawn(async move { peer.fetch_timeline(&node, body, TIMELINE_TIMEOUT).await })
            })
            .collect();
        let mut answers = vec![self.core.journal.query(query)];
        for task in asking {
            // A node that doesn't answer is named by the merge.
            if let Ok(Ok(bytes)) = self.runtime.block_on(task) {
                answers.extend(serde_json::from_slice::<NodeEvents>(&bytes).ok());
            }
        }
        (nodes, answers)
    }
}

impl AdminBackend for Backend {
    fn submit(&self, submit: Submit) -> Result<SubmitReply, BackendError> {
        submit::submit(self, &submit)
    }

    fn show(&self, version: Option<ConfigVersion>) -> Result<ConfigVersionInfo, BackendError> {
        let table = &self.core.platform.table;
        let Some(version) = version else {
            let row = table.get(CURRENT_KEY).map_err(|e| unavailable(&e))?;
            let current: Option<(CurrentRow, _)> = row.as_ref().and_then(decode);
            return Ok(current.map_or_else(no_version, |(row, _)| current_info(row)));
        };
        let row = table.get(&log_key(version)).map_err(|e| unavailable(&e))?;
        let logged: Option<(LogRow, _)> = row.as_ref().and_then(decode);
        // A row of the log is used again for a later version.
        let (row, _) = logged
            .filter(|(row, _)| row.version == version)
            .ok_or_else(|| BackendError::NotFound(format!("version {version} is not kept")))?;
        Ok(log_info(row, true))
    }

    fn log(&self) -> Result<Vec<ConfigVersionInfo>, BackendError> {
        let table = &self.core.platform.table;
        let rows: Vec<(LogRow, _)> = scan(table, LOG_PREFIX).map_err(|e| unavailable(&e))?;
        let mut infos: Vec<ConfigVersionInfo> = rows
            .into_iter()
            .map(|(row, _)| log_info(row, false))
            .collect();
        infos.sort_by_key(|info| std::cmp::Reverse(info.version));
        Ok(infos)
    }

    fn config_status(&self) -> Result<ConfigStatus, BackendError> {
        Ok(show::config_status(&self.core))
    }

    fn groups(&self) -> Vec<GroupInfo> {
        show::groups(&self.core)
    }

    fn hosts(&self) -> Vec<HostInfo> {
        show::hosts(&self.core)
    }

    fn nodes(&self) -> Vec<NodeInfo> {
        show::nodes(&self.core)
    }

    fn tenants(&self) -> Vec<TenantInfo> {
        show::tenants(&self.core)
    }

    fn suspects(&self) -> Vec<SuspectInfo> {
        show::suspects(&self.core)
    }

    fn timeline(&self, query: &Query) -> Timeline {
        let (asked, answers) = self.ask_all(query);
        merge(asked, answers, query.limit())
    }

    fn metrics(&self) -> String {
        self.core.metrics.render() + &self.process.render()
    }
}

fn unavailable(err: &TableError) -> BackendError {
    BackendError::Unavailable(err.to_string())
}

fn no_version() -> ConfigVersionInfo {
    ConfigVersionInfo {
        version: 0,
        author: SmolStr::default(),
        submit_id: SmolStr::default(),
        checksum: SmolStr::default(),
        text: None,
    }
}

fn current_info(row: CurrentRow) -> ConfigVersionInfo {
    ConfigVersionInfo {
        version: row.version,
        author: row.author,
        submit_id: row.submit_id,
        checksum: row.checksum,
        text: Some(row.text),
    }
}

fn log_info(row: LogRow, with_text: bool) -> ConfigVersionInfo {
    ConfigVersionInfo {
        version: row.version,
        author: row.author,
        submit_id: row.submit_id,
        checksum: row.checksum,
        text: with_text.then_some(row.text),
    }
}
