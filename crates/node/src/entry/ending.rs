//! What is noted of a call at its end: metrics, and an event of the time line.

use std::time::Instant;

use eelgrassmill_base::{Outcome, RequestId, TenantId, Urgency};
use eelgrassmill_timeline::EventKind;
use http::{Response, StatusCode};
use smol_str::SmolStr;

use super::body::AnswerBody;
use super::call::Call;
use super::problem::Problem;
use super::relay::Ended;
use crate::metrics::RequestEnd;
use crate::state::core::Core;

/// Why a request breaks off that outlasts this node.
const NODE_ENDS: &str = "this node exits before its end";

/// What is noted of a call at its end.
pub(crate) struct Ending {
    pub(crate) id: RequestId,
    tenant: TenantId,
    urgency: Urgency,
    began: Instant,
}

impl Ending {
    pub(crate) fn of(call: &Call) -> Ending {
        Ending {
            id: call.id.clone(),
            tenant: call.tenant.clone(),
            urgency: call.urgency,
            began: call.began,
        }
    }

    /// Notes an answer, or the refusal of one. A stream is noted by its own end.
    pub(crate) fn note(&self, core: &Core, result: &Result<Response<AnswerBody>, Problem>) {
        match result {
            Ok(resp) if matches!(resp.body(), AnswerBody::Stream(_)) => {}
            Ok(resp) => self.answered(core, resp.status()),
            Err(problem) => self.refused(core, problem),
        }
    }

    /// Notes the end of a stream.
    ///
    /// Its head says nothing: the caller's answer may still break off.
    pub(crate) fn note_stream(&self, core: &Core, ended: &Ended) {
        match ended {
            Ended::Whole(_) => self.answered(core, StatusCode::OK),
            Ended::CallerLeft => self.broke(core, RequestEnd::CallerLeft, "the caller left".into()),
            Ended::Broken(failure) => {
                self.broke(core, RequestEnd::Unknown, failure.detail.clone());
            }
        }
    }

    /// Notes that this node's exit cuts it off; gives the word for its caller.
    ///
    /// Logged, since the time line of a node ends with it.
    pub(crate) fn cut(&self) -> &'static str {
        tracing::warn!(
            request = %self.id,
            tenant = %self.tenant,
            ran_ms = self.began.elapsed().as_millis() as u64,
            "cut off, {NODE_ENDS}"
        );
        NODE_ENDS
    }

    fn answered(&self, core: &Core, status: StatusCode) {
        let took = self.began.elapsed();
        let end = RequestEnd::Answered;
        core.metrics.request_ended(&self.tenant, self.urgency, end);
        core.metrics.answered(self.urgency, took);
        core.journal.note(EventKind::RequestAnswered {
            request: self.id.clone(),
            status: status.as_u16(),
            took_ms: took.as_millis() as u64,
        });
    }

    fn broke(&self, core: &Core, end: RequestEnd, reason: SmolStr) {
        core.metrics.request_ended(&self.tenant, self.urgency, end);
        core.journal.note(EventKind::RequestRefused {
            request: self.id.clone(),
            status: StatusCode::OK.as_u16(),
            outcome: outcome_name(Outcome::Unknown),
            reason,
        });
    }

    fn refused(&self, core: &Core, problem: &Problem) {
        let end = match problem.outcome() {
            Outcome::NotRun => RequestEnd::NotRun,
            _ => RequestEnd::Unknown,
        };
        if end == RequestEnd::NotRun {
            core.count(&self.tenant, |c| c.refused += 1);
        }
        core.metrics.request_ended(&self.tenant, self.urgency, end);
        core.journal.note(EventKind::RequestRefused {
            request: self.id.clone(),
            status: problem.status().as_u16(),
            outcome: outcome_name(problem.outcome()),
            reason: problem.detail().into(),
        });
    }
}

pub(crate) fn outcome_name(outcome: Outcome) -> SmolStr {
    match outcome {
        Outcome::NotRun => "not-run".into(),
        Outcome::Unknown => "unknown".into(),
        Outcome::Answered => "answered".into(),
    }
}
