//! Implements the peer service: the calls of other nodes.

use std::time::Duration;

use eelgrassmill_base::NodeId;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use crate::config_text::fetch_reply;
use crate::node::{Inner, PeerHandler};
use crate::tunnel::carry;
use crate::wire::convert::name;
use crate::wire::host_messages::{
    LimitReply, LimitRequest, SuspectReply, SuspectRequest, TunnelFrame,
};
use crate::wire::messages::{
    Batch, FetchConfigReply, FetchConfigRequest, ListReply, ListRequest, QuotaReply, QuotaRequest,
    ScheduleReply, ScheduleRequest, TimelineReply, TimelineRequest,
};
use crate::wire::server::PeerService;

impl<H: PeerHandler> PeerService for Inner<H> {
    fn exchange(&self, batch: Batch) -> Result<Batch, Status> {
        let from = self.check_caller(&batch.from)?;
        self.receive(&from, batch)
            .ok_or_else(|| Status::resource_exhausted("update queue is full"))
    }

    fn fetch_config(&self, req: FetchConfigRequest) -> Result<FetchConfigReply, Status> {
        self.check_caller(&req.from)?;
        let Some(current) = self.handler.config() else {
            return Ok(FetchConfigReply::default());
        };
        let base = self.handler.config_at_version(req.have_version);
        let base = base.filter(|base| base.checksum == req.have_checksum);
        Ok(fetch_reply(current, base.as_ref()))
    }

    fn timeline(&self, req: TimelineRequest) -> Result<TimelineReply, Status> {
        self.check_caller(&req.from)?;
        let events = self.handler.timeline(&req.query);
        Ok(TimelineReply { events })
    }

    fn quota(&self, req: QuotaRequest) -> Result<QuotaReply, Status> {
        self.check_caller(&req.from)?;
        Ok(self.handler.quota(req))
    }

    fn suspects(&self, req: SuspectRequest) -> Result<SuspectReply, Status> {
        self.check_caller(&req.from)?;
        Ok(self.handler.suspects(req))
    }

    fn limits(&self, req: LimitRequest) -> Result<LimitReply, Status> {
        self.check_caller(&req.from)?;
        Ok(self.handler.limits(req))
    }

    async fn list(&self, req: ListRequest) -> Result<ListReply, Status> {
        self.check_caller(&req.from)?;
        Ok(self.handler.list(req).await)
    }

    async fn schedule(&self, req: ScheduleRequest) -> Result<ScheduleReply, Status> {
        self.check_caller(&req.from)?;
        Ok(self.handler.schedule(req).await)
    }

    async fn tunnel(
        &self,
        mut frames: Streaming<TunnelFrame>,
    ) -> Result<ReceiverStream<Result<TunnelFrame, Status>>, Status> {
        let first = frames.message().await?;
        let first = first.ok_or_else(|| Status::invalid_argument("no frame"))?;
        let from = self.check_caller(&first.from)?;
        let timeout = Duration::from_millis(first.timeout_ms);
        let host = self.handler.connect_host(&from, &first.address, timeout);
        let host = host.await?;
        Ok(carry(host, frames))
    }
}

impl<H: PeerHandler> Inner<H> {
    /// The caller's node ID, unless the caller is blocked.
    fn check_caller(&self, from: &str) -> Result<NodeId, Status> {
        let from = name(from.to_string())
            .ok_or_else(|| Status::invalid_argument("missing or invalid caller ID"))?;
        if self.blocked_peers.contains(&from) {
            return Err(Status::unavailable("caller is blocked"));
        }
        Ok(from)
    }
}
