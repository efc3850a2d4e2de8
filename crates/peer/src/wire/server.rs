//! The serving side of the calls.

use std::convert::Infallible;
use std::future::{Future, ready};
use std::sync::Arc;
use std::task::{Context, Poll};

use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service};
use tonic::server::{Grpc, NamedService};
use tonic::{Request, Response, Status};
use tonic_prost::ProstCodec;

use crate::wire::messages::{
    Batch, FetchConfigReply, FetchConfigRequest, ListReply, ListRequest, QuotaReply, QuotaRequest,
    ScheduleReply, ScheduleRequest, TimelineReply, TimelineRequest,
};
use crate::wire::{MAX_EXCHANGE, MAX_REPLY, SERVICE, path};

/// What a node answers to the calls.
pub(crate) trait Calls: Send + Sync + 'static {
    fn exchange(&self, batch: Batch) -> Result<Batch, Status>;
    fn fetch_config(&self, req: FetchConfigRequest) -> Result<FetchConfigReply, Status>;
    fn timeline(&self, req: TimelineRequest) -> Result<TimelineReply, Status>;
    fn quota(&self, req: QuotaRequest) -> Result<QuotaReply, Status>;
    /// May wait for a change of the list.
    fn list(&self, req: ListRequest) -> impl Future<Output = Result<ListReply, Status>> + Send;
    /// May wait for a place.
    fn schedule(
        &self,
        req: ScheduleRequest,
    ) -> impl Future<Output = Result<ScheduleReply, Status>> + Send;
}

/// The service that takes the calls off HTTP/2.
pub(crate) struct PeerServer<C> {
    calls: Arc<C>,
}

impl<C> PeerServer<C> {
    pub(crate) fn new(calls: Arc<C>) -> PeerServer<C> {
        PeerServer { calls }
    }
}

impl<C> Clone for PeerServer<C> {
    fn clone(&self) -> PeerServer<C> {
        PeerServer::new(Arc::clone(&self.calls))
    }
}

impl<C> NamedService for PeerServer<C> {
    const NAME: &'static str = SERVICE;
}

impl<C: Calls> Service<http::Request<Body>> for PeerServer<C> {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        let calls = Arc::clone(&self.calls);
        match req.uri().path() {
            path::EXCHANGE => unary(req, MAX_EXCHANGE, move |batch| ready(calls.exchange(batch))),
            path::FETCH_CONFIG => unary(req, MAX_EXCHANGE, move |r| ready(calls.fetch_config(r))),
            path::TIMELINE => unary(req, MAX_EXCHANGE, move |r| ready(calls.timeline(r))),
            path::QUOTA => unary(req, MAX_EXCHANGE, move |r| ready(calls.quota(r))),
            path::SCHEDULE => unary(req, MAX_EXCHANGE, move |r| async move {
                calls.schedule(r).await
            }),
            path::LIST => unary(
                req,
                MAX_EXCHANGE,
                move |r| async move { calls.list(r).await },
            ),
            _ => Box::pin(async { Ok(Status::unimplemented("unknown call").into_http()) }),
        }
    }
}

/// Decodes one message of at most `limit` bytes, calls `answer` with it and encodes the result.
fn unary<Req, Res, Fut>(
    req: http::Request<Body>,
    limit: usize,
    answer: impl FnOnce(Req) -> Fut + Send + 'static,
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
            .max_encoding_message_size(MAX_REPLY);
        let method = Method {
            answer: Some(answer),
        };
        Ok(grpc.unary(method, req).await)
    })
}

/// One call as a service, which is used once.
struct Method<F> {
    answer: Option<F>,
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
        let answer = self.answer.take();
        Box::pin(async move {
            match answer {
                Some(answer) => answer(req.into_inner()).await.map(Response::new),
                None => Err(Status::internal("a call was answered twice")),
            }
        })
    }
}
