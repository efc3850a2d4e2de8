//! Listening, bounded connections, and the death of a host.

use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::faults::Fault;
use crate::host::Host;
use crate::http::{Answer, CutOff};
use crate::target;
use crate::world::World;

/// Connections to one server at most; more wait in the kernel.
const MAX_CONNECTIONS: usize = 2_048;
const BACKLOG: u32 = 1_024;
const HEADER_TIME: Duration = Duration::from_secs(10);
/// Pause after an accept that failed, so that it can't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often a dead host looks whether it may come back.
const DEAD_STEP: Duration = Duration::from_millis(5);

/// Listens at `address`, or on a free loopback port.
pub(crate) async fn listen(address: Option<SocketAddr>) -> std::io::Result<TcpListener> {
    let address = address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    reserve(address)?.listen(BACKLOG)
}

/// Takes the port without listening, so that connections to it are refused.
fn reserve(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Serves every connection to `listener` by `answer`, for ever.
pub(crate) async fn serve<F>(
    listener: &TcpListener,
    conns: &mut JoinSet<()>,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) -> Infallible
where
    F: Future<Output = Result<Answer, CutOff>> + Send + 'static,
{
    loop {
        while conns.try_join_next().is_some() {}
        if conns.len() >= MAX_CONNECTIONS {
            conns.join_next().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = answer.clone();
                conns.spawn(async move { connection(stream, answer).await });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<F>(stream: TcpStream, answer: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = Result<Answer, CutOff>>,
{
    // Without it a token could wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIME);
    // A connection that breaks is what the faults are for.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service_fn(answer))
        .await;
}

/// Serves a target host through its deaths and returns.
pub(crate) async fn serve_host(world: Arc<World>, host: Arc<Host>, mut listener: TcpListener) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let mut conns = JoinSet::new();
        let answer = {
            let (world, host) = (Arc::clone(&world), Arc::clone(&host));
            move |req| target::answer(Arc::clone(&world), Arc::clone(&host), req)
        };
        tokio::select! {
            never = serve(&listener, &mut conns, answer) => match never {},
            () = death(&host) => {}
        }
        drop(listener);
        host.died();
        conns.shutdown().await;
        listener = match come_back(&host, address).await {
            Ok(back) => back,
            Err(_) => return,
        };
    }
}

async fn death(host: &Host) {
    loop {
        host.changed.notified().await;
        if host.faults.is_on(Fault::Die) || host.faults.is_on(Fault::Restart) {
            return;
        }
    }
}

/// Holds the port while the host is dead, then listens again as a new start.
async fn come_back(host: &Host, address: SocketAddr) -> std::io::Result<TcpListener> {
    let reserved = reserve(address)?;
    while host.faults.is_on(Fault::Die) {
        tokio::time::sleep(DEAD_STEP).await;
    }
    host.faults.switch_off(Fault::Restart);
    host.started();
    reserved.listen(BACKLOG)
}
