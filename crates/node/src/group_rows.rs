//! Group rows told from the planner to all nodes.
//!
//! Only a few nodes read the table often. The others, and a node that starts
//! while the table is down, have their rows from the planner, with the hosts
//! that the rows name, so that they can serve without having read anything.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{GroupId, HostEntry, RowVersion};
use eelgrassmill_group::GroupRow;
use eelgrassmill_peer::{GroupRecord, Item, ItemKey, MAX_GROUP_RECORD_BYTES, PeerNode};
use serde::{Deserialize, Serialize};

use crate::peers::Peers;
use crate::state::core::Core;
use crate::state::lock::lock;

#[derive(Serialize, Deserialize)]
struct Told {
    row: GroupRow,
    /// The members as the host list has them.
    hosts: Vec<HostEntry>,
}

/// What this node, as planner, has told.
#[derive(Default)]
pub(crate) struct Teller {
    told: BTreeMap<GroupId, RowVersion>,
}

impl Teller {
    /// Tells of rows that are new or changed, and no more of those that are gone.
    pub(crate) fn tell(
        &mut self,
        core: &Core,
        peer: &PeerNode<Peers>,
        rows: &[(GroupRow, RowVersion)],
    ) {
        for (row, version) in rows {
            if self.told.get(&row.group) == Some(version) {
                continue;
            }
            if let Some(item) = item(core, row, *version) {
                peer.publish(item);
                self.told.insert(row.group.clone(), *version);
            }
        }
        self.told.retain(|group, _| {
            let kept = rows.iter().any(|(row, _)| row.group == *group);
            if !kept {
                peer.withdraw(&ItemKey::Group(group.clone()));
            }
            kept
        });
    }

    /// Withdraws everything: another node plans the region.
    pub(crate) fn end(&mut self, peer: &PeerNode<Peers>) {
        for group in std::mem::take(&mut self.told).into_keys() {
            peer.withdraw(&ItemKey::Group(group));
        }
    }
}

fn item(core: &Core, row: &GroupRow, version: RowVersion) -> Option<Item> {
    let fleet = lock(&core.fleet);
    let hosts = row.members.iter().filter_map(|host| fleet.hosts.get(host));
    let told = Told {
        row: row.clone(),
        hosts: hosts.cloned().collect(),
    };
    drop(fleet);
    let record = serde_json::to_vec(&told).ok()?;
    if record.len() > MAX_GROUP_RECORD_BYTES {
        // The others find the row in the table.
        return None;
    }
    Some(Item::Group(GroupRecord {
        group: row.group.clone(),
        version,
        record,
    }))
}

/// Takes a scan of all group rows that began at `began`.
pub(crate) fn scanned(core: &Core, rows: Vec<(GroupRow, RowVersion)>, began: Instant) {
    let mut fleet = lock(&core.fleet);
    let mut whole = lock(&core.whole);
    for (row, _) in &rows {
        whole.on_row(row);
    }
    for gone in fleet.set_groups(rows, began) {
        whole.forget(&gone);
    }
    fleet.scanned = Some(Instant::now());
}

/// Takes a row that the planner tells of. That it tells of it no more says nothing:
/// another node may be the planner now.
pub(crate) fn take(core: &Core, item: &GroupRecord) {
    let Ok(told) = serde_json::from_slice::<Told>(&item.record) else {
        return;
    };
    let mut fleet = lock(&core.fleet);
    fleet.on_told_hosts(told.hosts);
    if fleet.on_told(&told.row, item.version, Instant::now()) {
        lock(&core.whole).on_row(&told.row);
    }
}
