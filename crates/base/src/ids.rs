//! Type aliases for ids and counters.
//!
//! They are aliases and not newtypes because the same short strings pass
//! through text, HTTP, tonic and the table service; the aliases document which
//! one a signature takes.

use smol_str::SmolStr;

/// Names one machine of the platform that can be a member of a model group.
pub type HostId = SmolStr;
/// Names one eelgrassmill process on an entry host.
pub type NodeId = SmolStr;
/// Names one model group, `SERVICE/INDEX`.
pub type GroupId = SmolStr;
/// Names a service in the operators' configuration.
pub type ServiceName = SmolStr;
/// Names a tenant in the operators' configuration.
pub type TenantId = SmolStr;
/// Names a model in the weight store.
pub type ModelName = SmolStr;
/// Names a version of a model in the weight store.
pub type ModelVersion = SmolStr;
/// Names a failure domain: hosts that can lose power or network together.
pub type FailureDomain = SmolStr;
/// Names a fabric domain: hosts within it communicate at full bandwidth.
pub type FabricDomain = SmolStr;
/// Names a region.
pub type Region = SmolStr;
/// Names one request, the same for all its attempts; unique across all nodes.
pub type RequestId = SmolStr;
/// Chosen by the caller for a request that must run at most once.
pub type IdempotencyKey = SmolStr;
/// Names one submission of a configuration, chosen by the submitter.
pub type SubmitId = SmolStr;
/// Names one transaction of the table service.
pub type TxnId = SmolStr;

/// Generation of one group's membership; increases with every change of members.
pub type Epoch = u64;
/// Fencing token of an order; a host that checks it refuses a lower one.
pub type Fence = u64;
/// Distinguishes the starts of one process or host; increases with every start.
pub type Incarnation = u64;
/// Counts accepted configurations.
pub type ConfigVersion = u64;
/// Version of a row in the table service; 0 means that the row is absent.
pub type RowVersion = u64;
/// A number of model tokens.
pub type Tokens = u64;
