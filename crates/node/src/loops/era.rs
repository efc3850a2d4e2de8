//! Reading and advancing the claims' era.

use std::sync::Arc;
use std::time::Instant;

use eelgrassmill_claim::{ERA_KEY, Era};
use eelgrassmill_stores::{Condition, Table, TableError, Txn, Write};

use super::rows::decode;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Keeps this node's view of the era, and begins the next one when it is time.
pub(crate) struct EraKeeper {
    core: Arc<Core>,
}

impl EraKeeper {
    pub(crate) fn new(core: Arc<Core>) -> EraKeeper {
        EraKeeper { core }
    }

    pub(crate) fn step(&mut self) {
        if let Err(err) = self.turn() {
            tracing::debug!(%err, "era not read");
        }
    }

    fn turn(&self) -> Result<(), TableError> {
        let began = Instant::now();
        let row = self.core.platform.table.get(ERA_KEY)?;
        let (era, version): (Era, _) = row.as_ref().and_then(decode).unwrap_or_default();
        let change = {
            let mut clock = lock(&self.core.era);
            clock.observe(era, version, began);
            clock.advance(Instant::now())
        };
        let Some(change) = change else {
            return Ok(());
        };
        let txn = Txn {
            id: self.core.ident.unique(),
            conditions: vec![Condition {
                key: ERA_KEY.into(),
                version: change.version,
            }],
            writes: vec![Write {
                key: ERA_KEY.into(),
                value: Some(change.era.to_string()),
            }],
        };
        // Lost to another node or not: the next reading tells.
        self.core.platform.table.commit(&txn).map(drop)
    }
}
