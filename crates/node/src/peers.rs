//! What this node does with what other nodes tell it.

use std::sync::{Arc, OnceLock, Weak};
use std::time::{Duration, Instant};

use eelgrassmill_base::{ConfigVersion, HostId, Incarnation, NodeId, rendezvous};
use eelgrassmill_group::{MissingReason, Verdict};
use eelgrassmill_peer::{
    Change, ConfigText, HealthReport, HlcTimestamp, Item, ItemKey, PeerHandler, PeerNode,
    QuotaReply, QuotaRequest, Update,
};
use eelgrassmill_timeline::{EventKind, Hlc, Query};
use smol_str::{SmolStr, format_smolstr};
use tokio::runtime::Handle;

use crate::apply::apply_config;
use crate::group_rows;
use crate::loops::quota::answer;
use crate::state::core::Core;
use crate::state::lock::lock;
use crate::state::wholeness::Finding;

/// Longest wait for a peer's text of a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Codes of verdicts between nodes.
///
/// Invariant: a code keeps its meaning over releases; an unknown one counts as
/// a member that is silent, which never lets a group serve.
mod code {
    pub(super) const WHOLE: u32 = 0;
    pub(super) const SILENT: u32 = 1;
    pub(super) const RESTARTED: u32 = 2;
    pub(super) const ELSEWHERE: u32 = 3;
    pub(super) const NOT_READY: u32 = 4;
    pub(super) const ENDING: u32 = 5;
}

/// Takes the updates and answers the questions of peers.
pub(crate) struct Peers {
    core: Arc<Core>,
    runtime: Handle,
    /// Set once the peer node runs; weak, since the peer node owns this handler.
    node: OnceLock<Weak<PeerNode<Peers>>>,
}

impl Peers {
    pub(crate) fn new(core: Arc<Core>, runtime: Handle) -> Peers {
        Peers {
            core,
            runtime,
            node: OnceLock::new(),
        }
    }

    pub(crate) fn set_node(&self, node: &Arc<PeerNode<Peers>>) {
        // Set by the one start of the node; a second call would change nothing.
        let _ = self.node.set(Arc::downgrade(node));
    }

    fn take(&self, update: Update) {
        let Update {
            origin,
            incarnation,
            change,
        } = update;
        if self.core.is_me(&origin) {
            return;
        }
        match change {
            Change::Put { item, as_of, .. } => {
                lock(&self.core.directory).heard(&origin, as_of);
                self.put(&origin, incarnation, item, as_of);
            }
            Change::Removed(key) => self.removed(&origin, &key),
            Change::Confirmed(as_of) => {
                lock(&self.core.directory).heard(&origin, as_of);
                let mut whole = lock(&self.core.whole);
                whole.on_confirmed(&origin, incarnation, as_of, Instant::now());
            }
            Change::Forgotten => self.forgotten(&origin),
        }
    }

    fn put(&self, origin: &NodeId, incarnation: Incarnation, item: Item, as_of: Instant) {
        match item {
            Item::Health(item) => {
                let now = Instant::now();
                let mut whole = lock(&self.core.whole);
                whole.on_finding(origin, incarnation, finding(&item), as_of, now);
            }
            Item::Config(announced) => {
                if announced.version > self.core.config.version() {
                    self.fetch(self.holder(announced.version, origin));
                }
            }
            Item::Status(status) => {
                lock(&self.core.directory).on_status(origin, incarnation, &status, as_of);
            }
            Item::Load(load) => lock(&self.core.directory).on_load(origin, &load),
            Item::Leaving(leaving) => self.leaving(&leaving.host, origin, true),
            Item::Suspect(suspect) => {
                let now = Instant::now();
                lock(&self.core.guard).hear(origin, &suspect, as_of, now);
            }
            Item::Usage(item) => {
                let usage = lock(&self.core.usage).heard(origin, &item);
                if let Some(shard) = self.core.shard(&item.service) {
                    shard.charge_elsewhere(&usage);
                }
            }
            Item::Group(told) => group_rows::take(&self.core, &told),
            Item::GroupLoad(_) | Item::TargetLimit(_) | Item::ModelDemand(_) => {}
        }
    }

    fn removed(&self, origin: &NodeId, key: &ItemKey) {
        match key {
            ItemKey::Health(group) => lock(&self.core.whole).withdraw(origin, group),
            ItemKey::Leaving(host) => self.leaving(host, origin, false),
            _ => {}
        }
    }

    fn leaving(&self, host: &HostId, by: &NodeId, leaving: bool) {
        lock(&self.core.fleet).set_leaving(host, by, leaving);
    }

    fn forgotten(&self, origin: &NodeId) {
        lock(&self.core.whole).forget_watcher(origin);
        lock(&self.core.fleet).forget_watcher(origin);
        lock(&self.core.guard).forget(origin);
        lock(&self.core.usage).forget(origin);
        if lock(&self.core.directory).forget(origin) {
            let peer = origin.clone();
            let reason = "not heard from".into();
            self.core.journal.note(EventKind::NodeLeft { peer, reason });
        }
    }

    /// A node to fetch a version from: each asks another of those that have it in force.
    ///
    /// All asking the one that announced it first would be hundreds of calls to it at once.
    fn holder(&self, version: ConfigVersion, announcer: &NodeId) -> NodeId {
        let now = Instant::now();
        let directory = lock(&self.core.directory);
        let holders = directory
            .entries()
            .filter(|(_, entry)| entry.is_alive(now) && entry.config_version >= version)
            .map(|(node, _)| node);
        let ranked = rendezvous(&self.core.ident.node, holders.collect::<Vec<_>>());
        ranked.first().map_or(announcer, |node| *node).clone()
    }

    /// Fetches the text of a version that a peer announced.
    fn fetch(&self, from: NodeId) {
        let Some(node) = self.node.get().and_then(Weak::upgrade) else {
            return;
        };
        let core = self.core.clone();
        self.runtime.spawn(async move {
            let base = core.config.text();
            match node.fetch_config(&from, base.as_ref(), FETCH_TIMEOUT).await {
                Ok(text) => apply_config(&core, &node, &text),
                // The table's reader brings it too, and the announcement comes
                // again from other nodes that have it in force.
                Err(err) => tracing::debug!(%err, %from, "configuration not fetched"),
            }
        });
    }
}

impl PeerHandler for Peers {
    fn on_updates(&self, updates: Vec<Update>) {
        for update in updates {
            self.take(update);
        }
    }

    fn config(&self) -> Option<ConfigText> {
        self.core.config.text()
    }

    fn config_at_version(&self, version: ConfigVersion) -> Option<ConfigText> {
        self.core.config.former(version)
    }

    fn timeline(&self, query: &[u8]) -> Vec<u8> {
        let query: Query = serde_json::from_slice(query).unwrap_or_default();
        let answer = self.core.journal.query(&query);
        serde_json::to_vec(&answer).unwrap_or_default()
    }

    fn timestamp(&self) -> HlcTimestamp {
        let hlc = self.core.journal.stamp();
        HlcTimestamp {
            wall_ms: hlc.wall_ms,
            counter: hlc.counter,
        }
    }

    fn on_timestamp(&self, timestamp: HlcTimestamp) {
        self.core.journal.observe(Hlc {
            wall_ms: timestamp.wall_ms,
            counter: timestamp.counter,
        });
    }

    fn quota(&self, req: QuotaRequest) -> QuotaReply {
        answer(&self.core, &req)
    }
}

/// A finding as it travels: the code, and in the text the lead, its start and the missing host.
pub(crate) fn health_report(finding: &Finding) -> HealthReport {
    let (code, host) = match &finding.verdict {
        Verdict::Whole => (code::WHOLE, ""),
        Verdict::Ending => (code::ENDING, ""),
        Verdict::Missing { host, reason } => (code_of(*reason), host.as_str()),
    };
    HealthReport {
        group: finding.group.clone(),
        epoch: finding.epoch,
        serving: code == code::WHOLE,
        code,
        reason: format_smolstr!("{} {} {host}", finding.lead, finding.lead_start),
    }
}

fn code_of(reason: MissingReason) -> u32 {
    match reason {
        MissingReason::Silent => code::SILENT,
        MissingReason::Restarted => code::RESTARTED,
        MissingReason::Elsewhere => code::ELSEWHERE,
        MissingReason::NotReady => code::NOT_READY,
    }
}

fn finding(item: &HealthReport) -> Finding {
    let mut words = item.reason.split(' ');
    let lead = words.next().unwrap_or_default();
    let lead_start = words.next().and_then(|w| w.parse().ok());
    let host = words.next().unwrap_or_default();
    let missing = |reason| Verdict::Missing {
        host: SmolStr::new(host),
        reason,
    };
    let verdict = match item.code {
        code::WHOLE if item.serving => Verdict::Whole,
        code::RESTARTED => missing(MissingReason::Restarted),
        code::ELSEWHERE => missing(MissingReason::Elsewhere),
        code::NOT_READY => missing(MissingReason::NotReady),
        code::ENDING => Verdict::Ending,
        _ => missing(MissingReason::Silent),
    };
    Finding {
        group: item.group.clone(),
        epoch: item.epoch,
        lead: lead.into(),
        lead_start: lead_start.unwrap_or_default(),
        verdict,
    }
}
