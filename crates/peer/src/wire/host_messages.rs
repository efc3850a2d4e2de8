//! Messages on hosts that crash or name limits, to the nodes that decide for all.

use crate::wire::messages::TargetLimit;

/// Reports to the quarantine coordinator of a service, and may request a trial.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SuspectRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Crashes under requests of the calling node.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<CrashReport>,
    /// Requests and prompt parts that completed on hosts that stayed up.
    #[prost(message, repeated, tag = "4")]
    pub completed: Vec<CompletedReport>,
    /// A request whose quarantine is over.
    #[prost(message, optional, tag = "5")]
    pub trial: Option<TrialRequest>,
}

/// A host's crash.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct CrashReport {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// Time since it was detected, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The requests that the calling node had running there, and the parts of their prompts.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<CrashedRun>,
    /// Start time of the host in milliseconds since the Unix epoch, by its own clock; 0 if unknown.
    /// Tells apart the crashes of a host that restarts under its name.
    #[prost(uint64, tag = "5")]
    pub started_ms: u64,
}

/// A request, or a part of prompts, that was running in a crash.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct CrashedRun {
    /// Fingerprint of the request or part.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Time from the start of its run to the crash, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ran_for_ms: u64,
    /// Whether it had produced output there.
    #[prost(bool, tag = "3")]
    pub started: bool,
    /// 0 for a request; for a part, the number of shared parts from it to the last one.
    #[prost(uint32, tag = "4")]
    pub breadth: u32,
    /// Longest time from the first output of a run to its last one, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wrote_for_ms: u64,
}

/// A request, or a part of its prompt, that completed on a host that stayed up.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct CompletedReport {
    /// Fingerprint of the request or part.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Time since it completed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Asks whether a request, or one with a part, may be tried.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct TrialRequest {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Time within which its outcome is reported, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub lease_ms: u64,
}

/// The coordinator's reply.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SuspectReply {
    /// Whether the requested trial is permitted.
    #[prost(bool, tag = "1")]
    pub trial_permitted: bool,
    /// If it isn't, time until the request may be retried, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Reports limits to the nodes that keep them, and may ask to send a request to a limited target.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LimitRequest {
    /// The calling node.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Limits that the calling node has observed.
    #[prost(message, repeated, tag = "2")]
    pub observations: Vec<TargetLimit>,
    /// The host to send a request to; empty for none.
    #[prost(string, tag = "3")]
    pub host: String,
}

/// The reply of a node that keeps limits.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LimitReply {
    /// Whether the request may be sent.
    #[prost(bool, tag = "1")]
    pub permitted: bool,
    /// If it may not, time until one may be, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub available_in_ms: u64,
    /// Retry-After for the request's caller, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// A part of a connection to a host through another node. The first one requests the connection, the
/// others have bytes.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct TunnelFrame {
    /// The calling node; in the first frame only.
    #[prost(string, tag = "1")]
    pub from: String,
    /// `IP:PORT` of the host; in the first frame only.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Timeout of the connection to the host in milliseconds; in the first frame only.
    #[prost(uint64, tag = "3")]
    pub timeout_ms: u64,
    /// Bytes to or from the host.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: ::prost::bytes::Bytes,
}
