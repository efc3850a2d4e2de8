//! The client: a bounded connection pool.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::uri::PathAndQuery;
use tokio_stream::Stream;
use tonic::Streaming;
use tonic::client::Grpc;
use tonic::transport::{Channel, Endpoint};
use tonic_prost::ProstCodec;

use crate::error::PeerError;
use crate::meter::{Connector, Meter};
use crate::tunnel::TunnelError;
use crate::wire::host_messages::TunnelFrame;
use crate::wire::{MAX_REPLY_BYTES, MAX_REQUEST_BYTES, path};

/// Maximum number of connections to other nodes: the children in the trees, and the
/// nodes queried in round-robin order.
const MAX_CONNECTIONS: usize = 48;

/// A connection whose calls time out is dropped once it had no reply for this long.
/// Dropping it at once would make a slow node accept a new connection for each late call,
/// which slows it down further.
const MAX_SILENCE: Duration = Duration::from_millis(1000);

/// Bytes of one tunnel that may be on their way, and of all tunnels over one connection.
const TUNNEL_WINDOW_BYTES: u32 = 32 << 10;
const TUNNEL_CONNECTION_WINDOW_BYTES: u32 = 2 << 20;

/// What the connections of a pool carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PoolKind {
    Calls,
    Tunnels,
}

/// One connection.
struct Connection {
    channel: Channel,
    last_used: Instant,
    /// Time of the last reply; time of creation before the first one.
    last_reply: Instant,
}

/// Connections by address, opened at their first call.
pub(crate) struct Pool {
    connections: Mutex<BTreeMap<SocketAddr, Connection>>,
    connect_timeout: Duration,
    meter: Meter,
    kind: PoolKind,
}

impl Pool {
    pub(crate) fn new(connect_timeout: Duration, meter: Meter, kind: PoolKind) -> Pool {
        Pool {
            kind,
            connections: Mutex::new(BTreeMap::new()),
            connect_timeout,
            meter,
        }
    }

    /// Calls the node at `address` with a timeout.
    ///
    /// # Errors
    /// If the node can't be reached, times out or rejects the call.
    pub(crate) async fn call<Req, Res>(
        &self,
        address: SocketAddr,
        path: &'static str,
        req: Req,
        timeout: Duration,
    ) -> Result<Res, PeerError>
    where
        Req: prost::Message + Default + 'static,
        Res: prost::Message + Default + 'static,
    {
        let channel = self.channel(address)?;
        let result = tokio::time::timeout(timeout, unary(channel, path, req))
            .await
            .map_err(|_| PeerError::Timeout)
            .and_then(|reply| reply);
        match &result {
            Ok(_) => self.record_reply(address),
            Err(PeerError::Rejected(_)) => {}
            // A connection whose other end vanished without closing it would lose calls
            // until TCP gives up after many minutes.
            Err(PeerError::Timeout) => self.drop_if_silent(address),
            Err(_) => self.drop_connection(address),
        }
        result
    }

    /// Opens a call to the node at `address` that carries frames both ways.
    ///
    /// # Errors
    /// If the node can't be reached, doesn't open it within `timeout` or rejects it.
    pub(crate) async fn open_tunnel(
        &self,
        address: SocketAddr,
        frames: impl Stream<Item = TunnelFrame> + Send + 'static,
        timeout: Duration,
    ) -> Result<Streaming<TunnelFrame>, TunnelError> {
        let channel = self.channel(address)?;
        let opened = tokio::time::timeout(timeout, async {
            let mut grpc = Grpc::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
            grpc.ready().await.map_err(PeerError::from)?;
            let path = PathAndQuery::from_static(path::TUNNEL);
            let codec = ProstCodec::<TunnelFrame, TunnelFrame>::default();
            let res = grpc.streaming(tonic::Request::new(frames), path, codec);
            Ok(res.await?.into_inner())
        });
        match opened.await {
            Ok(opened) => {
                self.record_reply(address);
                opened
            }
            Err(_) => {
                self.drop_if_silent(address);
                Err(TunnelError::Unavailable)
            }
        }
    }

    fn channel(&self, address: SocketAddr) -> Result<Channel, PeerError> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(connection) = connections.get_mut(&address) {
            connection.last_used = now;
            return Ok(connection.channel.clone());
        }
        if connections.len() >= MAX_CONNECTIONS {
            let oldest = connections
                .iter()
                .min_by_key(|(_, connection)| connection.last_used);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                connections.remove(&oldest);
            }
        }
        let mut endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true);
        if self.kind == PoolKind::Tunnels {
            endpoint = endpoint
                .initial_stream_window_size(TUNNEL_WINDOW_BYTES)
                .initial_connection_window_size(TUNNEL_CONNECTION_WINDOW_BYTES);
        }
        let channel = endpoint.connect_with_connector_lazy(Connector::new(self.meter.clone()));
        let connection = Connection {
            channel: channel.clone(),
            last_used: now,
            last_reply: now,
        };
        connections.insert(address, connection);
        Ok(channel)
    }

    fn record_reply(&self, address: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = connections.get_mut(&address) {
            connection.last_reply = Instant::now();
        }
    }

    fn drop_if_silent(&self, address: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let silent = |connection: &Connection| connection.last_reply.elapsed() >= MAX_SILENCE;
        if connections.get(&address).is_some_and(silent) {
            connections.remove(&address);
        }
    }

    /// Drops a connection; the next call opens a new one.
    pub(crate) fn drop_connection(&self, address: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.remove(&address);
    }
}

async fn unary<Req, Res>(channel: Channel, path: &'static str, req: Req) -> Result<Res, PeerError>
where
    Req: prost::Message + Default + 'static,
    Res: prost::Message + Default + 'static,
{
    let mut grpc = Grpc::new(channel)
        .max_decoding_message_size(MAX_REPLY_BYTES)
        .max_encoding_message_size(MAX_REQUEST_BYTES);
    grpc.ready().await?;
    let path = PathAndQuery::from_static(path);
    let codec = ProstCodec::<Req, Res>::default();
    let res = grpc.unary(tonic::Request::new(req), path, codec).await?;
    Ok(res.into_inner())
}
