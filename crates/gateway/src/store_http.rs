//! HTTP calls of the platform's store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_engine::{BodyError, SendError, TargetClient, TargetRequest};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::heads::locked;
use crate::ports::SourceError;
use crate::store_calls::{AnswerHead, MIN_CALL_TIMEOUT, StoreCalls};

/// Longest time of a call from which nothing comes, or of a connect. Whether a call counts as failed
/// is decided sooner.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);
/// Longest answer: pages have at most 1 MB of values, which base64 and the rows' other fields make
/// longer.
const MAX_ANSWER: usize = 4 << 20;
/// Bounds the reading of one answer: the longest takes half of it over a squeezed link.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection is kept unused.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// An answer of the store.
#[derive(Debug)]
pub struct StoreAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Calls the store. Cheap to clone; all clones share the connections.
#[derive(Clone, Debug)]
pub struct StoreHttp {
    http: TargetClient,
    address: Arc<Mutex<SmolStr>>,
    calls: StoreCalls<StoreAnswer>,
}

impl StoreHttp {
    /// Calls the store at `address`, `IP:PORT`.
    pub fn new(address: &str) -> StoreHttp {
        let http = TargetClient::builder()
            .echo(None)
            .connect_timeout(MAX_CALL_TIME)
            .idle_body_timeout(MIN_CALL_TIMEOUT)
            .idle_time(IDLE_TIME)
            .build();
        StoreHttp {
            http,
            address: Arc::new(Mutex::new(address.into())),
            calls: StoreCalls::default(),
        }
    }

    /// Uses the store at another address; calls in progress end at the former one.
    pub fn set_address(&self, address: &str) {
        *locked(&self.address) = address.into();
    }

    /// Does a read that the store may answer after `wait`. Any answer to an earlier attempt with the
    /// same `subject` will do.
    ///
    /// # Errors
    /// [`SourceError::Unreachable`], [`SourceError::NoAnswer`] and [`SourceError::TooLarge`].
    pub async fn get(
        &self,
        subject: &str,
        path: String,
        wait: Duration,
    ) -> Result<StoreAnswer, SourceError> {
        let address = locked(&self.address).clone();
        let subject = format_smolstr!("{address}{subject}");
        let (http, to) = (self.http.clone(), address.clone());
        let req = request(Method::GET, path, HeaderMap::new(), Bytes::new());
        let answer = self
            .calls
            .read(subject, wait, |head| call(http, to, req, head));
        let answer = answer.await;
        if let Err(SourceError::NoAnswer) = &answer {
            self.http.close_idle(&address);
        }
        answer
    }

    /// Posts `body` as JSON.
    ///
    /// # Errors
    /// Those of [`StoreHttp::get`]; what was asked for may have been done.
    pub async fn post_json(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<StoreAnswer, SourceError> {
        let body = serde_json::to_vec(body).map_err(|e| SourceError::Malformed(e.to_string()))?;
        let json = HeaderValue::from_static("application/json");
        let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, json)]);
        let req = request(Method::POST, path.to_owned(), headers, body.into());
        let address = locked(&self.address).clone();
        let call = call(self.http.clone(), address, req, AnswerHead::default());
        self.calls.write(call).await
    }
}

fn request(method: Method, path: String, headers: HeaderMap, body: Bytes) -> TargetRequest {
    TargetRequest {
        method,
        path,
        headers,
        body,
    }
}

async fn call(
    http: TargetClient,
    address: SmolStr,
    req: TargetRequest,
    head: AnswerHead,
) -> Result<StoreAnswer, SourceError> {
    let answer = http.send_within(&address, req, MAX_CALL_TIME).await;
    let answer = answer.map_err(|e: SendError| SourceError::Unreachable(e.to_string()))?;
    head.record();
    let status = answer.status;
    let headers = answer.headers.clone();
    let body = tokio::time::timeout(READ_TIMEOUT, answer.read_whole(MAX_ANSWER)).await;
    let too_slow = |_| SourceError::TooLarge(format!("not read in {READ_TIMEOUT:?}"));
    let body = body.map_err(too_slow)?.map_err(|err| match err {
        BodyError::TooLong(_) => SourceError::TooLarge(err.to_string()),
        err => SourceError::Unreachable(err.to_string()),
    })?;
    Ok(StoreAnswer {
        status,
        headers,
        body,
    })
}
