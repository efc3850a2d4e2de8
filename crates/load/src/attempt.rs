//! Sending one request, and what its caller learns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::addresses::{AddressBook, Caller};
use crate::http::{Answer, CallError, call};
use crate::plan::Planned;
use crate::scenario::{Api, Class, Scenario};
use crate::verify::{Verdict, check_stream, check_whole};

/// Time beyond a request's deadline after which its caller gives up by itself.
const GRACE: Duration = Duration::from_secs(2);
/// How long a caller waits that gives no deadline.
const NO_DEADLINE: Duration = Duration::from_secs(60);

const GAVE_UP: &str = "caller gave up";
const NO_ANSWER: &str = "connection broke before an answer";
const NOT_REACHED: &str = "no entry reached";

/// What a request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ending {
    /// Answered whole and right.
    Whole,
    /// Told that it did not run.
    NotRun,
    /// Told, or left to conclude, that it may have run.
    Unknown,
    /// Answered wrongly.
    Wrong,
    /// Answered in part, and seen to be.
    Cut,
}

/// One request's end, with its times since it was due.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) ending: Ending,
    /// What the last answer said or what broke; empty for a whole answer.
    pub(crate) reason: SmolStr,
    pub(crate) retries: u32,
    /// Addresses that could not be reached on the way.
    pub(crate) moved: u32,
    /// The first token, or the whole answer where it doesn't stream.
    pub(crate) first: Option<Duration>,
    pub(crate) between: Vec<Duration>,
    pub(crate) total: Duration,
}

/// What all requests of a run share.
pub(crate) struct Callers {
    pub(crate) scenario: Scenario,
    pub(crate) book: AddressBook,
}

/// One attempt's end.
struct Attempt {
    ending: Ending,
    reason: SmolStr,
    retry_after: Option<Duration>,
    tokens: Vec<Instant>,
}

impl Attempt {
    fn without_answer(ending: Ending, reason: impl Into<SmolStr>) -> Attempt {
        Attempt {
            ending,
            reason: reason.into(),
            retry_after: None,
            tokens: Vec::new(),
        }
    }
}

impl Callers {
    /// Sends `request`, again where it is told to, until it has its end.
    pub(crate) async fn carry(self: Arc<Callers>, request: Arc<Planned>, due: Instant) -> Outcome {
        let class = &self.scenario.classes[&request.class];
        let give_up = due + class.deadline.unwrap_or(NO_DEADLINE) + GRACE;
        let (mut retries, mut moved) = (0, 0);
        loop {
            let sent = self.attempt(class, &request, &mut moved);
            let attempt = tokio::time::timeout_at(give_up.into(), sent).await;
            let attempt =
                attempt.unwrap_or_else(|_| Attempt::without_answer(Ending::Unknown, GAVE_UP));
            let again = attempt
                .retry_after
                .filter(|wait| retries < class.retries && Instant::now() + *wait < give_up);
            let Some(wait) = again else {
                return outcome(&attempt, retries, moved, due);
            };
            tokio::time::sleep(wait).await;
            retries += 1;
        }
    }

    async fn attempt(&self, class: &Class, request: &Planned, moved: &mut u32) -> Attempt {
        let token = &self.scenario.tenants[&request.tenant].token;
        let caller = Caller {
            tenant: request.tenant.clone(),
            index: request.caller,
            service: class.service.clone(),
        };
        let addresses = self.book.addresses(&caller, token).await;
        for address in &addresses {
            match call(address, http_request(address, token, class, request)).await {
                Ok(answer) => return judge(answer, class, request).await,
                // Nothing was sent, so the next address may be tried.
                Err(CallError::NotReached(_)) => *moved += 1,
                Err(CallError::NoAnswer(_)) => {
                    return Attempt::without_answer(Ending::Unknown, NO_ANSWER);
                }
            }
        }
        self.book.forget(&caller);
        Attempt::without_answer(Ending::NotRun, NOT_REACHED)
    }
}

async fn judge(answer: Answer, class: &Class, request: &Planned) -> Attempt {
    let retry_after = answer
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok());
    if !answer.head.status().is_success() {
        let (ending, reason) = refusal(answer).await;
        let retry_after = retry_after.map(Duration::from_secs);
        return Attempt {
            ending,
            reason,
            retry_after,
            tokens: Vec::new(),
        };
    }
    let mut tokens = Vec::new();
    let verdict = if class.stream && class.api != Api::Call {
        check_stream(answer, request, |at| tokens.push(at)).await
    } else {
        check_whole(answer, class, request).await
    };
    let (ending, reason) = match verdict {
        Verdict::Whole => (Ending::Whole, ""),
        Verdict::Wrong => (Ending::Wrong, "wrong answer"),
        Verdict::Cut => (Ending::Cut, "answer cut off"),
    };
    Attempt {
        ending,
        reason: reason.into(),
        retry_after: None,
        tokens,
    }
}

/// What an error answer says of the request; without a word it may have run.
async fn refusal(answer: Answer) -> (Ending, SmolStr) {
    let status = answer.head.status().as_u16();
    let body = answer.whole().await.unwrap_or_default();
    let problem: Value = serde_json::from_slice(&body).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or("without a reason");
    let ending = match problem["outcome"].as_str() {
        Some("not-run") => Ending::NotRun,
        _ => Ending::Unknown,
    };
    (
        ending,
        format_smolstr!("{status} {}", without_numbers(detail)),
    )
}

/// Puts `N` for each number, so that reasons that differ by a time count together.
fn without_numbers(detail: &str) -> String {
    let mut out = String::with_capacity(detail.len());
    for c in detail.chars() {
        match c {
            '0'..='9' if out.ends_with('N') => {}
            '0'..='9' => out.push('N'),
            _ => out.push(c),
        }
    }
    out
}

fn outcome(attempt: &Attempt, retries: u32, moved: u32, due: Instant) -> Outcome {
    let total = due.elapsed();
    let whole = attempt.ending == Ending::Whole;
    let first = attempt.tokens.first().map(|at| at.duration_since(due));
    let pairs = attempt.tokens.windows(2);
    Outcome {
        ending: attempt.ending,
        reason: attempt.reason.clone(),
        retries,
        moved,
        first: first.or(whole.then_some(total)),
        between: pairs.map(|pair| pair[1].duration_since(pair[0])).collect(),
        total,
    }
}

fn http_request(
    address: &str,
    token: &SmolStr,
    class: &Class,
    request: &Planned,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(path(class))
        .header(header::HOST, address)
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header("priority", format!("u={}", class.urgency.0));
    if let Some(deadline) = class.deadline {
        builder = builder.header("x-request-timeout", deadline.as_secs_f64().to_string());
    }
    if let Some(key) = &request.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    let body = Full::new(Bytes::from(body(class, request)));
    builder
        .body(body)
        .expect("paths and tokens were checked with the scenario")
}

fn path(class: &Class) -> String {
    match class.api {
        Api::Completions => "/v1/completions".to_owned(),
        Api::Chat => "/v1/chat/completions".to_owned(),
        Api::Call => format!(
            "/services/{}/{}",
            class.service,
            class.path.trim_start_matches('/')
        ),
    }
}

fn body(class: &Class, request: &Planned) -> String {
    let (model, tokens) = (&class.service, request.tokens);
    match class.api {
        Api::Call => request.prompt.clone(),
        Api::Completions => json!({
            "model": model, "prompt": request.prompt, "max_tokens": tokens, "stream": class.stream,
        })
        .to_string(),
        Api::Chat => json!({
            "model": model, "max_tokens": tokens, "stream": class.stream,
            "messages": [{ "role": "user", "content": request.prompt }],
        })
        .to_string(),
    }
}
