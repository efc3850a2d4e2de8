//! Wire encoding of list changes between nodes: JSON, compressed with zlib if it is long.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ports::SourceError;

/// First byte of a zlib stream with the default window size; no JSON text begins with it.
const ZLIB_MAGIC: u8 = b'x';
/// Longest decoded change, in bytes: a list of 40,000 hosts.
const MAX_DECODED_BYTES: u64 = 16 << 20;
/// Shorter texts, in bytes, are not compressed: they fit into one packet.
const MIN_COMPRESSED_BYTES: usize = 1200;

/// Encodes a change.
pub(crate) fn encode(change: &impl Serialize) -> Result<Vec<u8>, SourceError> {
    let text = serde_json::to_vec(change).map_err(malformed)?;
    if text.len() < MIN_COMPRESSED_BYTES {
        return Ok(text);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&text).map_err(malformed)?;
    encoder.finish().map_err(malformed)
}

/// Decodes a change, also an uncompressed one of any length from an older build.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, SourceError> {
    if bytes.first() != Some(&ZLIB_MAGIC) {
        return serde_json::from_slice(bytes).map_err(malformed);
    }
    let mut text = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(MAX_DECODED_BYTES);
    decoder.read_to_end(&mut text).map_err(malformed)?;
    serde_json::from_slice(&text).map_err(malformed)
}

fn malformed(err: impl std::fmt::Display) -> SourceError {
    SourceError::Malformed(err.to_string())
}

#[cfg(test)]
mod tests {
    use eelgrassmill_fleet::{FleetChange, Host, HostState, Membership, MembershipPhase};
    use googletest::prelude::*;
    use smol_str::format_smolstr;

    use super::*;

    /// Hosts of the largest fleet in service, with names and addresses as platforms assign them.
    const HOSTS: u64 = 2640;
    /// The slowest link of a node, in bytes a second.
    const SLOW_LINK: f64 = 20e6 / 8.0;
    /// Time limit in seconds for a node that starts to receive its first lists.
    const MAX_TRANSFER: f64 = 0.1;

    fn host(n: u64) -> Host {
        let hash = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
        Host {
            id: format_smolstr!("i-{hash:010x}"),
            started_ms: 1_780_000_000_000 + hash % 60_000,
            service: "drafts".into(),
            address: format_smolstr!("10.1.{}.{}:8220", n / 250, n % 250),
            failure_domain: format_smolstr!("hall-{}", n % 5),
            fabric: format_smolstr!("fabric-{}", n / 35),
            state: HostState::Ready,
            slots: 13,
            cold_ms: 0,
            staged: ["model-large".into()].into_iter().collect(),
            model: Some("model-large".into()),
            membership: Some(Membership {
                replica: format_smolstr!("r1-{}", n / 16),
                epoch: (1 << 20) + n / 16,
                rank: (n % 16) as usize,
                phase: MembershipPhase::Ready,
            }),
        }
    }

    /// Guards against large snapshots, which delay the start of nodes with slow links and cost the
    /// node that serves them megabytes for each.
    #[gtest]
    fn a_snapshot_of_twice_the_fleet_fits_a_slow_link() -> Result<()> {
        for hosts in [HOSTS, 2 * HOSTS] {
            let list = FleetChange::Snapshot((0..hosts).map(host).collect());
            let bytes = encode(&list).or_fail()?;
            let limit = MAX_TRANSFER * SLOW_LINK * hosts as f64 / HOSTS as f64 / 2.0;
            expect_that!(bytes.len() as f64, le(limit), "{hosts} hosts");
            expect_that!(decode::<FleetChange>(&bytes).or_fail()?, eq(&list));
        }
        Ok(())
    }

    #[gtest]
    fn single_changes_and_uncompressed_lists_are_decoded() -> Result<()> {
        let put = FleetChange::Put(Box::new(host(1)));
        let list = FleetChange::Snapshot(vec![host(1), host(2)]);
        for change in [put, list] {
            let plain = serde_json::to_vec(&change).or_fail()?;
            expect_that!(decode::<FleetChange>(&plain).or_fail()?, eq(&change));
            let encoded = encode(&change).or_fail()?;
            expect_that!(decode::<FleetChange>(&encoded).or_fail()?, eq(&change));
        }
        expect_that!(decode::<FleetChange>(b"x is no list"), err(anything()));
        expect_that!(decode::<FleetChange>(b""), err(anything()));
        Ok(())
    }

    /// Guards against a configuration of hundreds of kilobytes that delays callers' requests on a
    /// node's slow link.
    #[gtest]
    fn configuration_text_is_compressed() -> Result<()> {
        let route = |n: usize| {
            format!(
                r#"{{"route":"r-{n:07}","host":"site{n}.example","path":"/p{n}/","repeat":"once",
                "timeout":6000,"aim":300,"urgency":1,"target":"drafts","attempts":2,
                "needs-key":true,"stream":true,"resumable":true,"longest-pause":200}}"#
            )
        };
        let text: String = (0..250).map(route).collect();
        let bytes = encode(&text).or_fail()?;
        expect_that!(bytes.len(), le(text.len() / 4));
        expect_that!(decode::<String>(&bytes).or_fail()?, eq(&text));
        Ok(())
    }
}
