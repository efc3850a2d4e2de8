//! Reading the table and the host list.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use eelgrassmill_base::RowVersion;
use eelgrassmill_config::{CURRENT_KEY, CurrentRow, HEAD_KEY, HeadRow};
use eelgrassmill_group::{
    GROUP_PREFIX, GroupRow, LeaseObserver, NODE_PREFIX, NodeRow, PlannerRow, planner_key,
};
use eelgrassmill_peer::{ConfigText, Member, PeerNode};
use eelgrassmill_stores::{HostList, Table, TableError};
use eelgrassmill_timeline::EventKind;

use super::contender::is_contender;
use super::rows::{decode, scan};
use crate::apply::apply_config;
use crate::group_rows;
use crate::metrics::Promise;
use crate::peers::Peers;
use crate::state::core::Core;
use crate::state::lock::lock;

/// What the planner loop needs of what was read.
pub(crate) struct Seen {
    pub(crate) observer: LeaseObserver,
    pub(crate) planner: Option<(PlannerRow, RowVersion)>,
}

/// Rounds of reading that a node leaves out which is no reader of its failure domain.
///
/// At 370 nodes, all reading at every round would ask several thousand times a
/// second; what the others learn late here, they learn at once from their peers.
const OTHERS_EVERY: u32 = 20;
/// Reads what this node has to know of the table and the host list.
pub(crate) struct Reader {
    core: Arc<Core>,
    peer: Arc<PeerNode<Peers>>,
    seen: Arc<Mutex<Seen>>,
    round: u32,
}

impl Reader {
    pub(crate) fn new(
        core: Arc<Core>,
        peer: Arc<PeerNode<Peers>>,
        seen: Arc<Mutex<Seen>>,
    ) -> Reader {
        Reader {
            core,
            peer,
            seen,
            round: 0,
        }
    }

    /// One round of reads. Without the table or the list, what was read last stays.
    ///
    /// Group rows and the host list are read by the readers of a failure domain in
    /// turn, each every two seconds where there are four. The planner tells of group
    /// rows as it writes them; a reading only finds what was not told: rows that are
    /// gone, and those of a region without a planner.
    pub(crate) fn step(&mut self) {
        let round = self.round;
        self.round = round.wrapping_add(1);
        let turn = lock(&self.core.fleet).reading_turn(&self.core.ident.node);
        let Some(turn) = turn else {
            if round.is_multiple_of(OTHERS_EVERY) {
                self.read(true);
            }
            return;
        };
        // A start reads everything, whosever turn it is.
        let all = round == 0 || turn.is_now(round);
        if !self.read(all) {
            // The same round again, so that what was due now isn't left out.
            self.round = round;
        }
    }

    /// False when the table did not answer.
    fn read(&self, all: bool) -> bool {
        let read = self.read_table(all);
        if let Err(err) = &read {
            tracing::debug!(%err, "table not read");
        }
        if all {
            self.read_hosts();
        }
        read.is_ok()
    }

    fn read_hosts(&self) {
        match self.core.platform.hosts.hosts() {
            Ok(entries) => {
                let mut fleet = lock(&self.core.fleet);
                fleet.set_hosts(entries);
                self.core
                    .reports
                    .retain(|host| fleet.hosts.contains_key(host));
            }
            Err(err) => tracing::debug!(%err, "host list not read"),
        }
    }

    /// Reads what is due; `all` includes the rows that are read less often.
    fn read_table(&self, all: bool) -> Result<(), TableError> {
        let table = &self.core.platform.table;
        self.read_config()?;
        let planner = table.get(&planner_key(&self.core.ident.region))?;
        lock(&self.seen).planner = planner.as_ref().and_then(decode);
        if all || self.sees_to_leases() {
            let nodes: Vec<(NodeRow, RowVersion)> = scan(table, NODE_PREFIX)?;
            self.take_nodes(nodes);
        }
        if all {
            let began = Instant::now();
            let groups: Vec<(GroupRow, RowVersion)> = scan(table, GROUP_PREFIX)?;
            group_rows::scanned(&self.core, groups, began);
        }
        Ok(())
    }

    /// Whether this node acts on lapsed leases, as the planner or as one who may follow it.
    fn sees_to_leases(&self) -> bool {
        self.is_planner() || is_contender(&self.core, &lock(&self.seen))
    }

    /// Whether the planner row names this node.
    fn is_planner(&self) -> bool {
        let planner = lock(&self.core.planner);
        planner.as_ref().is_some_and(|node| self.core.is_me(node))
    }

    /// Reads the text only when the small row beside it says that it is new.
    fn read_config(&self) -> Result<(), TableError> {
        let table = &self.core.platform.table;
        let in_force = self.core.config.version();
        let head = table.get(HEAD_KEY)?;
        let Some((head, _)) = head.as_ref().and_then(decode::<HeadRow>) else {
            return Ok(());
        };
        if head.version < in_force {
            self.core
                .metrics
                .promise_guarded(Promise::ConfigNeverReverts);
        }
        if head.version <= self.core.config.version() {
            return Ok(());
        }
        if let Some(row) = table.get(CURRENT_KEY)?
            && let Some((current, _)) = decode::<CurrentRow>(&row)
        {
            apply_config(&self.core, &self.peer, &config_text(current));
        }
        Ok(())
    }

    fn take_nodes(&self, nodes: Vec<(NodeRow, RowVersion)>) {
        let now = Instant::now();
        let mut seen = lock(&self.seen);
        for (row, version) in &nodes {
            seen.observer.observe(&row.node, *version, now);
        }
        drop(seen);
        let members: Vec<Member> = nodes.iter().map(|(row, _)| member(row)).collect();
        self.peer.set_members(members);
        let (came, went) = lock(&self.core.fleet).set_nodes(nodes);
        for peer in came {
            self.core.journal.note(EventKind::NodeJoined { peer });
        }
        for peer in went {
            lock(&self.seen).observer.forget(&peer);
            let reason = "lease row is gone".into();
            self.core.journal.note(EventKind::NodeLeft { peer, reason });
        }
    }
}

fn config_text(row: CurrentRow) -> ConfigText {
    ConfigText {
        version: row.version,
        checksum: row.checksum,
        author: row.author,
        submit_id: row.submit_id,
        text: row.text,
    }
}

fn member(row: &NodeRow) -> Member {
    Member {
        id: row.node.clone(),
        address: row.peer.clone(),
        failure_domain: row.failure_domain.clone(),
        region: row.region.clone(),
    }
}
