//! What this node answers to the calls of others.

use eelgrassmill_base::NodeId;
use tonic::Status;

use crate::config_text::reply;
use crate::node::{Inner, PeerHandler};
use crate::wire::convert::name;
use crate::wire::messages::{
    Batch, FetchConfigReply, FetchConfigRequest, ListReply, ListRequest, QuotaReply, QuotaRequest,
    ScheduleReply, ScheduleRequest, TimelineReply, TimelineRequest,
};
use crate::wire::server::Calls;

impl<H: PeerHandler> Calls for Inner<H> {
    fn exchange(&self, batch: Batch) -> Result<Batch, Status> {
        let from = self.admit(&batch.from)?;
        self.receive(&from, batch)
            .ok_or_else(|| Status::resource_exhausted("too many updates wait to be handled"))
    }

    fn fetch_config(&self, req: FetchConfigRequest) -> Result<FetchConfigReply, Status> {
        self.admit(&req.from)?;
        let Some(current) = self.handler.config() else {
            return Ok(FetchConfigReply::default());
        };
        let base = self.handler.config_at_version(req.have_version);
        let base = base.filter(|base| base.checksum == req.have_checksum);
        Ok(reply(current, base.as_ref()))
    }

    fn timeline(&self, req: TimelineRequest) -> Result<TimelineReply, Status> {
        self.admit(&req.from)?;
        let events = self.handler.timeline(&req.query);
        Ok(TimelineReply { events })
    }

    fn quota(&self, req: QuotaRequest) -> Result<QuotaReply, Status> {
        self.admit(&req.from)?;
        Ok(self.handler.quota(req))
    }

    async fn list(&self, req: ListRequest) -> Result<ListReply, Status> {
        self.admit(&req.from)?;
        Ok(self.handler.list(req).await)
    }

    async fn schedule(&self, req: ScheduleRequest) -> Result<ScheduleReply, Status> {
        self.admit(&req.from)?;
        Ok(self.handler.schedule(req).await)
    }
}

impl<H: PeerHandler> Inner<H> {
    /// The caller's name, unless its calls are refused.
    fn admit(&self, from: &str) -> Result<NodeId, Status> {
        let from =
            name(from.to_string()).ok_or_else(|| Status::invalid_argument("no caller named"))?;
        if self.blocked_peers.contains(&from) {
            return Err(Status::unavailable("calls are refused by setting"));
        }
        Ok(from)
    }
}
