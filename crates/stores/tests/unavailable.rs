//! Tests of reads when the table service returns 503.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use eelgrassmill_stores::{HttpCaller, HttpTable, Table, TableError};
use googletest::prelude::*;

const UNAVAILABLE_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\nconnection: close\r\n\r\ndown";

/// Starts a server that responds to `calls` requests with 503.
fn unavailable_server(calls: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("local address");
    let server = std::thread::spawn(move || {
        for _ in 0..calls {
            let (mut conn, _) = listener.accept().expect("a connection");
            let mut buf = [0; 4096];
            let _ = conn.read(&mut buf).expect("a request");
            conn.write_all(UNAVAILABLE_RESPONSE)
                .expect("write the response");
        }
    });
    (address, server)
}

/// The table service returns 503 while it is stopped for an upgrade. If a read reported
/// this as a protocol error, metrics would count it as a call of unknown outcome and the
/// alert would point the operator to the wrong cause.
#[gtest]
fn a_read_with_status_503_is_unavailable() {
    let (address, server) = unavailable_server(2);
    let table = HttpTable::new(HttpCaller::builder(address.to_string()).build());
    expect_that!(table.get("row"), err(pat!(TableError::Unavailable(_))));
    expect_that!(table.scan("row/"), err(pat!(TableError::Unavailable(_))));
    server.join().expect("two requests served");
}
