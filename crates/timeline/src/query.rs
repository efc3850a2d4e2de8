//! Questions to the time line and the merge of the nodes' answers.

use eelgrassmill_base::{GroupId, HostId, NodeId, RequestId, value};
use smol_str::SmolStr;

use crate::event::Event;
use crate::fields::{self, Field};

/// Events in an answer when the question names no limit.
pub const DEFAULT_LIMIT: usize = 1_000;
/// Most events in one node's answer.
pub const MAX_LIMIT: usize = 10_000;

value! { wire
    /// Which events are asked for; all conditions given must hold.
    #[derive(Default)]
    #[serde(default)]
    pub struct Query {
        /// Not before this time, in milliseconds since 1970.
        pub since_ms: Option<u64>,
        /// That name this group.
        pub group: Option<GroupId>,
        /// That name this host.
        pub host: Option<HostId>,
        /// That name this request.
        pub request: Option<RequestId>,
        /// Seen by this node, or about it.
        pub node: Option<NodeId>,
        /// At most so many, the last ones; [`DEFAULT_LIMIT`] when left out.
        pub limit: Option<usize>,
    }

    /// One node's answer.
    pub struct NodeEvents {
        /// The node.
        pub node: NodeId,
        /// Its events, in order.
        pub events: Vec<Event>,
        /// Events that its bounds have pushed out since it started.
        pub dropped: u64,
    }

    /// The answers of all nodes as one.
    pub struct Timeline {
        /// All events in causal order.
        pub events: Vec<Event>,
        /// Nodes that were asked and didn't answer: their events are missing here.
        pub silent: Vec<NodeId>,
        /// Nodes that have pushed older events out, and how many.
        pub dropped: Vec<(NodeId, u64)>,
    }
}

impl Query {
    /// Events to give at most.
    pub fn limit(&self) -> usize {
        self.limit.unwrap_or(DEFAULT_LIMIT).min(MAX_LIMIT)
    }

    /// Whether `event` meets all conditions but the limit.
    pub fn matches(&self, event: &Event) -> bool {
        if self.since_ms.is_some_and(|since| event.hlc.wall_ms < since) {
            return false;
        }
        let names = |wanted: &Option<SmolStr>, fields: &[&str]| {
            wanted
                .as_ref()
                .is_none_or(|name| has_field(event, fields, name))
        };
        let by_node = match &self.node {
            Some(node) => event.node == *node || has_field(event, &["peer"], node),
            None => true,
        };
        by_node
            && names(&self.group, &["group"])
            && names(&self.host, &["host", "members"])
            && names(&self.request, &["request"])
    }
}

fn has_field(event: &Event, names: &[&str], wanted: &str) -> bool {
    let mut found = false;
    fields::visit(&event.kind, &mut |name, field: Field<'_>| {
        found |= names.contains(&name) && field.is(wanted);
    });
    found
}

/// Puts the answers of the nodes that were asked into one order.
///
/// `asked` are all nodes that should have answered; events of two nodes with
/// the same stamp have no causal order and come in that of the nodes' names.
pub fn merge(
    asked: impl IntoIterator<Item = NodeId>,
    answers: impl IntoIterator<Item = NodeEvents>,
    limit: usize,
) -> Timeline {
    let mut silent: Vec<NodeId> = asked.into_iter().collect();
    silent.sort();
    silent.dedup();
    let mut events = Vec::new();
    let mut dropped = Vec::new();
    for answer in answers {
        silent.retain(|node| *node != answer.node);
        if answer.dropped > 0 {
            dropped.push((answer.node, answer.dropped));
        }
        events.extend(answer.events);
    }
    events.sort_by(|a: &Event, b| (a.hlc, &a.node).cmp(&(b.hlc, &b.node)));
    // A node that answers twice, say over two ways, must not double its events.
    events.dedup_by(|a, b| (a.hlc, &a.node, a.incarnation) == (b.hlc, &b.node, b.incarnation));
    let surplus = events.len().saturating_sub(limit);
    events.drain(..surplus);
    dropped.sort();
    dropped.dedup();
    Timeline {
        events,
        silent,
        dropped,
    }
}
