//! Selection of the entry addresses returned to a caller.

use std::time::Duration;

use eelgrassmill_base::{FailureDomain, NodeId, stable_hash, value};
use smallvec::SmallVec;
use smol_str::SmolStr;

/// Maximum number of addresses in one list.
const MAX_ADDRESSES: usize = 3;
/// TTL of an address list, before jitter.
const TTL: Duration = Duration::from_secs(60);
/// TTL while any entry is leaving or full, so that its callers move away sooner.
const SHORT_TTL: Duration = Duration::from_secs(15);
/// The TTL varies by this fraction in both directions.
const TTL_JITTER: f64 = 0.25;

/// Load relative to capacity at which the high level is entered, and left.
const HIGH: (f64, f64) = (0.85, 0.7);
/// The same for the full level.
const FULL: (f64, f64) = (1.0, 0.9);

value! { copy
    /// The load level of an entry.
    #[derive(Default)]
    pub enum LoadLevel {
        /// Spare capacity.
        #[default]
        Low,
        /// Little capacity left: others in the same failure domain are preferred.
        High,
        /// No capacity left: the entry refuses callers and returns other addresses.
        Full,
    }
}

impl LoadLevel {
    /// Returns the level for a load (1 is capacity), given the current level.
    ///
    /// A level is left at a lower load than it is entered at; with a single
    /// threshold, callers' address lists could change at every load report.
    pub fn next(self, load: f64) -> LoadLevel {
        let is_over =
            |(enter, leave): (f64, f64), inside: bool| load >= if inside { leave } else { enter };
        if is_over(FULL, self == LoadLevel::Full) {
            return LoadLevel::Full;
        }
        match is_over(HIGH, self >= LoadLevel::High) {
            true => LoadLevel::High,
            false => LoadLevel::Low,
        }
    }
}

value! {
    /// An entry as seen by the entry that returns the list.
    pub struct EntryView {
        /// The node.
        pub node: NodeId,
        /// `IP:PORT` for callers.
        pub address: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Whether it is in the region of the entry that returns the list.
        pub same_region: bool,
        /// Its reported load level.
        pub load: LoadLevel,
        /// Whether it is leaving.
        pub leaving: bool,
        /// Whether it has been seen recently.
        pub alive: bool,
    }

    /// The addresses returned to a caller.
    pub struct AddressList {
        /// Addresses in order of preference.
        pub addresses: SmallVec<[SmolStr; MAX_ADDRESSES]>,
        /// How long the caller may keep the list, with jitter.
        pub ttl: Duration,
    }
}

/// Chooses the entries for a caller.
///
/// The order is the same for the same caller and entries: rendezvous hashing
/// spreads callers evenly and moves only those of an entry that is removed. The last
/// address is in another failure domain if there is one. Leaving entries are
/// returned only if there is no other; `except` is never returned (an entry that
/// is full excludes itself).
pub fn choose_addresses(
    caller: &str,
    caller_domain: &str,
    entries: &[EntryView],
    except: Option<&str>,
    rng: &mut fastrand::Rng,
) -> AddressList {
    let mut order: Vec<&EntryView> = entries
        .iter()
        .filter(|e| Some(e.node.as_str()) != except)
        .collect();
    order.sort_by_cached_key(|e| {
        let score = stable_hash([caller, e.node.as_str()]);
        (
            rank(e, caller_domain),
            std::cmp::Reverse(score),
            e.node.clone(),
        )
    });
    let usable = order.iter().filter(|e| e.alive && !e.leaving).count();
    order.truncate(usable.max(1));
    let short_ttl = entries
        .iter()
        .any(|e| e.leaving || e.load == LoadLevel::Full);
    AddressList {
        addresses: spread_domains(&order),
        ttl: jittered_ttl(short_ttl, rng),
    }
}

/// Sort key of an entry, lower is better. A distant entry is preferred to a full one.
fn rank(entry: &EntryView, caller_domain: &str) -> (bool, bool, bool, u8, LoadLevel) {
    let distance = match (entry.failure_domain == caller_domain, entry.same_region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    let full = entry.load == LoadLevel::Full;
    (!entry.alive, entry.leaving, full, distance, entry.load)
}

fn spread_domains(order: &[&EntryView]) -> SmallVec<[SmolStr; MAX_ADDRESSES]> {
    let mut chosen: SmallVec<[&EntryView; MAX_ADDRESSES]> =
        order.iter().take(MAX_ADDRESSES).copied().collect();
    let one_domain = chosen
        .windows(2)
        .all(|w| w[0].failure_domain == w[1].failure_domain);
    let first = chosen.first().map(|e| &e.failure_domain);
    let other_domain = order.iter().find(|e| Some(&e.failure_domain) != first);
    if let (true, Some(other), MAX_ADDRESSES) = (one_domain, other_domain, chosen.len()) {
        chosen[MAX_ADDRESSES - 1] = other;
    }
    chosen.iter().map(|e| e.address.clone()).collect()
}

fn jittered_ttl(short: bool, rng: &mut fastrand::Rng) -> Duration {
    let ttl = if short { SHORT_TTL } else { TTL };
    ttl.mul_f64(1.0 - TTL_JITTER + 2.0 * TTL_JITTER * rng.f64())
}
