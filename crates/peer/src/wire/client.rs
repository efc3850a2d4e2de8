//! The calling side: a bounded pool of connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::uri::PathAndQuery;
use tonic::client::Grpc;
use tonic::transport::{Channel, Endpoint};
use tonic_prost::ProstCodec;

use crate::error::PeerError;
use crate::meter::{Connector, Meter};
use crate::wire::{MAX_EXCHANGE, MAX_REPLY};

/// Most connections that a node keeps to others: its children in the trees, and
/// the ones that it asks in turn.
const MAX_CONNECTIONS: usize = 48;

/// A connection whose calls time out is dropped once it has answered nothing for this long.
/// A node that is merely slow would otherwise have to take a new connection for each call that
/// it is late with, which makes it slower still.
const SILENCE_LIMIT: Duration = Duration::from_millis(1000);

/// One connection.
struct Entry {
    channel: Channel,
    /// When it was last used.
    used: Instant,
    /// When it last answered; when it was dialled, before its first answer.
    answered: Instant,
}

/// Connections by address. A connection is dialled at its first call.
pub(crate) struct Pool {
    channels: Mutex<BTreeMap<SocketAddr, Entry>>,
    connect_timeout: Duration,
    meter: Meter,
}

impl Pool {
    pub(crate) fn new(connect_timeout: Duration, meter: Meter) -> Pool {
        Pool {
            channels: Mutex::new(BTreeMap::new()),
            connect_timeout,
            meter,
        }
    }

    /// Calls the node at `address` and waits at most `timeout`.
    ///
    /// # Errors
    /// When the node can't be reached, is too slow or refuses.
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
            .and_then(|answered| answered);
        match &result {
            Ok(_) => self.answered(address),
            Err(PeerError::Refused(_)) => {}
            // A connection whose other end vanished without a word would go on
            // to swallow calls until TCP gives up, after many minutes.
            Err(PeerError::Timeout) => self.drop_if_silent(address),
            Err(_) => self.drop_channel(address),
        }
        result
    }

    fn channel(&self, address: SocketAddr) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(entry) = channels.get_mut(&address) {
            entry.used = now;
            return Ok(entry.channel.clone());
        }
        if channels.len() >= MAX_CONNECTIONS {
            let oldest = channels.iter().min_by_key(|(_, entry)| entry.used);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                channels.remove(&oldest);
            }
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .connect_with_connector_lazy(Connector::new(self.meter.clone()));
        let entry = Entry {
            channel: channel.clone(),
            used: now,
            answered: now,
        };
        channels.insert(address, entry);
        Ok(channel)
    }

    fn answered(&self, address: SocketAddr) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = channels.get_mut(&address) {
            entry.answered = Instant::now();
        }
    }

    fn drop_if_silent(&self, address: SocketAddr) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let silent = |entry: &Entry| entry.answered.elapsed() >= SILENCE_LIMIT;
        if channels.get(&address).is_some_and(silent) {
            channels.remove(&address);
        }
    }

    /// Drops a connection; the next call dials anew.
    pub(crate) fn drop_channel(&self, address: SocketAddr) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.remove(&address);
    }
}

async fn unary<Req, Res>(channel: Channel, path: &'static str, req: Req) -> Result<Res, PeerError>
where
    Req: prost::Message + Default + 'static,
    Res: prost::Message + Default + 'static,
{
    let mut grpc = Grpc::new(channel)
        .max_decoding_message_size(MAX_REPLY)
        .max_encoding_message_size(MAX_EXCHANGE);
    grpc.ready().await?;
    let path = PathAndQuery::from_static(path);
    let codec = ProstCodec::<Req, Res>::default();
    let res = grpc.unary(tonic::Request::new(req), path, codec).await?;
    Ok(res.into_inner())
}
