//! Conversion between items and their wire format.

use std::time::Duration;

use eelgrassmill_base::{Incarnation, SchedulerScope};

use crate::item::{
    ConfigAnnouncement, GroupLoad, GroupRecord, HealthReport, Item, ItemKey, LeavingTarget,
    MAX_GROUP_RECORD_BYTES, MAX_SUSPECT_RECORD_BYTES, MAX_TEXT_BYTES, ModelDemand, NodeLoad,
    NodeStatus, Suspect, TargetLimit, UsageReport,
};
use crate::wire::messages::{self as wire, Kind};

/// Separates the names in the key of a usage or a demand; no name contains it.
const KEY_SEPARATOR: char = '\u{1f}';

/// A received item, or the key of a removed one.
pub(crate) enum Received {
    Put(Item),
    Removed(ItemKey),
}

/// Encodes an item.
pub(crate) fn to_kind(item: &Item) -> Kind {
    match item {
        Item::Config(c) => Kind::Config(wire::ConfigAnnouncement {
            version: c.version,
            checksum: c.checksum.to_string(),
        }),
        Item::Health(v) => Kind::Health(wire::HealthReport {
            group: v.group.to_string(),
            epoch: v.epoch,
            serving: v.serving,
            code: v.code,
            reason: v.reason.to_string(),
        }),
        Item::Status(s) => Kind::Status(wire::NodeStatus {
            peer_address: s.peer_address.to_string(),
            entry_address: s.entry_address.to_string(),
            admin_address: s.admin_address.to_string(),
            failure_domain: s.failure_domain.to_string(),
            region: s.region.to_string(),
            leaving: s.leaving,
            cpu_millicores: s.cpu_millicores,
        }),
        Item::Load(l) => Kind::Load(wire::NodeLoad {
            config_version: l.config_version,
            load_permille: l.load_permille,
            overloaded: l.overloaded,
        }),
        Item::Leaving(l) => Kind::Leaving(wire::LeavingTarget {
            host: l.host.to_string(),
            incarnation: l.incarnation,
        }),
        Item::Suspect(s) => Kind::Suspect(wire::Suspect {
            fingerprint: s.fingerprint.to_string(),
            record: s.record.clone(),
        }),
        Item::GroupLoad(g) => Kind::GroupLoad(wire::GroupLoad {
            group: g.group.to_string(),
            epoch: g.epoch,
            running: g.running,
            waiting: g.waiting,
            assigned: g.assigned,
            ejected: g.ejected,
        }),
        Item::Group(g) => Kind::Group(wire::GroupRecord {
            group: g.group.to_string(),
            version: g.version,
            record: g.record.clone(),
        }),
        Item::TargetLimit(l) => Kind::TargetLimit(wire::TargetLimit {
            host: l.host.to_string(),
            limit_millionths: l.limit_millionths,
            age_ms: u64::try_from(l.age.as_millis()).unwrap_or(u64::MAX),
            leaving_start_ms: l.leaving_start_ms,
        }),
        Item::ModelDemand(d) => Kind::ModelDemand(wire::ModelDemand {
            service: d.scope.service.to_string(),
            model: d.scope.model.to_string(),
            head_domain: d.scope.heads_in.as_deref().unwrap_or_default().to_owned(),
            measured_s: d.measured_s,
            idle_ms: d.idle_ms,
            slots: d.slots,
            used: d.used,
            wanted: d.wanted,
            peak: d.peak,
            rejected_per_second: d.rejected_per_second,
            prompt_tokens_per_second: d.prompt_tokens_per_second,
        }),
        Item::Usage(u) => Kind::Usage(wire::UsageReport {
            service: u.service.to_string(),
            tenant: u.tenant.to_string(),
            weight: u.weight,
            tokens: u.tokens,
        }),
    }
}

/// Encodes the key of a removed item.
pub(crate) fn to_removed(key: &ItemKey) -> Kind {
    let (kind, name) = match key {
        ItemKey::Config => (4, ""),
        ItemKey::Health(name) => (5, name.as_str()),
        ItemKey::Status => (6, ""),
        ItemKey::Load => (7, ""),
        ItemKey::Leaving(name) => (8, name.as_str()),
        ItemKey::Suspect(name) => (9, name.as_str()),
        ItemKey::GroupLoad(name) => (10, name.as_str()),
        ItemKey::Group(name) => (13, name.as_str()),
        ItemKey::TargetLimit(name) => (14, name.as_str()),
        ItemKey::Usage(service, tenant) => {
            return Kind::Removed(wire::Removed {
                kind: 12,
                name: format!("{service}{KEY_SEPARATOR}{tenant}"),
            });
        }
        ItemKey::ModelDemand(scope) => {
            let SchedulerScope { service, model, .. } = scope;
            let domain = scope.heads_in.as_deref().unwrap_or_default();
            return Kind::Removed(wire::Removed {
                kind: 15,
                name: format!("{service}{KEY_SEPARATOR}{model}{KEY_SEPARATOR}{domain}"),
            });
        }
    };
    Kind::Removed(wire::Removed {
        kind,
        name: name.to_string(),
    })
}

/// Decodes an item; `None` for a kind unknown to this build, and for names and records
/// over their limits.
pub(crate) fn from_kind(kind: Kind) -> Option<Received> {
    let item = match kind {
        Kind::Config(c) => Item::Config(ConfigAnnouncement {
            version: c.version,
            checksum: text(c.checksum)?,
        }),
        Kind::Health(v) => Item::Health(HealthReport {
            group: name(v.group)?,
            epoch: v.epoch,
            serving: v.serving,
            code: v.code,
            reason: text(v.reason)?,
        }),
        Kind::Status(s) => Item::Status(NodeStatus {
            peer_address: text(s.peer_address)?,
            entry_address: text(s.entry_address)?,
            admin_address: text(s.admin_address)?,
            failure_domain: text(s.failure_domain)?,
            region: text(s.region)?,
            leaving: s.leaving,
            cpu_millicores: s.cpu_millicores,
        }),
        Kind::Load(l) => Item::Load(NodeLoad {
            config_version: l.config_version,
            load_permille: l.load_permille,
            overloaded: l.overloaded,
        }),
        Kind::Leaving(l) => Item::Leaving(LeavingTarget {
            host: name(l.host)?,
            incarnation: l.incarnation as Incarnation,
        }),
        Kind::Suspect(s) if s.record.len() <= MAX_SUSPECT_RECORD_BYTES => Item::Suspect(Suspect {
            fingerprint: name(s.fingerprint)?,
            record: s.record,
        }),
        Kind::Suspect(_) => return None,
        Kind::GroupLoad(g) => Item::GroupLoad(GroupLoad {
            group: name(g.group)?,
            epoch: g.epoch,
            running: g.running,
            waiting: g.waiting,
            assigned: g.assigned,
            ejected: g.ejected,
        }),
        Kind::Group(g) if g.record.len() <= MAX_GROUP_RECORD_BYTES => Item::Group(GroupRecord {
            group: name(g.group)?,
            version: g.version,
            record: g.record,
        }),
        Kind::Group(_) => return None,
        Kind::Usage(u) => Item::Usage(UsageReport {
            service: name(u.service)?,
            tenant: name(u.tenant)?,
            weight: u.weight,
            tokens: u.tokens,
        }),
        Kind::TargetLimit(l) => Item::TargetLimit(TargetLimit {
            host: name(l.host)?,
            limit_millionths: l.limit_millionths,
            leaving_start_ms: l.leaving_start_ms,
            age: Duration::from_millis(l.age_ms),
        }),
        Kind::ModelDemand(d) => Item::ModelDemand(ModelDemand {
            scope: demand_scope(d.service, d.model, d.head_domain)?,
            measured_s: d.measured_s,
            idle_ms: d.idle_ms,
            slots: d.slots,
            used: d.used,
            wanted: d.wanted,
            peak: d.peak,
            rejected_per_second: d.rejected_per_second,
            prompt_tokens_per_second: d.prompt_tokens_per_second,
        }),
        Kind::Removed(r) => return removed_key(r).map(Received::Removed),
    };
    Some(Received::Put(item))
}

fn removed_key(removed: wire::Removed) -> Option<ItemKey> {
    Some(match removed.kind {
        4 => ItemKey::Config,
        5 => ItemKey::Health(name(removed.name)?),
        6 => ItemKey::Status,
        7 => ItemKey::Load,
        8 => ItemKey::Leaving(name(removed.name)?),
        9 => ItemKey::Suspect(name(removed.name)?),
        10 => ItemKey::GroupLoad(name(removed.name)?),
        13 => ItemKey::Group(name(removed.name)?),
        14 => ItemKey::TargetLimit(name(removed.name)?),
        12 => {
            let (service, tenant) = removed.name.split_once(KEY_SEPARATOR)?;
            ItemKey::Usage(name(service.to_owned())?, name(tenant.to_owned())?)
        }
        15 => {
            let (service, rest) = removed.name.split_once(KEY_SEPARATOR)?;
            let (model, domain) = rest.split_once(KEY_SEPARATOR)?;
            ItemKey::ModelDemand(demand_scope(service.into(), model.into(), domain.into())?)
        }
        _ => return None,
    })
}

fn demand_scope(service: String, model: String, head_domain: String) -> Option<SchedulerScope> {
    let heads_in = text(head_domain)?;
    Some(SchedulerScope {
        service: name(service)?,
        model: name(model)?,
        heads_in: (!heads_in.is_empty()).then_some(heads_in),
    })
}

/// A text within its limit, possibly empty.
fn text(value: String) -> Option<smol_str::SmolStr> {
    (value.len() <= MAX_TEXT_BYTES).then(|| value.into())
}

/// A text within its limit that isn't empty.
pub(crate) fn name(value: String) -> Option<smol_str::SmolStr> {
    (!value.is_empty()).then(|| text(value))?
}
