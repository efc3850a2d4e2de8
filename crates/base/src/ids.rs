//! Aliases for ids and counters.
//!
//! They are aliases and not wrappers because the same short strings travel
//! through text, HTTP, tonic and the table service; the names below say which
//! one a signature means.

use smol_str::SmolStr;

/// Names one machine of the platform that can be a member of a model group.
pub type HostId = SmolStr;
/// Names one eelgrassmill process on an entry host.
pub type NodeId = SmolStr;
/// Names one model group, `SERVICE/INDEX`.
pub type GroupId = SmolStr;
/// Names a service in the operators' text.
pub type ServiceName = SmolStr;
/// Names a tenant in the operators' text.
pub type TenantId = SmolStr;
/// Names a model in the weight store.
pub type ModelName = SmolStr;
/// Names a version of a model in the weight store.
pub type ModelVersion = SmolStr;
/// Names a failure domain: what can lose power or network as one.
pub type FailureDomain = SmolStr;
/// Names a fabric domain: hosts within it reach each other at full speed.
pub type FabricDomain = SmolStr;
/// Names a region.
pub type Region = SmolStr;
/// Names one attempt-independent request, unique over all nodes.
pub type RequestId = SmolStr;
/// The caller's key for a request that must run at most once.
pub type IdempotencyKey = SmolStr;
/// Names one submission of a configuration, chosen by the submitter.
pub type SubmitId = SmolStr;
/// Names one transaction of the table service.
pub type TxnId = SmolStr;

/// Counts the formations of one group; rises with every change of members.
pub type Epoch = u64;
/// Fencing number of an order; a host that checks refuses a lower one.
pub type Fence = u64;
/// Distinguishes the starts of one process or host; a later start has a higher one.
pub type Incarnation = u64;
/// Counts accepted configurations.
pub type ConfigVersion = u64;
/// Version of a row in the table service; 0 means that the row is absent.
pub type RowVersion = u64;
/// A number of model tokens.
pub type Tokens = u64;
