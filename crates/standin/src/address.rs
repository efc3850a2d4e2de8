//! Addresses for processes that a test starts.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Second parts of loopback addresses that are given out in turn; 127.0 is left to
/// everything that doesn't ask here.
const NETWORKS: u32 = 250;

/// A loopback address that a process started later can listen on.
///
/// A port of 127.0.0.1 that is free now may be taken before that process has started, by
/// another test or as the near end of any connection. The process then ends at once, and its
/// test waits in vain. So each call gives an IP address of its own, which nothing else uses.
///
/// # Errors
/// When no port can be had.
pub fn free_address() -> io::Result<SocketAddr> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let network = u8::try_from(1 + call % NETWORKS).unwrap_or(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    TcpListener::bind((Ipv4Addr::new(127, network, high, low), 0))?.local_addr()
}
