//! Measured demand of the models.

use std::collections::HashMap;

use eelgrassmill_base::{ModelName, ServiceName};

/// Demand of one model, smoothed over 2 s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelDemand {
    /// Slots in use.
    pub used: f64,
    /// Slots that new requests want: their rate times the mean time that a slot is held.
    pub wanted: f64,
    /// The highest value of `wanted` in the last 8 s.
    pub peak: f64,
    /// Rejections per second.
    pub rejected_per_second: f64,
    /// Prompt tokens per second.
    pub prompt_tokens_per_second: f64,
}

/// Demand of all models whose reports are complete and recent.
#[derive(Clone, Debug, Default)]
pub struct DemandSnapshot {
    models: HashMap<ServiceName, HashMap<ModelName, ModelDemand>>,
}

impl DemandSnapshot {
    /// The demand of a model, if it is known.
    pub fn get(&self, service: &str, model: &str) -> Option<&ModelDemand> {
        self.models.get(service)?.get(model)
    }

    /// Sets the demand of a model.
    pub fn insert(
        &mut self,
        service: impl Into<ServiceName>,
        model: impl Into<ModelName>,
        demand: ModelDemand,
    ) {
        let models = self.models.entry(service.into()).or_default();
        models.insert(model.into(), demand);
    }
}
