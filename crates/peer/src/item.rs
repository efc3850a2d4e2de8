//! The items of soft state that nodes exchange, and their keys.

use std::time::{Duration, Instant};

use eelgrassmill_base::{
    ConfigVersion, Epoch, FailureDomain, GroupId, HostId, Incarnation, NodeId, Region, RowVersion,
    SchedulerScope, ServiceName, TenantId, value,
};
use smol_str::SmolStr;

value! {
    /// An item of soft state, owned by the node that publishes it.
    pub enum Item {
        /// An accepted configuration.
        Config(ConfigAnnouncement),
        /// A watcher's report on a group's health.
        Health(HealthReport),
        /// The node's addresses and state.
        Status(NodeStatus),
        /// The node's load.
        Load(NodeLoad),
        /// A target that takes no new requests.
        Leaving(LeavingTarget),
        /// A request suspected of crashing targets.
        Suspect(Suspect),
        /// The load of a group.
        GroupLoad(GroupLoad),
        /// What a tenant has used at the node.
        Usage(UsageReport),
        /// A group's row, published by its planner.
        Group(GroupRecord),
        /// A limit that a target named.
        TargetLimit(TargetLimit),
        /// The demand for a model at one of its schedulers.
        ModelDemand(ModelDemand),
    }

    /// The demand for a model as one of its schedulers measured it, a low-priority item. Numbers
    /// are in thousandths.
    pub struct ModelDemand {
        /// The scheduler's requests.
        pub scope: SchedulerScope,
        /// Seconds from the node's start to the measurement. Since it changes, the item is
        /// published again though the demand is the same, and its age is that of the measurement.
        pub measured_s: u32,
        /// Milliseconds from the scheduler's last request to the measurement.
        pub idle_ms: u32,
        /// Slots of the scheduler's heads.
        pub slots: u64,
        /// Slots in use.
        pub used: u64,
        /// Slots that all requests would hold if none had to wait or was rejected.
        pub wanted: u64,
        /// Highest number of wanted slots in the last seconds.
        pub peak: u64,
        /// Requests per second that got no slot.
        pub rejected_per_second: u64,
        /// Prompt tokens per second.
        pub prompt_tokens_per_second: u64,
    }

    /// What a target's answer said of the requests that it takes.
    pub struct TargetLimit {
        /// Its host.
        pub host: HostId,
        /// Millionths of a request per second that it takes from all nodes together; `None` if it
        /// names no limit any more.
        pub limit_millionths: Option<u64>,
        /// Start time of the target in milliseconds if that start of it said that it leaves.
        pub leaving_start_ms: Option<u64>,
        /// Time from the answer until this was published.
        pub age: Duration,
    }

    /// Announces an accepted configuration; its text is fetched on demand.
    pub struct ConfigAnnouncement {
        /// Its version.
        pub version: ConfigVersion,
        /// SHA-256 of its text in hexadecimal digits.
        pub checksum: SmolStr,
    }

    /// A watcher's report on a group's health.
    pub struct HealthReport {
        /// The group.
        pub group: GroupId,
        /// The epoch that was checked.
        pub epoch: Epoch,
        /// Whether the group may receive requests.
        pub serving: bool,
        /// The watcher's code for the reason, defined by the group policy.
        pub code: u32,
        /// The reason as text, at most [`MAX_TEXT_BYTES`] bytes.
        pub reason: SmolStr,
    }

    /// A node's addresses and state.
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
        /// Whether it is shutting down.
        pub leaving: bool,
        /// CPU that it may use, in thousandths of a core; 0 if unknown.
        pub cpu_millicores: u32,
    }

    /// A node's load, a low-priority item.
    pub struct NodeLoad {
        /// Version of the active configuration; 0 for none.
        pub config_version: ConfigVersion,
        /// Load in thousandths of the capacity.
        pub load_permille: u32,
        /// Whether it lacks CPU for its work.
        pub overloaded: bool,
    }

    /// A target that takes no new requests.
    pub struct LeavingTarget {
        /// Its host.
        pub host: HostId,
        /// The incarnation of the host that reported it; 0 if the host list did.
        pub incarnation: Incarnation,
    }

    /// A request suspected of crashing targets.
    pub struct Suspect {
        /// Fingerprint of the request.
        pub fingerprint: SmolStr,
        /// Opaque record of it, at most [`MAX_SUSPECT_RECORD_BYTES`] bytes.
        pub record: Vec<u8>,
    }

    /// The load of a group, a low-priority item.
    pub struct GroupLoad {
        /// The group.
        pub group: GroupId,
        /// The epoch it was measured in.
        pub epoch: Epoch,
        /// Running requests.
        pub running: u32,
        /// Requests queued at the group.
        pub waiting: u32,
        /// Requests of all nodes that this node, as the group's scheduler, has assigned to it.
        pub assigned: u32,
        /// Whether it is ejected since it rejects all requests.
        pub ejected: bool,
    }

    /// A group's row as its planner wrote it.
    pub struct GroupRecord {
        /// The group.
        pub group: GroupId,
        /// The row's version in the table.
        pub version: RowVersion,
        /// Opaque row with related data, at most [`MAX_GROUP_RECORD_BYTES`] bytes.
        pub record: Vec<u8>,
    }

    /// What one tenant has used of a service at the node, a low-priority item.
    pub struct UsageReport {
        /// The service.
        pub service: ServiceName,
        /// The tenant.
        pub tenant: TenantId,
        /// The tenant's weight.
        pub weight: u32,
        /// Cumulative tokens since the node's start, so that lost or duplicate reports do no harm.
        pub tokens: i64,
    }

    /// A change of an origin's state that this node has received.
    pub struct Update {
        /// The node whose state changed.
        pub origin: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The change.
        pub change: Change,
    }

    /// A change of an origin's state.
    pub enum Change {
        /// An item was added or changed.
        Put {
            /// The item.
            item: Item,
            /// The origin's sequence number of the change.
            sequence: u64,
            /// When it was observed, on this node's clock; never later than the actual time.
            as_of: Instant,
            /// Age at which it expires.
            ttl: Option<Duration>,
        },
        /// An item was removed.
        Removed(ItemKey),
        /// All items held of this origin were still valid at this instant.
        Confirmed(Instant),
        /// The origin expired or has restarted; all its former items are void.
        Forgotten,
    }
}

/// Identifies an item of an origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// The announced configuration.
    Config,
    /// The health report on a group.
    Health(GroupId),
    /// The node's status.
    Status,
    /// The node's load.
    Load,
    /// A leaving target.
    Leaving(HostId),
    /// A suspect, by fingerprint.
    Suspect(SmolStr),
    /// The load of a group.
    GroupLoad(GroupId),
    /// What a tenant has used of a service.
    Usage(ServiceName, TenantId),
    /// A group's row.
    Group(GroupId),
    /// The limit of a target.
    TargetLimit(HostId),
    /// The demand for a model.
    ModelDemand(SchedulerScope),
}

/// Longest name or reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;
/// Longest record of a group, in bytes: a row with some tens of members and their addresses.
pub const MAX_GROUP_RECORD_BYTES: usize = 16 * 1024;
/// Longest record of a suspect, in bytes.
pub const MAX_SUSPECT_RECORD_BYTES: usize = 2048;

/// A node's load is published again after a change by this many thousandths.
const MIN_LOAD_CHANGE_PERMILLE: u32 = 50;

/// A model's demand is published again at once after a change by this part, and by this many
/// thousandths: a slot or a request per second.
const MIN_DEMAND_CHANGE_RATIO: u64 = 16;
const MIN_DEMAND_CHANGE: u64 = 1000;
/// The same for prompt tokens, of which a request has some hundred.
const MIN_TOKENS_CHANGE: u64 = 1_000_000;

/// How soon a change must be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// At the low-priority interval of some seconds.
    Low,
    /// With the next tick.
    Normal,
    /// With the next flush.
    Urgent,
}

impl GroupLoad {
    /// Whether it differs from the default load of an unreported group.
    pub fn is_reportable(&self) -> bool {
        self.total_requests() > 0 || self.ejected
    }

    fn total_requests(&self) -> u32 {
        let own = self.running.saturating_add(self.waiting);
        own.saturating_add(self.assigned)
    }
}

impl ModelDemand {
    fn is_similar_to(&self, new: &ModelDemand) -> bool {
        let is_close = |a: u64, b: u64, min: u64| {
            let step = (a / MIN_DEMAND_CHANGE_RATIO).max(min);
            a.abs_diff(b) < step
        };
        let pairs = [
            (self.slots, new.slots),
            (self.used, new.used),
            (self.wanted, new.wanted),
            (self.peak, new.peak),
            (self.rejected_per_second, new.rejected_per_second),
        ];
        let tokens = (self.prompt_tokens_per_second, new.prompt_tokens_per_second);
        self.scope == new.scope
            && self.measured_s == new.measured_s
            && pairs
                .iter()
                .all(|(a, b)| is_close(*a, *b, MIN_DEMAND_CHANGE))
            && is_close(tokens.0, tokens.1, MIN_TOKENS_CHANGE)
    }
}

impl Item {
    /// The item's key.
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
            Item::TargetLimit(l) => ItemKey::TargetLimit(l.host.clone()),
            Item::ModelDemand(d) => ItemKey::ModelDemand(d.scope.clone()),
        }
    }

    /// Whether `new` is too similar to be published in place of this item. Loads change
    /// all the time, and each published change costs every node some bytes.
    pub(crate) fn is_similar_to(&self, new: &Item) -> bool {
        match (self, new) {
            (Item::Load(a), Item::Load(b)) => {
                a.config_version == b.config_version
                    && a.overloaded == b.overloaded
                    && a.load_permille.abs_diff(b.load_permille) < MIN_LOAD_CHANGE_PERMILLE
            }
            (Item::GroupLoad(a), Item::GroupLoad(b)) => {
                let step = (a.total_requests() / 4).max(1);
                let same = a.epoch == b.epoch && a.ejected == b.ejected;
                same && a.total_requests().abs_diff(b.total_requests()) < step
            }
            (Item::ModelDemand(a), Item::ModelDemand(b)) => a.is_similar_to(b),
            (a, b) => a == b,
        }
    }

    /// The part of a load that others act on at once: configuration version and overload.
    pub(crate) fn urgent_part(&self) -> Option<(ConfigVersion, bool)> {
        match self {
            Item::Load(load) => Some((load.config_version, load.overloaded)),
            _ => None,
        }
    }

    pub(crate) fn priority(&self) -> Priority {
        match self {
            Item::Config(_) | Item::Leaving(_) | Item::Suspect(_) | Item::Group(_) => {
                Priority::Urgent
            }
            Item::Health(v) if !v.serving => Priority::Urgent,
            Item::Status(s) if s.leaving => Priority::Urgent,
            Item::Health(_) | Item::Status(_) | Item::TargetLimit(_) => Priority::Normal,
            Item::Load(_) | Item::GroupLoad(_) | Item::Usage(_) | Item::ModelDemand(_) => {
                Priority::Low
            }
        }
    }
}
