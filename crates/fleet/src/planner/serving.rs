//! Counts of the replicas of each model that serve or are about to.

use std::collections::HashMap;

use eelgrassmill_base::{FabricDomain, ModelName, ServiceName};

use crate::planner::formation::{Formation, Purpose};

type ModelKey = (ServiceName, ModelName);

/// Counts of serving replicas, by model and fabric domain.
///
/// Computed once per planning pass: decisions in each domain compare the counts of all models
/// several times, and scanning all formations each time would make a pass quadratic.
#[derive(Clone, Debug, Default)]
pub(super) struct ServingCounts {
    in_domain: HashMap<FabricDomain, HashMap<ModelKey, usize>>,
    overall: HashMap<ModelKey, usize>,
}

impl ServingCounts {
    pub(super) fn of<'f>(formations: impl Iterator<Item = &'f Formation>) -> ServingCounts {
        let mut counts = ServingCounts::default();
        for formation in formations {
            counts.add(formation);
        }
        counts
    }

    pub(super) fn add(&mut self, f: &Formation) {
        if f.purpose != Purpose::Serve || f.loss.is_some() {
            return;
        }
        let key = (f.service.clone(), f.model.clone());
        let here = self.in_domain.entry(f.fabric.clone()).or_default();
        *here.entry(key.clone()).or_default() += 1;
        *self.overall.entry(key).or_default() += 1;
    }

    /// Replicas of a model, in one fabric domain or in all.
    pub(super) fn count(
        &self,
        service: &ServiceName,
        model: &ModelName,
        fabric: Option<&FabricDomain>,
    ) -> usize {
        let counts = match fabric {
            Some(fabric) => self.in_domain.get(fabric),
            None => Some(&self.overall),
        };
        let key = (service.clone(), model.clone());
        counts
            .and_then(|c| c.get(&key))
            .copied()
            .unwrap_or_default()
    }
}
