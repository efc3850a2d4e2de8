//! Whether a service can serve, given its dependencies.

use eelgrassmill_base::ServiceName;
use eelgrassmill_config::{Config, ServiceKind};

/// Why a service can't serve.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ServiceUnavailable {
    /// It is not in the configuration.
    #[error("service {0} is not configured")]
    NotConfigured(ServiceName),
    /// None of its groups or targets can serve.
    #[error("no group or target of service {0} can serve")]
    NoBackend(ServiceName),
    /// One of its dependencies can't serve.
    #[error("service {service} depends on {dependency}, which can't serve: {cause}")]
    DependencyUnavailable {
        /// The service.
        service: ServiceName,
        /// The dependency.
        dependency: ServiceName,
        /// Why the dependency can't serve.
        cause: Box<ServiceUnavailable>,
    },
}

/// Checks that `service` and all its dependencies can serve.
///
/// `has_backend` returns whether a service with groups or targets of its own has one that can
/// serve. The configuration has no dependency cycles, so the recursion ends.
///
/// # Errors
/// Returns what is missing.
pub fn can_serve(
    cfg: &Config,
    service: &str,
    has_backend: &impl Fn(&ServiceName) -> bool,
) -> Result<(), ServiceUnavailable> {
    let Some(service_cfg) = cfg.services.get(service) else {
        return Err(ServiceUnavailable::NotConfigured(service.into()));
    };
    let base = match &service_cfg.kind {
        ServiceKind::Adapter { base, .. } => Some(base),
        ServiceKind::Model(_) | ServiceKind::Plain { .. } if has_backend(&service_cfg.name) => None,
        _ => return Err(ServiceUnavailable::NoBackend(service_cfg.name.clone())),
    };
    for dependency in base.into_iter().chain(&service_cfg.depends_on) {
        can_serve(cfg, dependency, has_backend).map_err(|cause| {
            ServiceUnavailable::DependencyUnavailable {
                service: service_cfg.name.clone(),
                dependency: dependency.clone(),
                cause: Box::new(cause),
            }
        })?;
    }
    Ok(())
}
