//! Messages as they travel. Field numbers never change their meaning.

/// What one node hands to another at one moment.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Batch {
    /// The sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The sender's start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// When it was put together: milliseconds since the sender's start, on its monotonic clock.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
    /// Changed state, one entry for each origin.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<OriginUpdate>,
    /// Fingerprints of states that were confirmed.
    #[prost(fixed32, repeated, tag = "5")]
    pub confirmed: Vec<u32>,
    /// In the same order, how long ago, in units of 20 ms, rounded up.
    #[prost(uint32, repeated, tag = "6")]
    pub confirmed_age: Vec<u32>,
    /// Fingerprints of states that the sender was told of and does not have.
    #[prost(fixed32, repeated, tag = "7")]
    pub want: Vec<u32>,
    /// Fingerprints of the sender's states that nobody has confirmed to it for too long.
    #[prost(fixed32, repeated, tag = "8")]
    pub stale: Vec<u32>,
    /// Whether `have` is a full account, to be answered with all that is not in it.
    #[prost(bool, tag = "9")]
    pub sync: bool,
    /// Fingerprints of every state that the sender has.
    #[prost(fixed32, repeated, tag = "10")]
    pub have: Vec<u32>,
    /// Whether the limit of a batch cut this one short.
    #[prost(bool, tag = "11")]
    pub more: bool,
    /// HLC timestamp of the sender's events: milliseconds since 1970.
    #[prost(uint64, tag = "12")]
    pub hlc_wall_ms: u64,
    /// Counts stamps within one millisecond.
    #[prost(uint32, tag = "13")]
    pub hlc_counter: u32,
}

/// What changed at one origin.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct OriginUpdate {
    /// The node whose state it is.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// Its start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The items are all changes after this sequence number; at 0 they are the whole state.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// The origin's last sequence number.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// How long ago the origin confirmed its state, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// The changes.
    #[prost(message, repeated, tag = "6")]
    pub items: Vec<Item>,
}

/// One item of soft state.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Item {
    /// The origin's sequence number at its last change.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// How long ago it was observed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// It is dropped at this age, in milliseconds; at 0 it stays as long as its origin.
    #[prost(uint64, tag = "3")]
    pub ttl_ms: u64,
    /// What it is.
    #[prost(oneof = "Kind", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub kind: Option<Kind>,
}

/// The kinds of items.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Kind {
    /// A configuration that was accepted.
    #[prost(message, tag = "4")]
    Config(ConfigAnnouncement),
    /// What a watcher found of a group.
    #[prost(message, tag = "5")]
    Health(HealthReport),
    /// What a node is.
    #[prost(message, tag = "6")]
    Status(NodeStatus),
    /// What changes often at a node.
    #[prost(message, tag = "7")]
    Load(NodeLoad),
    /// A target that takes no new work.
    #[prost(message, tag = "8")]
    Leaving(LeavingTarget),
    /// A request under suspicion.
    #[prost(message, tag = "9")]
    Suspect(Suspect),
    /// The load of a group.
    #[prost(message, tag = "10")]
    GroupLoad(GroupLoad),
    /// What a tenant has used.
    #[prost(message, tag = "12")]
    Usage(TenantUsage),
    /// A group's row.
    #[prost(message, tag = "13")]
    Group(GroupRecord),
    /// The key of an item that is gone.
    #[prost(message, tag = "11")]
    Removed(Removed),
}

/// A configuration that was accepted.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ConfigAnnouncement {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of its text.
    #[prost(string, tag = "2")]
    pub checksum: String,
}

/// What a watcher found of a group.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct HealthReport {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The epoch it was found in.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether the group may serve.
    #[prost(bool, tag = "3")]
    pub serving: bool,
    /// The watcher's code for the reason.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// The reason in words.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// What a node is.
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
    /// Whether it is about to stop.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Processor that it may use, in thousandths of a core; 0 where it doesn't say.
    #[prost(uint32, tag = "7")]
    pub cpu_millicores: u32,
}

/// What changes often at a node.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NodeLoad {
    /// The configuration in force there.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// How full it is, in thousandths.
    #[prost(uint32, tag = "2")]
    pub load_permille: u32,
    /// Whether it has too little processor for what it does.
    #[prost(bool, tag = "3")]
    pub overloaded: bool,
}

/// A target that takes no new work.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LeavingTarget {
    /// Its host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The start of the host that said so; 0 where the host list said it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A request under suspicion of killing targets.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Suspect {
    /// Fingerprint of the request.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// What is known of it.
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
    /// The row and what else is told with it.
    #[prost(bytes = "vec", tag = "3")]
    pub record: Vec<u8>,
}

/// What one tenant has used of a service at a node.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct TenantUsage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The tenant.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// The tenant's weight.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// Tokens since the node's start.
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
    /// Requests that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait at the group.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Requests of all nodes that the node, as the group's scheduler, has assigned to it.
    #[prost(uint32, tag = "5")]
    pub assigned: u32,
    /// Whether it rejects all requests.
    #[prost(bool, tag = "6")]
    pub ejected: bool,
}

/// The key of an item that is gone.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Removed {
    /// The tag of its kind in [`Kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Its name within the kind.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// Asks for the accepted configuration.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct FetchConfigRequest {
    /// The asking node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The version at hand; 0 for none.
    #[prost(uint64, tag = "2")]
    pub have_version: u64,
    /// Its checksum.
    #[prost(string, tag = "3")]
    pub have_checksum: String,
}

/// The accepted configuration as the answering node has it.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct FetchConfigReply {
    /// Its version; 0 when the node has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of the whole text.
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

/// How a text travels.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub(crate) enum Body {
    /// As it is.
    #[prost(string, tag = "5")]
    Whole(String),
    /// As a change of the text at hand.
    #[prost(message, tag = "6")]
    Difference(TextDifference),
    /// Not at all, since the asker has it.
    #[prost(bool, tag = "7")]
    Unchanged(bool),
}

/// A text as a change of another: head and tail kept, the middle replaced.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct TextDifference {
    /// Bytes kept at the start.
    #[prost(uint64, tag = "1")]
    pub keep_head: u64,
    /// Bytes kept at the end.
    #[prost(uint64, tag = "2")]
    pub keep_tail: u64,
    /// What stands between them.
    #[prost(string, tag = "3")]
    pub middle: String,
}

/// Asks for events.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct TimelineRequest {
    /// The asking node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The query; its form is the time line's.
    #[prost(bytes = "vec", tag = "2")]
    pub query: Vec<u8>,
}

/// Events of one node.
#[derive(Clone, PartialEq, ::prost::Message)]
pub(crate) struct TimelineReply {
    /// The events; their form is the time line's.
    #[prost(bytes = "vec", tag = "1")]
    pub events: Vec<u8>,
}

/// Asks a watcher for slots.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaRequest {
    /// The asking node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Its start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// One for each group that it could use.
    #[prost(message, repeated, tag = "3")]
    pub demands: Vec<QuotaDemand>,
}

/// What an entry could use of a group.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaDemand {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Requests that it runs there.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait for it.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Urgent requests that wait, besides.
    #[prost(uint32, tag = "4")]
    pub urgent_waiting: u32,
    /// The epoch that the demand is for.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// Rises with every demand of the entry for the group.
    #[prost(uint64, tag = "6")]
    pub seq: u64,
    /// The newest demand whose grant the entry has taken, 0 for none.
    #[prost(uint64, tag = "7")]
    pub accepted_seq: u64,
    /// Urgent requests that it runs there, besides.
    #[prost(uint32, tag = "8")]
    pub urgent_running: u32,
}

/// A watcher's answer.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaReply {
    /// One for each group that it grants slots of.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<QuotaGrant>,
}

/// What an entry may use of a group for a while.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaGrant {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The epoch that the grant is for.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Requests that may run at a time.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Slots beside these for urgent requests only.
    #[prost(uint32, tag = "4")]
    pub urgent_slots: u32,
    /// How long it holds, in milliseconds from when the asker sent its question.
    #[prost(uint64, tag = "5")]
    pub ttl_ms: u64,
    /// The demand that it answers.
    #[prost(uint64, tag = "6")]
    pub seq: u64,
}

/// Asks for the changes of a list that the platform keeps.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ListRequest {
    /// The asking node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The list's name.
    #[prost(string, tag = "2")]
    pub list: String,
    /// The version up to which the asker knows it; 0 for nothing.
    #[prost(uint64, tag = "3")]
    pub since: u64,
    /// How long to wait for a change, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
}

/// Changes of a list.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ListReply {
    /// The list's version at the answering node; 0 where it doesn't know the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// How long ago the list is known to have been like this, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Whether the answering node gets no answers from the platform itself.
    #[prost(bool, tag = "3")]
    pub platform_unreachable: bool,
    /// Whether the changes are the whole list.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// The changes in order, in the spelling of the nodes' own code.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub changes: Vec<Vec<u8>>,
}

/// Reports slot events to a model's scheduler, and may ask it for a slot.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ScheduleRequest {
    /// The asking node.
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
    /// The failure domain whose heads are meant; empty for all.
    #[prost(string, tag = "5")]
    pub head_domain: String,
    /// A request that needs a slot.
    #[prost(message, optional, tag = "6")]
    pub slot_request: Option<SlotRequest>,
    /// What became of requests that have or had one, in order.
    #[prost(message, repeated, tag = "7")]
    pub slot_events: Vec<SlotEvent>,
}

/// A request that needs a slot.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SlotRequest {
    /// Unique at the asking node. A request that waits is asked for again under its number.
    #[prost(uint64, tag = "1")]
    pub request_number: u64,
    /// Prompt tokens.
    #[prost(uint64, tag = "2")]
    pub prompt_tokens: u64,
    /// Whether it continues after its replica was lost.
    #[prost(bool, tag = "3")]
    pub resumed: bool,
    /// 0 is the most urgent.
    #[prost(uint32, tag = "4")]
    pub urgency: u32,
    /// For how long it can still be on time, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub slo_remaining_ms: u32,
    /// For how long it may wait at all, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub max_wait_ms: u32,
    /// The longest pause of a stream of its kind that is on time, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub max_pause_ms: u32,
    /// Hosts that it is not to be sent to while there is another.
    #[prost(string, repeated, tag = "8")]
    pub avoid_hosts: Vec<String>,
    /// How long the answer may be waited for, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub wait_ms: u32,
}

/// A change of a slot.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SlotEvent {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub request_number: u64,
    /// What happened.
    #[prost(enumeration = "SlotEventKind", tag = "2")]
    pub event: i32,
}

/// The kinds of slot events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ::prost::Enumeration)]
#[repr(i32)]
pub enum SlotEventKind {
    /// The request has ended or was given up.
    Released = 0,
    /// Its first event has come.
    Started = 1,
    /// The head rejected it.
    Rejected = 2,
    /// The head failed it before its first event.
    Failed = 3,
}

/// A scheduler's answer.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ScheduleReply {
    /// What it is.
    #[prost(enumeration = "SlotDecision", tag = "1")]
    pub decision: i32,
    /// The replica whose head gets it.
    #[prost(string, tag = "2")]
    pub replica: String,
    /// The replica's epoch.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
}

/// The decisions on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ::prost::Enumeration)]
#[repr(i32)]
pub enum SlotDecision {
    /// None: this node has no such scheduler, or nothing was asked.
    Unknown = 0,
    /// It is to be sent to the head that is named.
    Granted = 1,
    /// It waits; ask again.
    Waiting = 2,
    /// No slot became free in time.
    Full = 3,
}
