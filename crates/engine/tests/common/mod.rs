//! A group of stand-in engines, and requests to it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{Fence, HostId, Order, OrderKind, OrderReply, Placement};
use eelgrassmill_engine::{
    BodyError, HostControl, SendError, StreamEvent, TargetClient, TargetRequest, TargetResponse,
    TokenStream,
};
use eelgrassmill_standin::{HostSpec, Pace, Standins, engine_specs, plain_specs};
use eelgrassmill_stores::HttpCaller;
use http::{HeaderMap, HeaderValue, Method};

pub(crate) const GROUP: &str = "model/0";
pub(crate) const LEAD: &str = "engine-0";
pub(crate) const MEMBER: &str = "engine-1";
pub(crate) const PLAIN: &str = "plain-0";
pub(crate) const PROMPT: &str = "Please answer the review of the campsite.";
const PATIENCE: Duration = Duration::from_secs(10);

/// Stand-ins with a group of two engines in epoch 1 and a plain service.
pub(crate) struct Bench {
    pub(crate) standins: Standins,
    pub(crate) control: HostControl,
}

impl Bench {
    pub(crate) fn start() -> Bench {
        Bench::with_token_time(Duration::from_millis(1))
    }

    pub(crate) fn with_token_time(token: Duration) -> Bench {
        let pace = Pace {
            token,
            prefill: Duration::ZERO,
            batch_permille: 0,
        };
        let hosts = engine_specs(3, 3).into_iter().chain(plain_specs(1));
        let standins = Standins::builder()
            .hosts(hosts.map(|spec: HostSpec| spec.pace(pace.clone()).slots(128, 256)))
            .weights("lake", "1", 1 << 20)
            .start()
            .expect("stand-ins start");
        let bench = Bench {
            standins,
            control: HostControl::default(),
        };
        bench.form(1, 1);
        bench
    }

    /// Orders both members into the group and waits until they are ready.
    pub(crate) fn form(&self, epoch: u64, fence: Fence) {
        for host in [LEAD, MEMBER] {
            let reply = self
                .control
                .order(&self.address(host), &join(host, epoch, fence));
            assert!(matches!(reply, Ok(OrderReply::Obeyed(_))), "{reply:?}");
        }
        for host in [LEAD, MEMBER] {
            wait_for("host is ready", || {
                self.control
                    .probe(&self.address(host))
                    .is_ok_and(|report| report.ready)
            });
        }
    }

    pub(crate) fn address(&self, host: &str) -> String {
        self.standins
            .address_of(host)
            .expect("a known host")
            .to_owned()
    }

    pub(crate) fn fault(&self, host: &str, switch: &str) {
        let path = format!("/fault?target={host}&name={switch}");
        let reply = HttpCaller::builder(self.standins.control_address()).build();
        let reply = reply.post_json(&path, &()).expect("the switches answer");
        assert!(reply.status.is_success(), "{reply:?}");
    }
}

pub(crate) fn join(host: &str, epoch: u64, fence: Fence) -> Order {
    Order {
        host: host.into(),
        kind: OrderKind::Join,
        placement: Placement {
            group: GROUP.into(),
            epoch,
            model: "lake".into(),
            version: "1".into(),
            members: vec![HostId::from(LEAD), HostId::from(MEMBER)],
        },
        fence,
        from: "node-1".into(),
    }
}

pub(crate) fn completion(id: &str, prompt: &str, tokens: u64, stream: bool) -> TargetRequest {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": tokens, "stream": stream });
    request(id, "/v1/completions", body.to_string())
}

pub(crate) fn request(id: &str, path: &str, body: String) -> TargetRequest {
    let mut headers = HeaderMap::new();
    headers.insert(
        "x-request-id",
        HeaderValue::from_str(id).expect("a plain id"),
    );
    headers.insert("x-group", HeaderValue::from_static(GROUP));
    headers.insert("x-group-epoch", HeaderValue::from_static("1"));
    headers.insert("x-tenant", HeaderValue::from_static("baths"));
    TargetRequest {
        method: Method::POST,
        path: path.to_owned(),
        headers,
        body: Bytes::from(body),
    }
}

/// The text of a whole answer, or why there is none.
pub(crate) async fn ask(
    client: &TargetClient,
    address: &str,
    req: TargetRequest,
) -> Result<String, Fail> {
    let response = client.send(address, req).await.map_err(Fail::Send)?;
    if response.is_refusal() {
        return Err(Fail::Refused);
    }
    let body = response.read_whole(1 << 20).await.map_err(Fail::Body)?;
    let body: serde_json::Value = serde_json::from_slice(&body).expect("a whole answer is JSON");
    Ok(body["choices"][0]["text"]
        .as_str()
        .expect("it has a text")
        .to_owned())
}

/// The text of a whole stream, or why there is none.
pub(crate) async fn read_stream(response: TargetResponse) -> Result<String, Fail> {
    let mut stream = TokenStream::new(response);
    let mut text = String::new();
    loop {
        match stream.next().await.map_err(Fail::Body)? {
            StreamEvent::Token(token) => text.push_str(&token.text().expect("a token has text")),
            StreamEvent::Done => return Ok(text),
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Fail {
    Send(SendError),
    Body(BodyError),
    Refused,
}

/// Waits until `condition` holds, for a bounded time.
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "waited too long: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
