//! Which entries a caller is told to use.

use std::time::Duration;

use eelgrassmill_base::{FailureDomain, NodeId, stable_hash, value};
use smallvec::SmallVec;
use smol_str::SmolStr;

/// Addresses in one answer.
const ADDRESSES: usize = 3;
/// How long a caller keeps an answer, before jitter.
const KEEP: Duration = Duration::from_secs(60);
/// The same while entries leave or are full, so that callers move off them soon.
const KEEP_SHORT: Duration = Duration::from_secs(15);
/// The kept time varies by this part to either side.
const KEEP_JITTER: f64 = 0.25;

/// Load over capacity at which an entry calls itself busy, and no longer so.
const BUSY: (f64, f64) = (0.85, 0.7);
/// The same for full.
const FULL: (f64, f64) = (1.0, 0.9);

value! { copy
    /// How loaded an entry calls itself.
    #[derive(Default)]
    pub enum LoadLevel {
        /// Room for more.
        #[default]
        Low,
        /// Little room: others of the same failure domain come first.
        High,
        /// No room: it refuses, and names others.
        Full,
    }
}

impl LoadLevel {
    /// The band for a load (1 is capacity), given the present one.
    ///
    /// Bands are left at a lower load than they are entered at; with one
    /// threshold, callers' address lists would change at every report.
    pub fn next(self, load: f64) -> LoadLevel {
        let over =
            |(enter, leave): (f64, f64), inside: bool| load >= if inside { leave } else { enter };
        if over(FULL, self == LoadLevel::Full) {
            return LoadLevel::Full;
        }
        match over(BUSY, self >= LoadLevel::High) {
            true => LoadLevel::High,
            false => LoadLevel::Low,
        }
    }
}

value! {
    /// One entry as another sees it.
    pub struct EntryView {
        /// The node.
        pub node: NodeId,
        /// `IP:PORT` for callers.
        pub address: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// In the answering entry's region.
        pub same_region: bool,
        /// How loaded it calls itself.
        pub load: LoadLevel,
        /// It is leaving.
        pub leaving: bool,
        /// It has been heard of lately.
        pub alive: bool,
    }

    /// What a caller is told.
    pub struct AddressList {
        /// Addresses, the one to use first at the front.
        pub addresses: SmallVec<[SmolStr; ADDRESSES]>,
        /// How long to keep them, different for each answer.
        pub ttl: Duration,
    }
}

/// Chooses the entries for a caller.
///
/// The order is the same for the same caller and entries: rendezvous hashing
/// spreads callers evenly and moves only those of an entry that goes. The last
/// address is in another failure domain where there is one. Entries that leave
/// are named only when there is nothing else; `except` is never named (an entry
/// that is full names others).
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
    let moving = entries
        .iter()
        .any(|e| e.leaving || e.load == LoadLevel::Full);
    AddressList {
        addresses: spread(&order),
        ttl: jittered_ttl(moving, rng),
    }
}

/// Lower is better. A full entry far down, a distant one before it.
fn rank(entry: &EntryView, caller_domain: &str) -> (bool, bool, bool, u8, LoadLevel) {
    let hops = match (entry.failure_domain == caller_domain, entry.same_region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    let full = entry.load == LoadLevel::Full;
    (!entry.alive, entry.leaving, full, hops, entry.load)
}

fn spread(order: &[&EntryView]) -> SmallVec<[SmolStr; ADDRESSES]> {
    let mut chosen: SmallVec<[&EntryView; ADDRESSES]> =
        order.iter().take(ADDRESSES).copied().collect();
    let one_domain = chosen
        .windows(2)
        .all(|w| w[0].failure_domain == w[1].failure_domain);
    let first = chosen.first().map(|e| &e.failure_domain);
    let elsewhere = order.iter().find(|e| Some(&e.failure_domain) != first);
    if let (true, Some(other), ADDRESSES) = (one_domain, elsewhere, chosen.len()) {
        chosen[ADDRESSES - 1] = other;
    }
    chosen.iter().map(|e| e.address.clone()).collect()
}

fn jittered_ttl(moving: bool, rng: &mut fastrand::Rng) -> Duration {
    let keep = if moving { KEEP_SHORT } else { KEEP };
    keep.mul_f64(1.0 - KEEP_JITTER + 2.0 * KEEP_JITTER * rng.f64())
}
