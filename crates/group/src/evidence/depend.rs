//! Whether a service may serve, given what it depends on.

use eelgrassmill_base::ServiceName;
use eelgrassmill_config::{Config, ServiceKind};

/// Why a service may not serve.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ServiceUnavailable {
    /// The configuration doesn't name it.
    #[error("service {0} is not configured")]
    NotConfigured(ServiceName),
    /// None of its own groups or targets can serve.
    #[error("no group or target of service {0} can serve")]
    NoBackend(ServiceName),
    /// A service that it depends on can't serve.
    #[error("service {service} depends on {on}, which can't serve: {cause}")]
    DependencyUnavailable {
        /// The service.
        service: ServiceName,
        /// What it depends on.
        on: ServiceName,
        /// Why that can't serve.
        cause: Box<ServiceUnavailable>,
    },
}

/// Whether `service` may serve, where `there` says if a service of groups or targets of its
/// own has one that can serve.
///
/// The configuration has no cycles, so the walk ends; its depth is that of the dependencies.
///
/// # Errors
/// Says what is missing.
pub fn can_serve(
    cfg: &Config,
    service: &str,
    there: &impl Fn(&ServiceName) -> bool,
) -> Result<(), ServiceUnavailable> {
    let Some(known) = cfg.services.get(service) else {
        return Err(ServiceUnavailable::NotConfigured(service.into()));
    };
    let base = match &known.kind {
        ServiceKind::Adapter { base, .. } => Some(base),
        ServiceKind::Model(_) | ServiceKind::Plain { .. } if there(&known.name) => None,
        _ => return Err(ServiceUnavailable::NoBackend(known.name.clone())),
    };
    for on in base.into_iter().chain(&known.depends_on) {
        can_serve(cfg, on, there).map_err(|cause| ServiceUnavailable::DependencyUnavailable {
            service: known.name.clone(),
            on: on.clone(),
            cause: Box::new(cause),
        })?;
    }
    Ok(())
}
