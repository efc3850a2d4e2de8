//! What the admin API shows, as JSON values.

use eelgrassmill_base::{
    ConfigVersion, Epoch, FabricDomain, FailureDomain, Fence, GroupId, HostId, HostState,
    Incarnation, ModelVersion, NodeId, Region, RequestId, ServiceName, SubmitId, TargetKind,
    TenantId, value,
};
use eelgrassmill_config::Conflict;
use smol_str::SmolStr;

value! { wire
    /// One accepted version.
    pub struct ConfigVersionInfo {
        /// The version; 0 when nothing was accepted yet.
        pub version: ConfigVersion,
        /// Who submitted it.
        pub author: SmolStr,
        /// The submission.
        pub submit_id: SubmitId,
        /// Checksum of the text.
        pub checksum: SmolStr,
        /// The text; left out in lists.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub text: Option<String>,
    }

    /// What became of a submission.
    #[serde(rename_all = "kebab-case", tag = "result")]
    pub enum SubmitReply {
        /// It is this version now.
        Accepted {
            /// The version.
            version: ConfigVersion,
        },
        /// A repeat of a submission that is this version already.
        AlreadyAccepted {
            /// The version.
            version: ConfigVersion,
        },
        /// Others were accepted since the version it started from.
        Conflict {
            /// Who, and what they changed.
            conflict: Conflict,
        },
        /// The text is wrong.
        Invalid {
            /// Each mistake as `file:line: what is wrong, what to write`.
            errors: Vec<String>,
        },
    }

    /// Where the accepted version is in force.
    pub struct ConfigStatus {
        /// The accepted version as far as this node knows.
        pub accepted: ConfigVersion,
        /// Each node with what it has in force.
        pub nodes: Vec<NodeConfig>,
    }

    /// What one node has in force.
    pub struct NodeConfig {
        /// The node.
        pub node: NodeId,
        /// Its version; `None` when it isn't known.
        pub version: Option<ConfigVersion>,
        /// Checksum of its text.
        pub checksum: SmolStr,
        /// Why it is behind, when it is.
        pub behind: Option<SmolStr>,
    }

    /// One model group.
    pub struct GroupInfo {
        /// Its name.
        pub group: GroupId,
        /// Its service.
        pub service: ServiceName,
        /// Its epoch.
        pub epoch: Epoch,
        /// The version it serves.
        pub version: ModelVersion,
        /// Its members, the lead first.
        pub members: Vec<HostId>,
        /// Whether every member is there, by fresh evidence.
        pub whole: bool,
        /// Whether it serves.
        pub serving: bool,
        /// Why it doesn't, when it doesn't.
        pub reason: Option<SmolStr>,
    }

    /// One host.
    pub struct HostInfo {
        /// Its name.
        pub host: HostId,
        /// `IP:PORT` of its target.
        pub address: SmolStr,
        /// What it runs.
        pub kind: TargetKind,
        /// Its region.
        pub region: Region,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its fabric domain.
        pub fabric_domain: FabricDomain,
        /// How many accelerators it has.
        pub accelerators: u32,
        /// What the host list says.
        pub state: HostState,
        /// The group it is taken for.
        pub group: Option<GroupId>,
        /// That group's epoch; 0 for none.
        pub epoch: Epoch,
        /// The highest fencing number given for it.
        pub fence: Fence,
        /// Whether the text asks to empty it.
        pub drain: bool,
    }

    /// One node.
    pub struct NodeInfo {
        /// Its name.
        pub node: NodeId,
        /// Which start of it.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: Region,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Where callers reach it.
        pub callers: SmolStr,
        /// Whether it is heard from.
        pub alive: bool,
        /// Whether it stops or the text sends callers away from it.
        pub draining: bool,
        /// Whether it holds its lease, as far as this node knows.
        pub lease: bool,
        /// Whether it decides the formations of its region.
        pub planner: bool,
    }

    /// One tenant.
    pub struct TenantInfo {
        /// Its name.
        pub tenant: TenantId,
        /// Its weight in the text.
        pub weight: u32,
        /// Its share of all weights, in thousandths.
        pub share_permille: u32,
        /// Its requests running now.
        pub running: u64,
        /// Its requests waiting now.
        pub queued: u64,
        /// Its requests taken in so far.
        pub admitted: u64,
        /// Its requests refused so far.
        pub refused: u64,
    }

    /// A request that targets crashed with.
    pub struct SuspectInfo {
        /// What tells requests alike, in hexadecimal digits.
        pub fingerprint: SmolStr,
        /// The last request of that kind.
        pub request: RequestId,
        /// Crashes that it was running in.
        pub crashes: u32,
        /// Whether its like are refused.
        pub named: bool,
    }
}
