//! What may cause a crash: a request, or a part of its prompt that other requests share.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{stable_hash, value};
use smallvec::SmallVec;

use crate::suspects::CrashedRun;

/// Identifies a request or a part of a prompt, the same at every node.
pub type Fingerprint = u64;
/// Identifies a part of a prompt, whatever the service.
pub type PartId = u64;

/// Maximum number of parts of one prompt that are candidates; the first ones are.
const MAX_PARTS: usize = 64;
/// Maximum number of candidates that a node reports as running in one crash.
pub const MAX_REPORTED_CANDIDATES: usize = 2048;

value! { copy
    /// A request or a part of its prompt, as a possible cause of crashes.
    pub struct CrashCandidate {
        /// Identifies it.
        pub fingerprint: Fingerprint,
        /// 0 for the request itself, 1 for the last part that it shares with other requests, and so
        /// on to its first part. Quarantining a broader candidate rejects more requests.
        pub breadth: u8,
    }
}

/// The candidates of one request, the request itself first, then its parts from the first one on.
pub type CrashCandidates = SmallVec<[CrashCandidate; 4]>;

/// Hashes a request so that identical requests of a tenant share a fingerprint.
pub fn request_fingerprint(tenant: &str, path: &str, body: impl AsRef<[u8]>) -> Fingerprint {
    stable_hash([tenant.as_bytes(), path.as_bytes(), body.as_ref()])
}

/// Fingerprint of a prompt part at a service. One that crashes the hosts of a service may be
/// processed by those of another one.
fn part_fingerprint(service: &str, part: PartId) -> Fingerprint {
    stable_hash([&b"part"[..], service.as_bytes(), &part.to_be_bytes()[..]])
}

/// Returns the candidates of a request at a service. `parts` are the parts that it shares with
/// others, in order; repeated ones count once.
pub fn crash_candidates(
    request: Fingerprint,
    service: &str,
    parts: impl AsRef<[PartId]>,
) -> CrashCandidates {
    let mut distinct: SmallVec<[PartId; 4]> = SmallVec::new();
    for part in parts.as_ref() {
        if distinct.len() >= MAX_PARTS {
            break;
        }
        if !distinct.contains(part) {
            distinct.push(*part);
        }
    }
    let itself = CrashCandidate {
        fingerprint: request,
        breadth: 0,
    };
    let breadths = (1..=MAX_PARTS as u8).take(distinct.len()).rev();
    let shared = distinct
        .iter()
        .zip(breadths)
        .map(|(part, breadth)| CrashCandidate {
            fingerprint: part_fingerprint(service, *part),
            breadth,
        });
    std::iter::once(itself).chain(shared).collect()
}

value! {
    /// A run that broke when its host crashed.
    pub struct BrokenRun {
        /// The request and its parts.
        pub candidates: CrashCandidates,
        /// Time from the start of the run to the crash; zero if unknown.
        pub ran_for: Duration,
        /// Whether it had produced output.
        pub started: bool,
        /// Time from its first output to its last one.
        pub wrote_for: Duration,
    }
}

/// Returns the candidates that were running in a crash, each once.
///
/// If they are too many, the first candidates of each run are kept: the many parts of one request
/// must not displace the candidates of others.
pub fn crashed_runs(runs: impl AsRef<[BrokenRun]>) -> Vec<CrashedRun> {
    let runs = runs.as_ref();
    let most = runs.iter().map(|run| run.candidates.len()).max();
    let mut merged: BTreeMap<Fingerprint, CrashedRun> = BTreeMap::new();
    let by_position = (0..most.unwrap_or_default()).flat_map(|index| {
        runs.iter()
            .filter_map(move |run| Some((run, *run.candidates.get(index)?)))
    });
    for (run, candidate) in by_position {
        let found = CrashedRun {
            fingerprint: candidate.fingerprint,
            breadth: candidate.breadth,
            ran_for: run.ran_for,
            started: run.started,
            wrote_for: run.wrote_for,
        };
        if let Some(known) = merged.get_mut(&candidate.fingerprint) {
            known.merge(&found);
        } else if merged.len() < MAX_REPORTED_CANDIDATES {
            merged.insert(candidate.fingerprint, found);
        }
    }
    merged.into_values().collect()
}
