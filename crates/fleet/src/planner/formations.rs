//! Collection of all formations, indexed by name and by member.

use std::collections::{BTreeMap, HashMap};

use eelgrassmill_base::{GroupId, HostId};
use smallvec::SmallVec;

use crate::host::Host;
use crate::planner::formation::Formation;

/// Formations by name, with an index of their members.
///
/// Each planning pass looks up the formation of every host several times. Scanning all formations
/// for each host would make a pass quadratic in the size of the fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct Formations {
    by_id: BTreeMap<GroupId, Formation>,
    /// Invariant: for each host the formations that list it as a member, sorted by name, including
    /// those removed by [`Formations::take`].
    by_member: HashMap<HostId, SmallVec<[GroupId; 2]>>,
}

impl Formations {
    pub(super) fn get(&self, id: &str) -> Option<&Formation> {
        self.by_id.get(id)
    }

    /// Mutable access to a formation. Members are added only by [`Formations::add_member`].
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Formation> {
        self.by_id.get_mut(id)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &GroupId> {
        self.by_id.keys()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Formation> {
        self.by_id.values()
    }

    /// The formations that list a host as a member, including those that it has left.
    pub(super) fn of_member(&self, host: &str) -> impl Iterator<Item = &Formation> {
        let ids = self.by_member.get(host).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    pub(super) fn insert(&mut self, formation: Formation) {
        for member in &formation.members {
            add_to_index(&mut self.by_member, member, &formation.id);
        }
        self.by_id.insert(formation.id.clone(), formation);
    }

    pub(super) fn add_member(&mut self, id: &str, host: &Host) {
        if let Some(formation) = self.by_id.get_mut(id) {
            formation.add_member(host);
            add_to_index(&mut self.by_member, &host.id, &formation.id);
        }
    }

    /// Removes a formation but keeps its index entries, until [`Formations::put_back`] or
    /// [`Formations::remove_from_index`].
    pub(super) fn take(&mut self, id: &str) -> Option<Formation> {
        self.by_id.remove(id)
    }

    /// Reinserts a formation returned by [`Formations::take`], with the same members.
    pub(super) fn put_back(&mut self, formation: Formation) {
        self.by_id.insert(formation.id.clone(), formation);
    }

    /// Removes the index entries of a formation returned by [`Formations::take`].
    pub(super) fn remove_from_index(&mut self, formation: &Formation) {
        for member in &formation.members {
            if let Some(ids) = self.by_member.get_mut(member) {
                ids.retain(|id| *id != formation.id);
                if ids.is_empty() {
                    self.by_member.remove(member);
                }
            }
        }
    }

    /// Removes a formation.
    pub(super) fn remove(&mut self, id: &str) {
        if let Some(formation) = self.take(id) {
            self.remove_from_index(&formation);
        }
    }
}

fn add_to_index(
    by_member: &mut HashMap<HostId, SmallVec<[GroupId; 2]>>,
    host: &HostId,
    id: &GroupId,
) {
    let ids = by_member.entry(host.clone()).or_default();
    if let Err(at) = ids.binary_search(id) {
        ids.insert(at, id.clone());
    }
}
