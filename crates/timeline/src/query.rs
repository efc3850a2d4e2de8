//! Timeline queries and the merge of the nodes' results.

use eelgrassmill_base::{GroupId, HostId, NodeId, RequestId, value};
use smol_str::SmolStr;

use crate::event::Event;
use crate::fields::{self, Field};

/// Maximum number of events when a query sets no limit.
pub const DEFAULT_LIMIT: usize = 1_000;
/// Upper bound on a query's limit.
pub const MAX_LIMIT: usize = 10_000;

value! { wire
    /// A filter on events; all conditions that are set must match.
    #[derive(Default)]
    #[serde(default)]
    pub struct Query {
        /// Events at or after this time, in milliseconds since the Unix epoch.
        pub since_ms: Option<u64>,
        /// Events that refer to this group.
        pub group: Option<GroupId>,
        /// Events that refer to this host.
        pub host: Option<HostId>,
        /// Events that refer to this request.
        pub request: Option<RequestId>,
        /// Events recorded by this node, or with it as the peer.
        pub node: Option<NodeId>,
        /// Maximum number of events, of which the newest are returned; [`DEFAULT_LIMIT`] if unset.
        pub limit: Option<usize>,
    }

    /// One node's events that match a query.
    pub struct NodeEvents {
        /// The node.
        pub node: NodeId,
        /// The matching events, ordered by timestamp.
        pub events: Vec<Event>,
        /// Number of events that the node has evicted since it started, matching or not.
        pub dropped: u64,
    }

    /// The merged events of all nodes.
    pub struct Timeline {
        /// The events in causal order.
        pub events: Vec<Event>,
        /// Nodes that were queried but did not respond; their events are missing.
        pub silent: Vec<NodeId>,
        /// Nodes that have evicted older events, and how many.
        pub dropped: Vec<(NodeId, u64)>,
    }
}

impl Query {
    /// The effective limit, at most [`MAX_LIMIT`].
    pub fn limit(&self) -> usize {
        self.limit.unwrap_or(DEFAULT_LIMIT).min(MAX_LIMIT)
    }

    /// Whether `event` matches all conditions; the limit is not considered.
    pub fn matches(&self, event: &Event) -> bool {
        if self.since_ms.is_some_and(|since| event.hlc.wall_ms < since) {
            return false;
        }
        let matches_field = |wanted: &Option<SmolStr>, fields: &[&str]| {
            wanted
                .as_ref()
                .is_none_or(|name| has_field(event, fields, name))
        };
        let matches_node = match &self.node {
            Some(node) => event.node == *node || has_field(event, &["peer"], node),
            None => true,
        };
        matches_node
            && matches_field(&self.group, &["group"])
            && matches_field(&self.host, &["host", "members"])
            && matches_field(&self.request, &["request"])
    }
}

fn has_field(event: &Event, names: &[&str], wanted: &str) -> bool {
    let mut found = false;
    fields::visit(&event.kind, &mut |name, field: Field<'_>| {
        found |= names.contains(&name) && field.matches(wanted);
    });
    found
}

/// Merges the results of several nodes into one timeline with the newest `limit` events.
///
/// `queried` are all nodes that were expected to respond. Events of two nodes with the
/// same timestamp have no causal order and are sorted by node name.
pub fn merge(
    queried: impl IntoIterator<Item = NodeId>,
    results: impl IntoIterator<Item = NodeEvents>,
    limit: usize,
) -> Timeline {
    let mut silent: Vec<NodeId> = queried.into_iter().collect();
    silent.sort();
    silent.dedup();
    let mut events = Vec::new();
    let mut dropped = Vec::new();
    for result in results {
        silent.retain(|node| *node != result.node);
        if result.dropped > 0 {
            dropped.push((result.node, result.dropped));
        }
        events.extend(result.events);
    }
    events.sort_by(|a: &Event, b| (a.hlc, &a.node).cmp(&(b.hlc, &b.node)));
    // A node may respond twice, for example over two connections.
    events.dedup_by(|a, b| (a.hlc, &a.node, a.incarnation) == (b.hlc, &b.node, b.incarnation));
    let excess = events.len().saturating_sub(limit);
    events.drain(..excess);
    dropped.sort();
    dropped.dedup();
    Timeline {
        events,
        silent,
        dropped,
    }
}
