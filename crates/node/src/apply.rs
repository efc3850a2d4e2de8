//! Putting an accepted configuration in force at this node.

use eelgrassmill_config::ApplyOutcome;
use eelgrassmill_peer::{ConfigAnnouncement, ConfigText, Item, PeerNode};
use eelgrassmill_timeline::EventKind;

use crate::metrics::Promise;
use crate::peers::Peers;
use crate::state::core::Core;

/// Applies `text` if it is newer than what is in force, and tells the peers.
///
/// The table's reader and the peers' announcements both end here, so a version
/// is in force as soon as the quicker of the two brings it.
pub(crate) fn apply_config(core: &Core, peer: &PeerNode<Peers>, text: &ConfigText) {
    if text.version <= core.config.version() {
        return;
    }
    match core.config.offer(text) {
        Ok(ApplyOutcome::Applied { from }) => {
            let to = text.version;
            core.set_services(&core.config.config());
            core.journal.note(EventKind::ConfigApplied { from, to });
            core.metrics.set_config_version(to);
            peer.publish(Item::Config(ConfigAnnouncement {
                version: to,
                checksum: text.checksum.clone(),
            }));
        }
        Ok(ApplyOutcome::Unchanged) => {}
        // The reader offers the same text at each reading.
        Err(_) if core.config.is_refused(text) => {}
        Err(err) => {
            core.config.refuse(text);
            core.metrics.promise_guarded(Promise::ConfigNeverReverts);
            let version = text.version;
            let reason = smol_str::format_smolstr!("{err}");
            core.journal
                .note(EventKind::ConfigRefused { version, reason });
        }
    }
}
