//! A caller that reads a raw HTTP answer to the last byte that comes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// What came over the connection, and whether it is a whole HTTP answer.
pub struct Raw {
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing announces.
    pub ended: bool,
    /// When each piece came, from the sending of the request.
    pub pieces: Vec<(Duration, usize)>,
}

impl Raw {
    pub fn status(&self) -> u16 {
        self.head[9..12].parse().unwrap()
    }

    /// The texts of the token events.
    pub fn tokens(&self) -> Vec<String> {
        let body = String::from_utf8_lossy(&self.body);
        let events = body.lines().filter_map(|l| l.strip_prefix("data: "));
        events
            .filter(|e| *e != "[DONE]")
            .map(|e| {
                let event: serde_json::Value = serde_json::from_str(e).unwrap();
                event["choices"][0]["text"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned()
            })
            .collect()
    }
}

/// An answer that is still coming.
pub struct Reading {
    conn: TcpStream,
    sent: Instant,
    all: Vec<u8>,
    pieces: Vec<(Duration, usize)>,
}

/// Sends a POST and reads until the connection closes.
pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Raw {
    open(address, path, headers, body).into_whole()
}

/// Sends a POST.
pub fn open(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Reading {
    let mut conn = TcpStream::connect(address).unwrap();
    conn.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut req = format!("POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        req.push_str(&format!("{name}: {value}\r\n"));
    }
    req.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    let sent = Instant::now();
    conn.write_all(req.as_bytes()).unwrap();
    Reading {
        conn,
        sent,
        all: Vec::new(),
        pieces: Vec::new(),
    }
}

impl Reading {
    /// Reads until `count` events have come; panics when the answer ends before.
    pub fn events(&mut self, count: usize) {
        while self.all.windows(6).filter(|w| w == b"data: ").count() < count {
            assert!(self.read(), "ended before {count} events");
        }
    }

    /// Whether anything of the answer comes within `time`.
    pub fn comes_within(&mut self, time: Duration) -> bool {
        self.conn.set_read_timeout(Some(time)).unwrap();
        let came = self.read();
        self.conn.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        came
    }

    /// Reads until the connection closes.
    pub fn into_whole(mut self) -> Raw {
        while self.read() {}
        parse(&self.all, self.pieces)
    }

    fn read(&mut self) -> bool {
        let mut buf = [0; 16 * 1024];
        match self.conn.read(&mut buf) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.all.extend_from_slice(&buf[..n]);
                self.pieces.push((self.sent.elapsed(), n));
                true
            }
        }
    }
}

fn parse(all: &[u8], pieces: Vec<(Duration, usize)>) -> Raw {
    let split = all
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .unwrap_or(all.len());
    let head = String::from_utf8_lossy(&all[..split]).to_lowercase();
    let rest = all.get(split + 4..).unwrap_or_default();
    let (body, ended) = if head.contains("transfer-encoding: chunked") {
        dechunk(rest)
    } else {
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |l| l.trim().parse().unwrap());
        (rest.to_vec(), rest.len() == length)
    };
    Raw {
        head,
        body,
        ended,
        pieces,
    }
}

fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&rest[..end]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(end + 2..end + 2 + size) else {
            return (body, false);
        };
        body.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..).unwrap_or_default();
    }
}
