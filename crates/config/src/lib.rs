//! The operators' text: parse, check, compare, canonical form and version.

mod model;

pub use crate::model::{
    Config, ModelService, RepairWeight, Service, ServiceKind, TargetRule, Tenant,
};
