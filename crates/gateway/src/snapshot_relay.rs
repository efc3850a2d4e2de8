//! Telling other nodes the platform's lists, and having them from other nodes.
//!
//! Who asks whom is [`list_parent`]'s choice. A node whose parent gives no fresh copy within a
//! fraction of a second asks the store itself, so that a parent's death or its being cut off
//! from the store costs less time than a change may stay unseen.

use std::borrow::Cow;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::{
    ChangeLog, EvacuationChange, FleetChange, ListParent, SyncUpdate, initial_sync_source,
    list_parent,
};
use eelgrassmill_peer::{ListReply, ListRequest};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::core::Core;
use crate::heads::locked;
use crate::leader;
use crate::list_codec;
use crate::ports::{AcceptedConfig, Cursor, OperatorChange, Platform, SourceError};

/// A copy that is older than this is of no use: with one more question to the store a
/// change must be seen within 2 s, the shortest bound that platforms set. Copies in order
/// are half a second old at the node that asks the store, and as much more one hop on.
const MAX_AGE: Duration = Duration::from_millis(1100);
/// How long an encoded list is reused for other nodes; they fetch later changes as deltas.
const ENCODED_LIST_TTL: Duration = Duration::from_millis(300);
/// Longest wait of one question to another node.
const POLL_TIME: Duration = Duration::from_millis(400);
/// The same for inner nodes of the list tree: each hop adds to a list's age, bounded by
/// [`MAX_AGE`].
const INNER_POLL_TIME: Duration = Duration::from_millis(150);
/// An answer may take this long beyond its wait; between failure domains it takes 1 to 5 ms,
/// and one repeated packet some 200 ms.
const RPC_SLACK: Duration = Duration::from_millis(250);

/// A list as other nodes get it.
#[derive(Debug, Default)]
pub(crate) struct SharedLog {
    log: Mutex<ChangeLog>,
    version: watch::Sender<Cursor>,
    whole: Mutex<Option<EncodedList>>,
}

/// A snapshot in its wire form, shared by the nodes that ask for it at once when they start.
#[derive(Clone, Debug)]
struct EncodedList {
    version: Cursor,
    /// When the list is known to have been like this.
    as_of: Instant,
    encoded: Instant,
    changes: Vec<Vec<u8>>,
}

impl SharedLog {
    /// Notes what was read, as it is now known to be or to have been.
    pub(crate) fn take(&self, update: &ListUpdate<Vec<u8>>) {
        {
            let mut log = locked(&self.log);
            if update.whole {
                log.reset(update.version, update.as_of);
            } else {
                let changes = update.changes.clone();
                log.append(changes, update.version, update.as_of, Instant::now());
            }
        }
        self.version.send_if_modified(|version| {
            let newer = update.version > *version;
            *version = update.version.max(*version);
            newer
        });
    }

    /// Waits until the list is newer than `since`.
    async fn newer_than(&self, since: Cursor) {
        let mut rx = self.version.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|version| *version > since).await;
    }
}

/// All lists that nodes tell each other.
#[derive(Debug, Default)]
pub(crate) struct SnapshotRelay {
    pub(crate) hosts: SharedLog,
    pub(crate) operator: SharedLog,
}

/// Changes of a list, and how it is known.
#[derive(Clone, Debug)]
pub(crate) struct ListUpdate<C> {
    pub(crate) changes: Vec<C>,
    pub(crate) version: Cursor,
    /// When the list is known to have been like this.
    pub(crate) as_of: Instant,
    /// The changes are the whole list.
    pub(crate) whole: bool,
}

/// A list that nodes tell each other, with the spelling of its changes.
pub(crate) trait Relayed<P: Platform>: Sized {
    /// The name of the list, in questions and logs.
    const LIST: &'static str;

    /// Where it is kept for other nodes.
    fn log(core: &Core<P>) -> &SharedLog;

    /// The whole list as this node has it; nothing where it has none.
    fn whole(core: &Core<P>) -> Vec<Self>;

    /// The change as it travels.
    fn encode(&self) -> Result<Vec<u8>, SourceError>;

    /// Reads what travelled.
    fn decode(platform: &P, bytes: &[u8]) -> Result<Self, SourceError>;
}

impl<P: Platform> Relayed<P> for FleetChange {
    const LIST: &'static str = "hosts";

    fn log(core: &Core<P>) -> &SharedLog {
        &core.lists.hosts
    }

    fn whole(core: &Core<P>) -> Vec<FleetChange> {
        let fleet = locked(&core.fleet);
        if !fleet.is_loaded() {
            return Vec::new();
        }
        vec![FleetChange::Snapshot(fleet.listed().cloned().collect())]
    }

    fn encode(&self) -> Result<Vec<u8>, SourceError> {
        list_codec::encode(self)
    }

    fn decode(_platform: &P, bytes: &[u8]) -> Result<FleetChange, SourceError> {
        list_codec::decode(bytes)
    }
}

/// An [`OperatorChange`] as it travels: a configuration as the platform's own text.
#[derive(Serialize, Deserialize)]
enum OperatorMessage<'m> {
    Configuration(Cow<'m, str>),
    Evacuation(Cow<'m, EvacuationChange>),
}

impl<P: Platform> Relayed<P> for OperatorChange {
    const LIST: &'static str = "operator";

    fn log(core: &Core<P>) -> &SharedLog {
        &core.lists.operator
    }

    fn whole(core: &Core<P>) -> Vec<OperatorChange> {
        let accepted = core.configuration.accepted();
        let evacuated = locked(&core.fleet).evacuated().cloned().collect();
        let evacuated = OperatorChange::Evacuation(EvacuationChange::Snapshot(evacuated));
        let accepted = accepted.into_iter().map(OperatorChange::Configuration);
        accepted.chain([evacuated]).collect()
    }

    fn encode(&self) -> Result<Vec<u8>, SourceError> {
        let message = match self {
            OperatorChange::Configuration(accepted) => {
                OperatorMessage::Configuration(Cow::Borrowed(&accepted.text))
            }
            OperatorChange::Evacuation(change) => {
                OperatorMessage::Evacuation(Cow::Borrowed(change))
            }
        };
        list_codec::encode(&message)
    }

    fn decode(platform: &P, bytes: &[u8]) -> Result<OperatorChange, SourceError> {
        Ok(match list_codec::decode(bytes)? {
            OperatorMessage::Configuration(text) => {
                let (catalog, text) = (platform.read_catalog(&text)?, text.into_owned());
                OperatorChange::Configuration(AcceptedConfig { catalog, text })
            }
            OperatorMessage::Evacuation(change) => OperatorChange::Evacuation(change.into_owned()),
        })
    }
}

/// Answers another node's question for a list.
pub(crate) async fn handle<P: Platform>(core: Arc<Core<P>>, req: ListRequest) -> ListReply {
    if req.list == <FleetChange as Relayed<P>>::LIST {
        return handle_for::<P, FleetChange>(&core, &req).await;
    }
    if req.list == <OperatorChange as Relayed<P>>::LIST {
        return handle_for::<P, OperatorChange>(&core, &req).await;
    }
    ListReply::default()
}

async fn handle_for<P: Platform, C: Relayed<P>>(core: &Core<P>, req: &ListRequest) -> ListReply {
    let shared = C::log(core);
    if req.since > 0 {
        let wait = Duration::from_millis(req.wait_ms.into()).min(POLL_TIME);
        // Running out is the usual end.
        let _ = tokio::time::timeout(wait, shared.newer_than(req.since)).await;
    }
    let now = Instant::now();
    let (version, age, catch_up) = {
        let log = locked(&shared.log);
        (log.version(), log.age(now), log.changes_since(req.since))
    };
    let as_of = age.and_then(|age| now.checked_sub(age));
    let Some(as_of) = as_of else {
        return ListReply::default();
    };
    let (list, is_snapshot) = match catch_up {
        SyncUpdate::Delta(changes) => {
            let list = EncodedList {
                version,
                as_of,
                encoded: now,
                changes,
            };
            (Some(list), false)
        }
        SyncUpdate::Snapshot => (encoded_list::<P, C>(core, version, as_of, now), true),
    };
    let Some(list) = list else {
        return ListReply::default();
    };
    let age = now.saturating_duration_since(list.as_of);
    ListReply {
        version: list.version,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        platform_unreachable: core.store_failures() > 0,
        is_snapshot,
        changes: list.changes,
    }
}

/// The cached snapshot while it is recent, else a new one.
fn encoded_list<P: Platform, C: Relayed<P>>(
    core: &Core<P>,
    version: Cursor,
    as_of: Instant,
    now: Instant,
) -> Option<EncodedList> {
    let mut held = locked(&C::log(core).whole);
    let is_recent =
        |list: &EncodedList| now.saturating_duration_since(list.encoded) < ENCODED_LIST_TTL;
    if let Some(list) = held.as_ref().filter(|list| is_recent(list)) {
        return Some(list.clone());
    }
    let changes: Result<_, SourceError> = C::whole(core).iter().map(C::encode).collect();
    let list = EncodedList {
        version,
        as_of,
        encoded: now,
        changes: changes.ok()?,
    };
    *held = Some(list.clone());
    Some(list)
}

/// Why a node's copy of a list is of no use.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// It wasn't reached or gave no answer.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// It has none.
    #[error("it has none")]
    None,
    /// It gets no answers from the store itself.
    #[error("the store gives it no answers")]
    Failing,
    /// It may have missed changes.
    #[error("it is {0:?} old")]
    Old(Duration),
    /// It can't be read.
    #[error(transparent)]
    Malformed(SourceError),
}

/// The node to poll for lists, and the longest wait of one poll.
#[derive(Clone, Debug)]
pub(crate) struct Parent {
    pub(crate) node: NodeId,
    pub(crate) wait: Duration,
}

impl Parent {
    fn new(parent: ListParent<'_>) -> Parent {
        let wait = if parent.is_inner {
            INNER_POLL_TIME
        } else {
            POLL_TIME
        };
        Parent {
            node: parent.node.clone(),
            wait,
        }
    }
}

/// The node to ask for lists, unless this one is to ask the store.
pub(crate) fn parent<P: Platform>(core: &Core<P>) -> Option<Parent> {
    let now = Instant::now();
    let holder = leader::current(core, now).map(|leader| leader.node);
    let nodes = locked(&core.nodes);
    let others = nodes.with_copies(now);
    list_parent(core.as_candidate(), holder.as_ref(), others).map(Parent::new)
}

/// Any node that may have lists, for a node that has none: the one to ask, or else one by chance.
pub(crate) fn any_node<P: Platform>(core: &Core<P>) -> Option<NodeId> {
    let parent = parent(core).map(|parent| parent.node);
    parent.or_else(|| {
        let nodes = locked(&core.nodes);
        let others = nodes.with_copies(Instant::now());
        initial_sync_source(core.as_candidate(), others, fastrand::f64()).cloned()
    })
}

/// Delay of this node's first read of the store.
pub(crate) fn initial_read_delay<P: Platform>(core: &Core<P>) -> Duration {
    let nodes = locked(&core.nodes);
    let others = nodes.with_copies(Instant::now());
    eelgrassmill_fleet::initial_read_delay(core.as_candidate(), others)
}

/// Another node's copy of a list.
#[derive(Clone, Debug)]
pub(crate) struct ListCopy<C> {
    pub(crate) update: ListUpdate<C>,
    /// The changes as they travelled.
    pub(crate) encoded: Vec<Vec<u8>>,
    /// How old it is.
    age: Duration,
    /// The node gets no answers from the store.
    failing: bool,
}

impl<C> ListCopy<C> {
    /// # Errors
    /// When it may lack changes that a node with access to the store would have.
    pub(crate) fn check(&self) -> Result<(), RelayError> {
        if self.failing {
            return Err(RelayError::Failing);
        }
        if self.age > MAX_AGE {
            return Err(RelayError::Old(self.age));
        }
        Ok(())
    }
}

/// Asks another node for what changed since `since`, or for all at 0.
pub(crate) async fn fetch<P: Platform, C: Relayed<P>>(
    core: &Core<P>,
    node: &NodeId,
    since: Cursor,
    wait: Duration,
) -> Result<ListCopy<C>, RelayError> {
    let peer = core.peer().ok_or(RelayError::None)?;
    let answered = peer.fetch_list(node, C::LIST, since, wait, RPC_SLACK).await;
    let reply = answered.map_err(|e| RelayError::NoAnswer(e.to_string()))?;
    let now = Instant::now();
    if reply.version == 0 {
        return Err(RelayError::None);
    }
    let age = Duration::from_millis(reply.age_ms.into());
    let read = reply
        .changes
        .iter()
        .map(|bytes| C::decode(&core.platform, bytes));
    let changes: Result<Vec<C>, SourceError> = read.collect();
    Ok(ListCopy {
        update: ListUpdate {
            changes: changes.map_err(RelayError::Malformed)?,
            version: reply.version,
            as_of: now.checked_sub(age).unwrap_or(now),
            whole: reply.is_snapshot,
        },
        encoded: reply.changes,
        age,
        failing: reply.platform_unreachable,
    })
}
