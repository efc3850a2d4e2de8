//! What nodes tell each other: items of soft state and their keys.

use std::time::{Duration, Instant};

use eelgrassmill_base::{
    ConfigVersion, Epoch, FailureDomain, GroupId, HostId, Incarnation, NodeId, Region, RowVersion,
    ServiceName, TenantId, value,
};
use smol_str::SmolStr;

value! {
    /// One item of soft state, which belongs to the node that published it.
    pub enum Item {
        /// A configuration that was accepted.
        Config(ConfigAnnouncement),
        /// What a watcher found of a group.
        Health(HealthReport),
        /// What the node is.
        Status(NodeStatus),
        /// What changes often at the node.
        Load(NodeLoad),
        /// A target that takes no new work.
        Leaving(LeavingTarget),
        /// A request under suspicion of killing targets.
        Suspect(Suspect),
        /// The load of a group.
        GroupLoad(GroupLoad),
        /// What tenants have used at the node.
        Usage(TenantUsage),
        /// A group's row, told by the node that plans it.
        Group(GroupRecord),
    }

    /// A configuration that was accepted; its text is fetched on demand.
    pub struct ConfigAnnouncement {
        /// Its version.
        pub version: ConfigVersion,
        /// SHA-256 of its text in hexadecimal digits.
        pub checksum: SmolStr,
    }

    /// What a watcher found of a group.
    pub struct HealthReport {
        /// The group.
        pub group: GroupId,
        /// The epoch it was found in.
        pub epoch: Epoch,
        /// Whether the group may serve.
        pub serving: bool,
        /// The watcher's code for the reason; its meaning is the group policy's.
        pub code: u32,
        /// The reason in words, at most [`MAX_TEXT_BYTES`] bytes.
        pub reason: SmolStr,
    }

    /// What a node is.
    pub struct NodeStatus {
        /// `IP:PORT` for other nodes.
        pub peer_address: SmolStr,
        /// `IP:PORT` for callers.
        pub entry_address: SmolStr,
        /// `IP:PORT` for operators.
        pub admin_address: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its region.
        pub region: Region,
        /// Whether it is about to stop.
        pub leaving: bool,
        /// Processor that it may use, in thousandths of a core; 0 where it doesn't say.
        pub cpu_millicores: u32,
    }

    /// What changes often at a node. It travels with the slow items.
    pub struct NodeLoad {
        /// The configuration in force there; 0 for none.
        pub config_version: ConfigVersion,
        /// How full it is, in thousandths.
        pub load_permille: u32,
        /// Whether it has too little processor for what it does.
        pub overloaded: bool,
    }

    /// A target that takes no new work.
    pub struct LeavingTarget {
        /// Its host.
        pub host: HostId,
        /// The start of the host that said so; 0 where the host list said it.
        pub incarnation: Incarnation,
    }

    /// A request under suspicion of killing targets.
    pub struct Suspect {
        /// Fingerprint of the request.
        pub fingerprint: SmolStr,
        /// What is known of it; opaque here, at most [`MAX_SUSPECT_RECORD_BYTES`] bytes.
        pub record: Vec<u8>,
    }

    /// The load of a group. It travels with the slow items.
    pub struct GroupLoad {
        /// The group.
        pub group: GroupId,
        /// The epoch it was measured in.
        pub epoch: Epoch,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait at the group.
        pub waiting: u32,
        /// Requests of all nodes that this node, as the group's scheduler, has assigned to it.
        pub assigned: u32,
        /// Whether it rejects all requests.
        pub ejected: bool,
    }

    /// A group's row as its planner wrote it.
    pub struct GroupRecord {
        /// The group.
        pub group: GroupId,
        /// The row's version in the table.
        pub version: RowVersion,
        /// The row and what else is told with it; opaque here, at most [`MAX_GROUP_RECORD_BYTES`] bytes.
        pub record: Vec<u8>,
    }

    /// What one tenant has used of a service at the node. It travels with the slow items.
    pub struct TenantUsage {
        /// The service.
        pub service: ServiceName,
        /// The tenant.
        pub tenant: TenantId,
        /// The tenant's weight.
        pub weight: u32,
        /// Tokens since the node's start, so that a lost or doubled report does no harm.
        pub tokens: i64,
    }

    /// A change that a node learned of.
    pub struct Update {
        /// The node whose state changed.
        pub origin: NodeId,
        /// Its start.
        pub incarnation: Incarnation,
        /// What changed.
        pub change: Change,
    }

    /// What changed at an origin.
    pub enum Change {
        /// An item is new or has a new value.
        Put {
            /// The item.
            item: Item,
            /// The origin's sequence number of the change.
            sequence: u64,
            /// When it was observed, on this node's clock and never later than it truly was.
            as_of: Instant,
            /// It is dropped at this age.
            ttl: Option<Duration>,
        },
        /// An item is gone.
        Removed(ItemKey),
        /// Every item held of this origin still held at this instant.
        Confirmed(Instant),
        /// The origin was silent for too long, or has restarted: nothing that it said counts.
        Forgotten,
    }
}

/// Names one item of an origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// The configuration that it announces.
    Config,
    /// Its verdict on a group.
    Health(GroupId),
    /// Its status.
    Status,
    /// Its load.
    Load,
    /// A leaving target that it reports.
    Leaving(HostId),
    /// A suspect by fingerprint.
    Suspect(SmolStr),
    /// The load of a group.
    GroupLoad(GroupId),
    /// What a tenant has used of a service.
    Usage(ServiceName, TenantId),
    /// A group's row.
    Group(GroupId),
}

/// Longest name or reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;
/// Longest record of a group, in bytes: a row of some tens of members with their addresses.
pub const MAX_GROUP_RECORD_BYTES: usize = 16 * 1024;
/// Longest record of a suspect, in bytes.
pub const MAX_SUSPECT_RECORD_BYTES: usize = 2048;

/// A node's load is told anew when it has changed by this many thousandths.
const LOAD_STEP: u32 = 50;

/// How soon a change of an item must travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pace {
    /// With the slow items, a few seconds apart.
    Slow,
    /// On the next tick.
    Normal,
    /// On the next flush.
    Urgent,
}

impl GroupLoad {
    /// Whether it differs from a group that nobody has reported.
    pub fn is_reportable(&self) -> bool {
        self.work() > 0 || self.ejected
    }

    fn work(&self) -> u32 {
        let own = self.running.saturating_add(self.waiting);
        own.saturating_add(self.assigned)
    }
}

impl Item {
    /// The key under which its origin holds it.
    pub fn key(&self) -> ItemKey {
        match self {
            Item::Config(_) => ItemKey::Config,
            Item::Health(v) => ItemKey::Health(v.group.clone()),
            Item::Status(_) => ItemKey::Status,
            Item::Load(_) => ItemKey::Load,
            Item::Leaving(l) => ItemKey::Leaving(l.host.clone()),
            Item::Suspect(s) => ItemKey::Suspect(s.fingerprint.clone()),
            Item::GroupLoad(g) => ItemKey::GroupLoad(g.group.clone()),
            Item::Usage(u) => ItemKey::Usage(u.service.clone(), u.tenant.clone()),
            Item::Group(g) => ItemKey::Group(g.group.clone()),
        }
    }

    /// Whether the others can do with this item in place of `new`. Loads change all
    /// the time, and each change costs every node some bytes.
    pub(crate) fn is_close_to(&self, new: &Item) -> bool {
        match (self, new) {
            (Item::Load(a), Item::Load(b)) => {
                a.config_version == b.config_version
                    && a.overloaded == b.overloaded
                    && a.load_permille.abs_diff(b.load_permille) < LOAD_STEP
            }
            (Item::GroupLoad(a), Item::GroupLoad(b)) => {
                let step = (a.work() / 4).max(1);
                let same = a.epoch == b.epoch && a.ejected == b.ejected;
                same && a.work().abs_diff(b.work()) < step
            }
            (a, b) => a == b,
        }
    }

    /// What a load says that others act on at once: the configuration in force, and strain.
    pub(crate) fn urgent_part(&self) -> Option<(ConfigVersion, bool)> {
        match self {
            Item::Load(load) => Some((load.config_version, load.overloaded)),
            _ => None,
        }
    }

    pub(crate) fn pace(&self) -> Pace {
        match self {
            Item::Config(_) | Item::Leaving(_) | Item::Suspect(_) | Item::Group(_) => Pace::Urgent,
            Item::Health(v) if !v.serving => Pace::Urgent,
            Item::Status(s) if s.leaving => Pace::Urgent,
            Item::Health(_) | Item::Status(_) => Pace::Normal,
            Item::Load(_) | Item::GroupLoad(_) | Item::Usage(_) => Pace::Slow,
        }
    }
}
