//! The server of the peer service.

use std::convert::Infallible;
use std::future::{Future, ready};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service};
use tonic::server::{Grpc, NamedService};
use tonic::{Request, Response, Status, Streaming};
use tonic_prost::ProstCodec;

use crate::wire::host_messages::{
    LimitReply, LimitRequest, SuspectReply, SuspectRequest, TunnelFrame,
};
use crate::wire::messages::{
    Batch, FetchConfigReply, FetchConfigRequest, ListReply, ListRequest, QuotaReply, QuotaRequest,
    ScheduleReply, ScheduleRequest, TimelineReply, TimelineRequest,
};
use crate::wire::{MAX_REPLY_BYTES, MAX_REQUEST_BYTES, SERVICE, path};

/// The calls of the peer service.
pub(crate) trait PeerService: Send + Sync + 'static {
    fn exchange(&self, batch: Batch) -> Result<Batch, Status>;
    fn fetch_config(&self, req: FetchConfigRequest) -> Result<FetchConfigReply, Status>;
    fn timeline(&self, req: TimelineRequest) -> Result<TimelineReply, Status>;
    fn quota(&self, req: QuotaRequest) -> Result<QuotaReply, Status>;
    fn suspects(&self, req: SuspectRequest) -> Result<SuspectReply, Status>;
    fn limits(&self, req: LimitRequest) -> Result<LimitReply, Status>;
    /// May wait for a change of the list.
    fn list(&self, req: ListRequest) -> impl Future<Output = Result<ListReply, Status>> + Send;
    /// May wait for a slot.
    fn schedule(
        &self,
        req: ScheduleRequest,
    ) -> impl Future<Output = Result<ScheduleReply, Status>> + Send;
    /// Carries the bytes of a connection to a host.
    fn tunnel(
        &self,
        frames: Streaming<TunnelFrame>,
    ) -> impl Future<Output = Result<ReceiverStream<Result<TunnelFrame, Status>>, Status>> + Send;
}

/// Dispatches HTTP/2 requests to a [`PeerService`].
pub(crate) struct PeerServer<C> {
    service: Arc<C>,
}

impl<C> PeerServer<C> {
    pub(crate) fn new(service: Arc<C>) -> PeerServer<C> {
        PeerServer { service }
    }
}

impl<C> Clone for PeerServer<C> {
    fn clone(&self) -> PeerServer<C> {
        PeerServer::new(Arc::clone(&self.service))
    }
}

impl<C> NamedService for PeerServer<C> {
    const NAME: &'static str = SERVICE;
}

impl<C: PeerService> Service<http::Request<Body>> for PeerServer<C> {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        let service = Arc::clone(&self.service);
        match req.uri().path() {
            path::EXCHANGE => unary(req, MAX_REQUEST_BYTES, move |batch| {
                ready(service.exchange(batch))
            }),
            path::FETCH_CONFIG => unary(req, MAX_REQUEST_BYTES, move |r| {
                ready(service.fetch_config(r))
            }),
            path::TIMELINE => unary(req, MAX_REQUEST_BYTES, move |r| ready(service.timeline(r))),
            path::QUOTA => unary(req, MAX_REQUEST_BYTES, move |r| ready(service.quota(r))),
            path::LIMITS => unary(req, MAX_REQUEST_BYTES, move |r| ready(service.limits(r))),
            path::SUSPECTS => unary(req, MAX_REQUEST_BYTES, move |r| ready(service.suspects(r))),
            path::SCHEDULE => unary(req, MAX_REQUEST_BYTES, move |r| async move {
                service.schedule(r).await
            }),
            path::LIST => unary(req, MAX_REQUEST_BYTES, move |r| async move {
                service.list(r).await
            }),
            path::TUNNEL => Box::pin(async move {
                let codec = ProstCodec::<TunnelFrame, TunnelFrame>::default();
                let mut grpc = Grpc::new(codec).max_decoding_message_size(MAX_REQUEST_BYTES);
                let handler = move |frames| async move { service.tunnel(frames).await };
                let method = Method {
                    handler: Some(handler),
                };
                Ok(grpc.streaming(method, req).await)
            }),
            _ => Box::pin(async { Ok(Status::unimplemented("unknown method").into_http()) }),
        }
    }
}

/// Decodes one message of at most `limit` bytes, calls `handler` with it and encodes the result.
fn unary<Req, Res, Fut>(
    req: http::Request<Body>,
    limit: usize,
    handler: impl FnOnce(Req) -> Fut + Send + 'static,
) -> BoxFuture<http::Response<Body>, Infallible>
where
    Fut: Future<Output = Result<Res, Status>> + Send + 'static,
    Req: prost::Message + Default + 'static,
    Res: prost::Message + Default + 'static,
{
    Box::pin(async move {
        let codec = ProstCodec::<Res, Req>::default();
        let mut grpc = Grpc::new(codec)
            .max_decoding_message_size(limit)
            .max_encoding_message_size(MAX_REPLY_BYTES);
        let method = Method {
            handler: Some(handler),
        };
        Ok(grpc.unary(method, req).await)
    })
}

/// A single-use service for one call.
struct Method<F> {
    handler: Option<F>,
}

impl<F, Fut, Req, Res> Service<Request<Req>> for Method<F>
where
    F: FnOnce(Req) -> Fut + Send + 'static,
    Fut: Future<Output = Result<Res, Status>> + Send + 'static,
    Req: Send + 'static,
    Res: Send + 'static,
{
    type Response = Response<Res>;
    type Error = Status;
    type Future = BoxFuture<Response<Res>, Status>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Req>) -> Self::Future {
        let handler = self.handler.take();
        Box::pin(async move {
            match handler {
                Some(handler) => handler(req.into_inner()).await.map(Response::new),
                None => Err(Status::internal("call was handled twice")),
            }
        })
    }
}
