//! What a scheduler is responsible for.

use crate::{FailureDomain, ModelName, ServiceName, value};

value! {
    /// The requests that one scheduler assigns.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct SchedulerScope {
        /// Their service.
        pub service: ServiceName,
        /// Their model.
        pub model: ModelName,
        /// The failure domain of the heads; `None` for all.
        pub heads_in: Option<FailureDomain>,
    }
}
