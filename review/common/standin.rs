//! Stand-ins for the platform's store, workers and clients, after the users' pages, and the means to
//! start nodes as processes. Uses the standard library alone, so that `rustc` builds it.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(all) => all.iter().find(|(k, _)| k == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(t) => t,
            _ => "",
        }
    }
    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_text(b: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *b.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(c.to_string().bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
                *at += 1;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'"' => parse_text(b, at).map(Json::Text),
        b'{' => {
            *at += 1;
            let mut all = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(all));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(b, at)?;
                        skip(b, at);
                        *at += 1;
                        all.push((name, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut all = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(all));
                    }
                    b',' => *at += 1,
                    _ => all.push(parse_value(b, at)?),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(data: &[u8]) -> String {
    let mut out = String::new();
    for c in data.chunks(3) {
        let n = (u32::from(c[0]) << 16)
            | (u32::from(*c.get(1).unwrap_or(&0)) << 8)
            | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= c.len() {
                out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn say(&self, what: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} s  {what}");
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and path with query, or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether its end was marked and came.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }
    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(n, _)| n.eq_ignore_ascii_case(name))
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
    fn query(&self, name: &str) -> String {
        let query = self.path().split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == name).map(|(_, v)| unescape(v)).unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < b.len() {
        let hex = b.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(c) if b[at] == b'%' => {
                out.push(c);
                at += 3;
            }
            _ => {
                out.push(b[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(r: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut m = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if r.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let l = line.trim_end();
        if m.first.is_empty() {
            if !l.is_empty() {
                m.first = l.to_owned();
            }
            continue;
        }
        if l.is_empty() {
            return Ok(Some(m));
        }
        if let Some((n, v)) = l.split_once(':') {
            m.headers.push((n.trim().to_owned(), v.trim().to_owned()));
        }
    }
}

/// Reads a whole request or answer; `on_part` sees the body as it comes.
pub fn read_message(
    r: &mut BufReader<TcpStream>,
    is_answer: bool,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<Option<Message>> {
    let Some(mut m) = read_head(r)? else { return Ok(None) };
    if m.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            match r.read_line(&mut line) {
                Ok(0) | Err(_) => return Ok(Some(m)),
                Ok(_) => {}
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(Some(m)) };
            let mut part = vec![0; size + 2];
            if r.read_exact(&mut part).is_err() {
                return Ok(Some(m));
            }
            if size == 0 {
                m.whole = true;
                return Ok(Some(m));
            }
            on_part(&part[..size]);
            m.body.extend_from_slice(&part[..size]);
        }
    }
    if m.has("content-length") {
        let length: usize = m.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        let read = r.read_exact(&mut body);
        m.whole = read.is_ok();
        m.body = body;
        return Ok(Some(m));
    }
    if is_answer {
        let _ = r.read_to_end(&mut m.body);
    } else {
        m.whole = true;
    }
    Ok(Some(m))
}

pub fn write_answer(s: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = std::mem::take(&mut out).into_bytes();
    bytes.extend_from_slice(body);
    s.write_all(&bytes)
}

/// Free ports, all different.
pub fn free_ports<const N: usize>() -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("loopback has free ports"));
    listeners.map(|l| l.local_addr().expect("it is bound").port())
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<(u64, String, String, bool)>,
}

/// The platform's store: rows, a feed of changes, transactions.
#[derive(Clone)]
pub struct Store {
    pub addr: String,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let addr = listener.local_addr().expect("it is bound").to_string();
        let store = Store { addr, rows: Arc::default(), start: Instant::now() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn now_ms(&self) -> u64 {
        1 + self.start.elapsed().as_millis() as u64
    }

    /// Writes a row; returns the moment of its ack.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Instant {
        let mut rows = lock(&self.rows.0);
        rows.put(table, key, base64(value.as_bytes()));
        let at = Instant::now();
        drop(rows);
        self.rows.1.notify_all();
        at
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = lock(&self.rows.0);
        rows.version += 1;
        let version = rows.version;
        rows.rows.remove(&(table.to_owned(), key.to_owned()));
        rows.changes.push((version, table.to_owned(), key.to_owned(), true));
        drop(rows);
        self.rows.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut r = BufReader::new(stream);
        while let Ok(Some(m)) = read_message(&mut r, false, |_| {}) {
            let (status, body) = self.answer(&m);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if write_answer(&mut out, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, m: &Message) -> (u16, String) {
        let path = m.path().split('?').next().unwrap_or("").to_owned();
        match path.as_str() {
            "/-/rows-get" => {
                let (table, from) = (m.query("table"), m.query("from"));
                let rows = lock(&self.rows.0);
                let found: Vec<String> = rows
                    .rows
                    .iter()
                    .filter(|((t, k), _)| *t == table && *k >= from)
                    .map(|((t, k), (v, ver))| row(t, k, v, *ver))
                    .collect();
                (200, format!(
                    "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{}}}",
                    found.join(","), rows.version, self.now_ms()
                ))
            }
            "/-/rows-feed" => {
                let table = m.query("table");
                let since: u64 = m.query("since_rev").parse().unwrap_or(0);
                let wait: u64 = m.query("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut rows = lock(&self.rows.0);
                if since > rows.version {
                    return (410, format!("{{\"ver\":{}}}", rows.version));
                }
                loop {
                    let found: Vec<String> = rows
                        .changes
                        .iter()
                        .filter(|(v, t, ..)| *v > since && *t == table)
                        .filter_map(|(v, t, k, removed)| {
                            if *removed {
                                return Some(format!(
                                    "{{\"table\":\"{t}\",\"part\":\"\",\"key\":\"{k}\",\"ver\":{v},\"removed\":true}}"
                                ));
                            }
                            let (value, ver) = rows.rows.get(&(t.clone(), k.clone()))?;
                            Some(row(t, k, value, *ver))
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return (200, format!(
                            "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                            found.join(","), rows.version, self.now_ms()
                        ));
                    }
                    rows = self.rows.1.wait_timeout(rows, left).map_or_else(|e| e.into_inner().0, |r| r.0);
                }
            }
            "/-/rows-tx" => {
                let body = Json::parse(&m.body_text()).unwrap_or(Json::Null);
                let mut rows = lock(&self.rows.0);
                for c in body.get("expect_rev").list() {
                    let key = (c.get("table").text().to_owned(), c.get("key").text().to_owned());
                    let ver = rows.rows.get(&key).map_or(0, |(_, v)| *v);
                    if c.get("ver").num() != ver {
                        return (412, format!(
                            "{{\"rows\":[],\"ver\":{},\"now_ms\":{}}}", rows.version, self.now_ms()
                        ));
                    }
                }
                for p in body.get("puts").list() {
                    rows.put(p.get("table").text(), p.get("key").text(), p.get("value").text().to_owned());
                }
                let version = rows.version;
                drop(rows);
                self.rows.1.notify_all();
                (200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: String) {
        self.version += 1;
        let version = self.version;
        self.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        self.changes.push((version, table.to_owned(), key.to_owned(), false));
    }
}

fn row(table: &str, key: &str, value: &str, ver: u64) -> String {
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}}}")
}

// ---------------------------------------------------------------- nodes

/// A node's process, killed when it is dropped.
pub struct Node {
    pub name: String,
    pub callers: String,
    pub ready: String,
    pub control: String,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a process with the command of the deploy file.
    pub fn start(
        dir: &Path,
        store: &str,
        name: &str,
        zone: &str,
        [callers, ready, directory, peers]: [u16; 4],
        seeds: &[String],
        bootstrap: bool,
    ) -> Result<Node, String> {
        let first_start = if bootstrap { "yes" } else { "no" };
        let text = format!(
            "[node]\nid = {name}\nregion = oberbayern\nfailure_domain = {zone}\nfirst_start = {first_start}\n\
             processor_share = 0.25\nprocessor_cores = 1\n\
             [listen]\ncallers = 127.0.0.1:{callers}\nready = 127.0.0.1:{ready}\n\
             directory = 127.0.0.1:{directory}\npeers = 127.0.0.1:{peers}\n\
             [peers]\nseeds = {}\n[platform]\nstore = {store}\n\
             [retries]\nwindow = 10s\nratio = 0.2\nslack = 132\n\
             [capacity]\nfollow_demand = no\n[admission]\nfair_share = no\n[pacing]\nadaptive = no\n\
             [times]\ngrace = 8s\naddress_ttl_most = 5s\n",
            seeds.join(",")
        );
        let path: PathBuf = dir.join(format!("{name}.ini"));
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        let log = File::create(dir.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let child = Command::new("target/release/eelgrassmill-adapter")
            .args(["serve", "--settings"])
            .arg(&path)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("the program doesn't start: {e}"))?;
        Ok(Node {
            name: name.to_owned(),
            callers: format!("127.0.0.1:{callers}"),
            ready: format!("127.0.0.1:{ready}"),
            control: format!("127.0.0.1:{peers}"),
            child,
        })
    }
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_some())
    }
}

/// Starts `count` nodes as the deploy file does, with the settings that its template gives for a small
/// installation, and waits until all are ready. The first three are the seeds.
pub fn start_nodes(dir: &Path, store: &str, count: usize, zones: &[&str]) -> Result<Vec<Node>, String> {
    let all = free_ports::<16>();
    let ports: Vec<[u16; 4]> = all.chunks(4).take(count).map(|p| [p[0], p[1], p[2], p[3]]).collect();
    let seeds: Vec<String> = ports.iter().take(3).map(|p| format!("127.0.0.1:{}", p[3])).collect();
    let mut nodes = Vec::new();
    for (n, ports) in ports.into_iter().enumerate() {
        nodes.push(Node::start(dir, store, &format!("front-{n}"), zones[n % zones.len()], ports, &seeds, true)?);
    }
    wait_ready(&nodes)?;
    Ok(nodes)
}

pub fn wait_ready(nodes: &[Node]) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(15);
    for node in nodes {
        while call(&node.ready, "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000).status() != 200 {
            if Instant::now() > end {
                return Err(format!("{} isn't ready", node.name));
            }
            sleep_ms(50);
        }
    }
    Ok(())
}

/// Sends a request on a new connection; status 0 where no whole answer came.
pub fn call(addr: &str, request: &str, timeout_ms: u64) -> Message {
    let sent = || -> io::Result<Message> {
        let mut s = TcpStream::connect(addr)?;
        s.set_nodelay(true)?;
        s.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        s.write_all(request.as_bytes())?;
        let mut r = BufReader::new(s);
        Ok(read_message(&mut r, true, |_| {})?.unwrap_or_default())
    };
    sent().unwrap_or_default()
}

/// A folder for settings and logs that is removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Scratch {
        let dir = std::env::temp_dir().join(format!("eelgrassmill-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        Scratch(dir)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept: {}", self.0.display());
        }
    }
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---------------------------------------------------------------- workers

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub tenant: Option<String>,
}

/// All runs of all workers.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn push(&self, run: Run) {
        lock(&self.0).push(run);
    }
    pub fn of(&self, id: &str) -> Vec<Run> {
        lock(&self.0).iter().filter(|r| r.id == id).cloned().collect()
    }
    pub fn all(&self) -> Vec<Run> {
        lock(&self.0).clone()
    }
}

pub fn proof(worker: &str, id: &str) -> String {
    format!("seal-of-{worker}-for-{id}")
}

/// A plain worker: it lists itself, runs each request that names it, and answers 800 bytes.
#[derive(Clone)]
pub struct PlainWorker {
    pub id: String,
    /// The requests a second that it names in its answers; 0 for none.
    pub limit: Arc<AtomicU64>,
    /// Whether it has left: it lists itself no more, and goes on serving.
    gone: Arc<Mutex<bool>>,
    /// Whether it has ended.
    ended: Arc<AtomicBool>,
}

impl PlainWorker {
    pub fn start(store: &Store, record: &Record, runs: &Runs, id: &str, service: &str, zone: &str) -> PlainWorker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let addr = listener.local_addr().expect("it is bound").to_string();
        let born = unix_ms();
        let (record, runs) = (record.clone(), runs.clone());
        let worker = PlainWorker { id: id.to_owned(), limit: Arc::default(), gone: Arc::default(), ended: Arc::default() };
        let gone = Arc::clone(&worker.gone);
        let (beat_store, beat) = (store.clone(), (id.to_owned(), service.to_owned(), zone.to_owned()));
        thread::spawn(move || {
            let (id, service, zone) = beat;
            for seq in 1u64.. {
                let gone = lock(&gone);
                if *gone {
                    return;
                }
                beat_store.put("servers", &id, &format!(
                    "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
                ));
                drop(gone);
                sleep_ms(1200);
            }
        });
        let own = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (record, runs, own) = (record.clone(), runs.clone(), own.clone());
                thread::spawn(move || serve_plain(stream, &record, &runs, &own));
            }
        });
        worker
    }

    /// Its entry is removed without a report of `draining`; returns the moment of the ack.
    pub fn leave(&self, store: &Store) -> Instant {
        let mut gone = lock(&self.gone);
        *gone = true;
        store.remove("servers", &self.id);
        Instant::now()
    }

    /// Its process ends: it answers nothing more, and takes no channel.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

fn serve_plain(stream: TcpStream, record: &Record, runs: &Runs, worker: &PlainWorker) {
    let own = worker.id.as_str();
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut r = BufReader::new(stream);
    while let Ok(Some(m)) = read_message(&mut r, false, |_| {}) {
        let id = m.header("x-eelgrassmill-request-id").to_owned();
        let mut echo = format!(
            "X-Eelgrassmill-Request-Id: {id}\r\nX-Eelgrassmill-Response-Seal: {}\r\n", proof(own, &id)
        );
        let limit = worker.limit.load(Ordering::SeqCst);
        if limit > 0 {
            echo += &format!("Server-Limit: {limit}\r\n");
        }
        let expected = m.header("x-eelgrassmill-expect-instance");
        if !expected.is_empty() && expected != own {
            if write_answer(&mut out, 421, &echo, b"").is_err() {
                return;
            }
            continue;
        }
        let tenant = m.has("x-eelgrassmill-tenant").then(|| m.header("x-eelgrassmill-tenant").to_owned());
        record.say(&format!("worker {own} runs {id}, tenant {tenant:?}"));
        runs.push(Run { at: Instant::now(), worker: own.to_owned(), id, tenant });
        sleep_ms(15);
        if worker.ended.load(Ordering::SeqCst) {
            return;
        }
        if write_answer(&mut out, 200, &echo, &[b'x'; 800]).is_err() {
            return;
        }
    }
}
