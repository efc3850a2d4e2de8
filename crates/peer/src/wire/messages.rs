//! Protocol messages. A field number never changes its meaning.

/// A batch of state from one node to another.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Batch {
    /// The sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// When it was built: milliseconds since the sender's start, on its monotonic clock.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
    /// Changed state, one entry per origin.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<OriginUpdate>,
    /// Fingerprints of confirmed states.
    #[prost(fixed32, repeated, tag = "5")]
    pub confirmed: Vec<u32>,
    /// Ages of these confirmations in units of 20 ms, rounded up.
    #[prost(uint32, repeated, tag = "6")]
    pub confirmed_age: Vec<u32>,
    /// Fingerprints of states that the sender requests.
    #[prost(fixed32, repeated, tag = "7")]
    pub want: Vec<u32>,
    /// Fingerprints of the sender's states that lack a recent confirmation.
    #[prost(fixed32, repeated, tag = "8")]
    pub stale: Vec<u32>,
    /// Whether `have` is complete and the receiver is to send all states not in it.
    #[prost(bool, tag = "9")]
    pub sync: bool,
    /// Fingerprints of all states that the sender has.
    #[prost(fixed32, repeated, tag = "10")]
    pub have: Vec<u32>,
    /// Whether states were left out due to the batch size limit.
    #[prost(bool, tag = "11")]
    pub more: bool,
    /// The sender's hybrid logical clock: milliseconds since 1970.
    #[prost(uint64, tag = "12")]
    pub hlc_wall_ms: u64,
    /// Its counter within one millisecond.
    #[prost(uint32, tag = "13")]
    pub hlc_counter: u32,
}

/// An update of one origin's state.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct OriginUpdate {
    /// The node whose state it is.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// `items` has all changes after this sequence number; the full state at 0.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// The origin's last sequence number.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Age of the origin's last confirmation in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// The changed items.
    #[prost(message, repeated, tag = "6")]
    pub items: Vec<Item>,
}

/// An item of soft state.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Item {
    /// The origin's sequence number at its last change.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Time since it was observed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Age at which it expires, in milliseconds; at 0 it lives as long as its origin.
    #[prost(uint64, tag = "3")]
    pub ttl_ms: u64,
    /// The value.
    #[prost(oneof = "Kind", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub kind: Option<Kind>,
}

/// The value of an item, by kind.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Kind {
    /// An accepted configuration.
    #[prost(message, tag = "4")]
    Config(ConfigAnnouncement),
    /// A watcher's report on a group's health.
    #[prost(message, tag = "5")]
    Health(HealthReport),
    /// A node's addresses and state.
    #[prost(message, tag = "6")]
    Status(NodeStatus),
    /// A node's load.
    #[prost(message, tag = "7")]
    Load(NodeLoad),
    /// A target that takes no new requests.
    #[prost(message, tag = "8")]
    Leaving(LeavingTarget),
    /// A request suspected of crashing targets.
    #[prost(message, tag = "9")]
    Suspect(Suspect),
    /// The load of a group.
    #[prost(message, tag = "10")]
    GroupLoad(GroupLoad),
    /// What a tenant has used.
    #[prost(message, tag = "12")]
    Usage(UsageReport),
    /// A group's row.
    #[prost(message, tag = "13")]
    Group(GroupRecord),
    /// A limit that a target named.
    #[prost(message, tag = "14")]
    TargetLimit(TargetLimit),
    /// The demand for a model at one of its schedulers.
    #[prost(message, tag = "15")]
    ModelDemand(ModelDemand),
    /// The key of a removed item.
    #[prost(message, tag = "11")]
    Removed(Removed),
}

/// What a target's answer said of the requests that it takes.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct TargetLimit {
    /// Its host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Millionths of a request per second; absent if it names no limit any more.
    #[prost(uint64, optional, tag = "2")]
    pub limit_millionths: Option<u64>,
    /// Time since the answer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Start time of the target in milliseconds if that start of it said that it leaves.
    #[prost(uint64, optional, tag = "4")]
    pub leaving_start_ms: Option<u64>,
}

/// The demand for a model at one of its schedulers. Numbers are in thousandths.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ModelDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The failure domain of the scheduler's heads; empty for all.
    #[prost(string, tag = "3")]
    pub head_domain: String,
    /// Seconds from the node's start to the measurement.
    #[prost(uint32, tag = "4")]
    pub measured_s: u32,
    /// Milliseconds from the scheduler's last request to the measurement.
    #[prost(uint32, tag = "5")]
    pub idle_ms: u32,
    /// Slots of the scheduler's heads.
    #[prost(uint64, tag = "6")]
    pub slots: u64,
    /// Slots in use.
    #[prost(uint64, tag = "7")]
    pub used: u64,
    /// Slots that all requests would hold if none had to wait or was rejected.
    #[prost(uint64, tag = "8")]
    pub wanted: u64,
    /// Highest number of wanted slots in the last seconds.
    #[prost(uint64, tag = "9")]
    pub peak: u64,
    /// Requests per second that got no slot.
    #[prost(uint64, tag = "10")]
    pub rejected_per_second: u64,
    /// Prompt tokens per second.
    #[prost(uint64, tag = "11")]
    pub prompt_tokens_per_second: u64,
}

/// An accepted configuration.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ConfigAnnouncement {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of its text.
    #[prost(string, tag = "2")]
    pub checksum: String,
}

/// A watcher's report on a group's health.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct HealthReport {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The epoch that was checked.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether the group may receive requests.
    #[prost(bool, tag = "3")]
    pub serving: bool,
    /// The watcher's code for the reason.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// The reason as text.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// A node's addresses and state.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NodeStatus {
    /// `IP:PORT` for other nodes.
    #[prost(string, tag = "1")]
    pub peer_address: String,
    /// `IP:PORT` for callers.
    #[prost(string, tag = "2")]
    pub entry_address: String,
    /// `IP:PORT` for operators.
    #[prost(string, tag = "3")]
    pub admin_address: String,
    /// Its failure domain.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// Its region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Whether it is shutting down.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// CPU that it may use, in thousandths of a core; 0 if unknown.
    #[prost(uint32, tag = "7")]
    pub cpu_millicores: u32,
}

/// A node's load.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NodeLoad {
    /// Version of the active configuration.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Load in thousandths of the capacity.
    #[prost(uint32, tag = "2")]
    pub load_permille: u32,
    /// Whether it lacks CPU for its work.
    #[prost(bool, tag = "3")]
    pub overloaded: bool,
}

/// A target that takes no new requests.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LeavingTarget {
    /// Its host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The incarnation of the host that reported it; 0 if the host list did.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A request suspected of crashing targets.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Suspect {
    /// Fingerprint of the request.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// Opaque record of it.
    #[prost(bytes = "vec", tag = "2")]
    pub record: Vec<u8>,
}

/// A group's row as its planner wrote it.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct GroupRecord {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The row's version in the table.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Opaque row with related data.
    #[prost(bytes = "vec", tag = "3")]
    pub record: Vec<u8>,
}

/// What one tenant has used of a service at a node.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct UsageReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The tenant.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// The tenant's weight.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// Cumulative tokens since the node's start.
    #[prost(sint64, tag = "4")]
    pub tokens: i64,
}

/// The load of a group.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct GroupLoad {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The epoch it was measured in.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests queued at the group.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Requests of all nodes that the node, as the group's scheduler, has assigned to it.
    #[prost(uint32, tag = "5")]
    pub assigned: u32,
    /// Whether it is ejected since it rejects all requests.
    #[prost(bool, tag = "6")]
    pub ejected: bool,
}

/// The key of a removed item.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Removed {
    /// The tag of its kind in [`Kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Its name within the kind.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// Requests the accepted configuration.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct FetchConfigRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The version that the caller has; 0 for none.
    #[prost(uint64, tag = "2")]
    pub have_version: u64,
    /// Its checksum.
    #[prost(string, tag = "3")]
    pub have_checksum: String,
}

/// The accepted configuration at the replying node.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct FetchConfigReply {
    /// Its version; 0 if the node has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of the full text.
    #[prost(string, tag = "2")]
    pub checksum: String,
    /// Who submitted it.
    #[prost(string, tag = "3")]
    pub author: String,
    /// The submitter's id for the submission.
    #[prost(string, tag = "4")]
    pub submit_id: String,
    /// The text.
    #[prost(oneof = "Body", tags = "5, 6, 7")]
    pub body: Option<Body>,
}

/// The encodings of a text.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub(crate) enum Body {
    /// The full text.
    #[prost(string, tag = "5")]
    Full(String),
    /// The difference from the caller's text.
    #[prost(message, tag = "6")]
    Difference(TextDifference),
    /// The caller already has it.
    #[prost(bool, tag = "7")]
    Unchanged(bool),
}

/// A text as a difference from a base: prefix and suffix kept, the middle replaced.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct TextDifference {
    /// Bytes of the base kept at the start.
    #[prost(uint64, tag = "1")]
    pub keep_head: u64,
    /// Bytes of the base kept at the end.
    #[prost(uint64, tag = "2")]
    pub keep_tail: u64,
    /// The text between them.
    #[prost(string, tag = "3")]
    pub middle: String,
}

/// Requests events.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct TimelineRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The query, in the timeline's encoding.
    #[prost(bytes = "vec", tag = "2")]
    pub query: Vec<u8>,
}

/// Events of one node.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct TimelineReply {
    /// The events, in the timeline's encoding.
    #[prost(bytes = "vec", tag = "1")]
    pub events: Vec<u8>,
}

/// Requests slots from a watcher.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// One for each group that it can use.
    #[prost(message, repeated, tag = "3")]
    pub demands: Vec<SlotDemand>,
}

/// An entry host's demand for slots of a group.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SlotDemand {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Its normal requests running there.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Its normal requests waiting for a slot.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Its urgent requests waiting for a slot.
    #[prost(uint32, tag = "4")]
    pub urgent_waiting: u32,
    /// The epoch that the demand is for.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// Sequence number of the entry host's demands for the group.
    #[prost(uint64, tag = "6")]
    pub seq: u64,
    /// `seq` of the last demand whose grant the entry host has accepted; 0 for none.
    #[prost(uint64, tag = "7")]
    pub held_seq: u64,
    /// Its urgent requests running there.
    #[prost(uint32, tag = "8")]
    pub urgent_running: u32,
}

/// A watcher's reply.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaReply {
    /// One for each group of which slots are granted.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<SlotGrant>,
}

/// Slots of a group granted to an entry host for a limited time.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SlotGrant {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The epoch that the grant is for.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Slots for any requests.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Additional slots for urgent requests only.
    #[prost(uint32, tag = "4")]
    pub urgent_slots: u32,
    /// Validity in milliseconds, from when the caller sent its request.
    #[prost(uint64, tag = "5")]
    pub ttl_ms: u64,
    /// `seq` of the demand that it answers.
    #[prost(uint64, tag = "6")]
    pub seq: u64,
}

/// Requests the changes of a list kept by the platform.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ListRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The list's name.
    #[prost(string, tag = "2")]
    pub list: String,
    /// The version that the caller has; 0 for none.
    #[prost(uint64, tag = "3")]
    pub since: u64,
    /// Longest wait for a change, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// The era of the store in which `since` was given out; absent from older builds.
    #[prost(uint64, optional, tag = "5")]
    pub era: Option<u64>,
}

/// Changes of a list.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ListReply {
    /// The list's version at the replying node; 0 if it doesn't have the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Time since this version was known to be current, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Whether the replying node itself gets no replies from the platform.
    #[prost(bool, tag = "3")]
    pub platform_unreachable: bool,
    /// Whether the changes are a snapshot of the full list.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// The changes in order, in the encoding of the calling crate.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub changes: Vec<Vec<u8>>,
    /// The era of the store in which `version` was given out; absent from older builds.
    #[prost(uint64, optional, tag = "6")]
    pub era: Option<u64>,
    /// Whether the list is that of an earlier era but for what must be newer.
    #[prost(bool, tag = "7")]
    pub is_provisional: bool,
}

/// Reports slot events to a model's scheduler, and may request a slot.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ScheduleRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Failure domain of the head hosts to schedule; empty for all.
    #[prost(string, tag = "5")]
    pub head_domain: String,
    /// A request that needs a slot.
    #[prost(message, optional, tag = "6")]
    pub slot_request: Option<SlotRequest>,
    /// Events of requests that have or had a slot, in order.
    #[prost(message, repeated, tag = "7")]
    pub slot_events: Vec<SlotEvent>,
    /// Replicas of the model whose members give the calling node no answer.
    #[prost(string, repeated, tag = "8")]
    pub suspected_replicas: Vec<String>,
}

/// A request that needs a slot.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SlotRequest {
    /// Unique at the calling node. A waiting request is sent again with the same number.
    #[prost(uint64, tag = "1")]
    pub request_number: u64,
    /// Prompt tokens.
    #[prost(uint64, tag = "2")]
    pub prompt_tokens: u64,
    /// Whether it resumes after its replica was lost.
    #[prost(bool, tag = "3")]
    pub resumed: bool,
    /// 0 is the most urgent.
    #[prost(uint32, tag = "4")]
    pub urgency: u32,
    /// Time left to meet its latency objective, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub slo_remaining_ms: u32,
    /// Longest total wait for a slot, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub max_wait_ms: u32,
    /// Longest pause within a stream that meets its latency objective, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub max_pause_ms: u32,
    /// Hosts to avoid if there is another.
    #[prost(string, repeated, tag = "8")]
    pub avoid_hosts: Vec<String>,
    /// Longest wait for this reply, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub wait_ms: u32,
    /// Hosts that must not get it.
    #[prost(string, repeated, tag = "10")]
    pub excluded_hosts: Vec<String>,
    /// The customer; empty if unknown.
    #[prost(string, tag = "11")]
    pub customer: String,
    /// Whether the request was rejected before.
    #[prost(bool, tag = "12")]
    pub returning: bool,
    /// Whether a scheduler has counted it as demand before: its caller sends it again, or it needs
    /// another slot.
    #[prost(bool, tag = "13")]
    pub repeated: bool,
}

/// A change of a slot.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SlotEvent {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub request_number: u64,
    /// The kind of event.
    #[prost(enumeration = "SlotEventKind", tag = "2")]
    pub event: i32,
}

/// The kinds of slot events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ::prost::Enumeration)]
#[repr(i32)]
pub enum SlotEventKind {
    /// The request ended or was cancelled.
    Released = 0,
    /// Its first event was received.
    Started = 1,
    /// The head host rejected it.
    Rejected = 2,
    /// The head host failed before its first event.
    Failed = 3,
}

/// A scheduler's reply.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ScheduleReply {
    /// The decision.
    #[prost(enumeration = "SlotDecision", tag = "1")]
    pub decision: i32,
    /// The replica to whose head host to send the request.
    #[prost(string, tag = "2")]
    pub replica: String,
    /// The replica's epoch.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// For [`SlotDecision::Limited`] and [`SlotDecision::Full`], time until the request can be
    /// served, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// The decisions on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ::prost::Enumeration)]
#[repr(i32)]
pub enum SlotDecision {
    /// None: this node has no such scheduler, or no slot was requested.
    Unknown = 0,
    /// Granted: send the request to the replica's head host.
    Granted = 1,
    /// Still waiting: send the slot request again.
    Waiting = 2,
    /// No slot became free in time.
    Full = 3,
    /// The limits that the head hosts name are used up.
    Limited = 4,
}
