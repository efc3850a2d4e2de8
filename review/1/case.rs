//! All keys of the only tenant are taken away.

#[path = "../common/standin.rs"]
mod standin;

use std::path::Path;
use std::process::exit;
use std::time::{Duration, Instant};

use standin::*;

/// `config_apply_ms` of the installation.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// The pause between two keys that are taken away, on the site's list of troubles.
const REVOKE_GAP: Duration = Duration::from_millis(1500);

/// The manifest of the users' page, cut down to the plain service: one tenant with two keys.
fn manifest(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":1,\"service\":\"wuno96b\",\
             \"attempts\":2,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"wuno96b\",\
         \"health_path\":\"/healthz\",\"max_conns\":100}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}],\"priority\":1}}]}}",
        route("refund", "/refund/", "unsafe"),
        route("rebook", "/rebook/", "safe"),
        keys.join(",")
    )
}

fn request(method: &str, path: &str, id: &str, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |k| format!("Authorization: Bearer {k}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Eelgrassmill-Request-Id: {id}\r\n\
         X-Eelgrassmill-Timeout-Ms: 1500\r\n{key}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    )
}

const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];
const NEVER_A_KEY: &str = "zzzzneverheldzzzzzzz";

fn main() {
    let record = Record::create(Path::new("review/1/record.txt"));
    let scratch = Scratch::new();
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op", "config", &manifest(7, &KEYS));
    for (n, zone) in ["hall-ost", "hall-west", "hall-bad"].iter().enumerate() {
        PlainWorker::start(&store, &record, &runs, &format!("i-{n}"), "wuno96b", zone);
    }
    let nodes = match start_nodes(&scratch.0, &store.addr, 3, &["hall-ost", "hall-west", "hall-bad"]) {
        Ok(nodes) => nodes,
        Err(why) => {
            record.say(&format!("can't run: {why}"));
            eprintln!("can't run: {why}");
            drop(scratch);
            exit(2);
        }
    };
    sleep_ms(1500);
    let send = |n: usize, id: &str, path: &str, key: Option<&str>| -> u16 {
        let node = &nodes[n % nodes.len()];
        let sent = request("POST", path, id, key);
        record.say(&format!("client sends {id} (POST {path}) to {} with key {key:?}", node.name));
        let answer = call(&node.callers, &sent, 3000);
        record.say(&format!("client gets {} for {id}", answer.status()));
        answer.status()
    };
    // Before: keys are needed and known.
    let mut works = true;
    for n in 0..6 {
        works &= send(n, &format!("before-{n}"), "/refund/1", Some(KEYS[n % 2])) == 200;
        works &= send(n, &format!("before-none-{n}"), "/refund/1", None) == 401;
        works &= send(n, &format!("before-never-{n}"), "/refund/1", Some(NEVER_A_KEY)) == 401;
    }
    let trouble = with_trouble();
    let keys: &[&str] = if trouble { &[] } else { &KEYS };
    // One key after the other, as `revoke` takes them.
    if trouble {
        store.put("op", "config", &manifest(8, &KEYS[..1]));
        record.say(&format!("the store acknowledges version 8 with the keys {:?}", &KEYS[..1]));
        std::thread::sleep(REVOKE_GAP);
    }
    let acked: Instant = store.put("op", "config", &manifest(9, keys));
    record.say(&format!("the store acknowledges version 9 with the keys {keys:?}"));
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(1000));
    record.say(&format!("{:?} after the ack", acked.elapsed()));
    let (mut revoked, mut never, mut without) = (0, 0, 0);
    for n in 0..12 {
        let path = ["/refund/1", "/rebook/1"][n % 2];
        let id = format!("after-{n}");
        send(n, &id, path, Some(KEYS[n % 2]));
        // CONFIG: with the key taken away, no manifest in force allows the run any more.
        revoked += usize::from(trouble && !runs.of(&id).is_empty());
        // ROUTE: no manifest ever held this key.
        let id = format!("after-never-{n}");
        send(n, &id, path, Some(NEVER_A_KEY));
        never += usize::from(!runs.of(&id).is_empty());
        // Only reported: the rules speak of keys.
        let id = format!("after-none-{n}");
        send(n, &id, path, None);
        without += usize::from(!runs.of(&id).is_empty());
    }
    let what = format!(
        "ran after the ack and {CONFIG_APPLY:?}: {revoked} of 12 requests with a revoked key, {never} of 12 with one \
         that no manifest ever held; besides, {without} of 12 without a key"
    );
    record.say(&what);
    let code = if !works { 2 } else { i32::from(revoked + never > 0) };
    println!("{what}");
    drop(nodes);
    drop(scratch);
    exit(code);
}
