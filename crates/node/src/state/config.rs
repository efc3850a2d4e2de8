//! The configuration in force at this node.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use eelgrassmill_base::{ConfigVersion, SubmitId};
use eelgrassmill_config::{AppliedConfig, ApplyError, ApplyOutcome, Config};
use eelgrassmill_peer::ConfigText;
use smol_str::SmolStr;

use super::lock::lock;

/// Former texts kept, so that a peer a few versions behind gets a difference.
const FORMER_KEPT: usize = 8;

struct Held {
    applied: AppliedConfig,
    author: SmolStr,
    submit_id: SubmitId,
    former: VecDeque<ConfigText>,
    /// Version and checksum of the text that was refused last.
    refused: Option<(ConfigVersion, SmolStr)>,
}

/// The configuration in force. Invariant: its version never falls.
pub(crate) struct ConfigCell {
    held: Mutex<Held>,
}

impl ConfigCell {
    pub(crate) fn new() -> ConfigCell {
        ConfigCell {
            held: Mutex::new(Held {
                applied: AppliedConfig::empty(),
                author: SmolStr::default(),
                submit_id: SubmitId::default(),
                former: VecDeque::new(),
                refused: None,
            }),
        }
    }

    pub(crate) fn config(&self) -> Arc<Config> {
        lock(&self.held).applied.config().clone()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        lock(&self.held).applied.version()
    }

    /// Applies `text` when it is newer than what is in force.
    pub(crate) fn offer(&self, text: &ConfigText) -> Result<ApplyOutcome, ApplyError> {
        let mut held = lock(&self.held);
        let before = held.text();
        let offered = held
            .applied
            .apply(text.version, &text.text, &text.checksum)?;
        if let ApplyOutcome::Applied { .. } = offered {
            held.author = text.author.clone();
            held.submit_id = text.submit_id.clone();
            held.remember(before);
        }
        Ok(offered)
    }

    /// Whether `text` was the last one that this node refused.
    pub(crate) fn is_refused(&self, text: &ConfigText) -> bool {
        let held = lock(&self.held);
        let refused = held.refused.as_ref();
        refused.is_some_and(|(v, sum)| *v == text.version && *sum == text.checksum)
    }

    /// Remembers that `text` was refused.
    pub(crate) fn refuse(&self, text: &ConfigText) {
        lock(&self.held).refused = Some((text.version, text.checksum.clone()));
    }

    /// The text in force; `None` while there is none.
    pub(crate) fn text(&self) -> Option<ConfigText> {
        lock(&self.held).text()
    }

    /// A former text that is still at hand.
    pub(crate) fn former(&self, version: ConfigVersion) -> Option<ConfigText> {
        let held = lock(&self.held);
        held.former.iter().find(|f| f.version == version).cloned()
    }
}

impl Held {
    fn text(&self) -> Option<ConfigText> {
        (self.applied.version() > 0).then(|| ConfigText {
            version: self.applied.version(),
            checksum: self.applied.checksum().clone(),
            author: self.author.clone(),
            submit_id: self.submit_id.clone(),
            text: self.applied.text().to_string(),
        })
    }

    fn remember(&mut self, former: Option<ConfigText>) {
        self.former.extend(former);
        while self.former.len() > FORMER_KEPT {
            self.former.pop_front();
        }
    }
}
