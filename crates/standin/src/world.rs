//! Everything that the stand-ins of one process share.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassmill_base::HostId;

use crate::host::{Host, Loading, Membership};
use crate::platform::Platform;

pub(crate) struct World {
    pub(crate) hosts: BTreeMap<HostId, Arc<Host>>,
    pub(crate) platform: Platform,
}

/// A member of a group as it was when a request began.
pub(crate) struct Member {
    pub(crate) host: Arc<Host>,
    then: Membership,
}

impl Member {
    /// Whether it still is what it was.
    pub(crate) fn holds(&self) -> bool {
        self.host.membership().as_ref() == Some(&self.then)
    }
}

/// Why a host won't run a request for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotServing {
    /// It isn't in that group and epoch.
    #[error("not in this group and epoch")]
    Elsewhere,
    /// Another member is the lead.
    #[error("not the lead of this group")]
    NotLead,
    /// A member is missing, dead or still loading.
    #[error("group is not whole")]
    NotWhole,
}

impl World {
    /// The members of the group that `lead` leads, when all of them are there.
    pub(crate) fn whole_group(
        &self,
        lead: &Host,
        group: &str,
        epoch: u64,
    ) -> Result<Vec<Member>, NotServing> {
        let placement = lead.placement().ok_or(NotServing::Elsewhere)?;
        if placement.group != group || placement.epoch != epoch {
            return Err(NotServing::Elsewhere);
        }
        if placement.members.first() != Some(&lead.spec.id) {
            return Err(NotServing::NotLead);
        }
        let member = |id: &HostId| {
            let host = self.hosts.get(id)?;
            let then = host.membership()?;
            let same = host.placement()? == placement;
            same.then(|| Member {
                host: Arc::clone(host),
                then,
            })
        };
        let members: Option<Vec<Member>> = placement.members.iter().map(member).collect();
        members.ok_or(NotServing::NotWhole)
    }

    /// Loads weights at the store's rate and makes `host` ready.
    pub(crate) async fn load(&self, host: &Host, loading: Loading) {
        if self
            .platform
            .read_weights(&loading.model, || host.wants(&loading))
            .await
        {
            host.loaded(&loading);
        }
    }
}
