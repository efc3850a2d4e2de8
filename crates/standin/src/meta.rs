//! The headers that every request to a target carries.

use eelgrassmill_base::{Epoch, GroupId, IdempotencyKey, RequestId, TenantId, Tokens, Urgency};
use http::HeaderMap;

use crate::host::Host;
use crate::http::{header_number, header_text};
use crate::runs::{Run, RunEnd};

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub(crate) struct Meta {
    pub(crate) request: RequestId,
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) tenant: TenantId,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) urgency: Urgency,
    pub(crate) resume_from: Tokens,
    /// Whether the request names an offset, be it 0.
    pub(crate) names_offset: bool,
}

impl Meta {
    pub(crate) fn parse(headers: &HeaderMap) -> Meta {
        let key = header_text(headers, "idempotency-key");
        Meta {
            request: header_text(headers, "x-request-id").into(),
            group: header_text(headers, "x-group").into(),
            epoch: header_number(headers, "x-group-epoch").unwrap_or(0),
            tenant: header_text(headers, "x-tenant").into(),
            key: (!key.is_empty()).then(|| key.into()),
            urgency: urgency(header_text(headers, "priority")),
            resume_from: header_number(headers, "x-resume-from").unwrap_or(0),
            names_offset: headers.contains_key("x-resume-from"),
        }
    }

    /// A run of this request that begins on `host`.
    pub(crate) fn run(&self, host: &Host) -> Run {
        Run {
            request: self.request.clone(),
            key: self.key.clone(),
            host: host.spec.id.clone(),
            group: self.group.clone(),
            epoch: self.epoch,
            fence: host.fence(),
            tenant: self.tenant.clone(),
            resume_from: self.resume_from,
            leaving_ms: host.leaving_ms(),
            end: RunEnd::Running,
        }
    }
}

/// The `u` of a `Priority` header (RFC 9218); the default when there is none.
fn urgency(header: &str) -> Urgency {
    let fields = header.split(',').map(str::trim);
    let mut values = fields.filter_map(|field| field.strip_prefix("u="));
    let number = values.next().and_then(|value| value.parse().ok());
    number.filter(|u| *u <= 7).map_or(Urgency::DEFAULT, Urgency)
}
