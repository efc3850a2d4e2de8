//! What a read makes of a table service that refuses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use eelgrassmill_stores::{HttpCaller, HttpTable, Table, TableError};
use googletest::prelude::*;

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\nconnection: close\r\n\r\ndown";

/// Answers so many calls with a refusal.
fn refusing(calls: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let serving = std::thread::spawn(move || {
        for _ in 0..calls {
            let (mut conn, _) = listener.accept().expect("a call");
            let mut buf = [0; 4096];
            let _ = conn.read(&mut buf).expect("a request");
            conn.write_all(REFUSAL).expect("the answer goes out");
        }
    });
    (address, serving)
}

/// The table's operators stop it for an upgrade, and it says so with 503. A
/// reader that takes this for nonsense is counted as if a write might have been
/// made, and the alarm sends the operator to the wrong place.
#[gtest]
fn a_refused_read_is_unavailable() {
    let (address, serving) = refusing(2);
    let table = HttpTable::new(HttpCaller::builder(address.to_string()).build());
    expect_that!(table.get("row"), err(pat!(TableError::Unavailable(_))));
    expect_that!(table.scan("row/"), err(pat!(TableError::Unavailable(_))));
    serving.join().expect("both were asked");
}
