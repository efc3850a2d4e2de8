//! Whole answers: read to their end and checked before a byte goes to the caller.

use bytes::Bytes;
use eelgrassmill_base::Tokens;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Deserialize;
use smol_str::format_smolstr;

use super::attempt::Started;
use super::body::AnswerBody;
use super::call::{Call, Failure};
use crate::metrics::Promise;
use crate::state::core::Core;

/// Largest answer that is buffered, in bytes.
pub(crate) const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: Tokens,
}

/// Reads an answer to its end and checks that it is whole.
pub(crate) async fn read(core: &Core, call: &Call, started: Started) -> Result<Whole, Failure> {
    let Started {
        mut place,
        response,
        run,
        ..
    } = started;
    let status = response.status;
    let content_type = response.headers.get(header::CONTENT_TYPE).cloned();
    let left = call.left(std::time::Instant::now());
    let reading = response.read_whole_within(&core.account, MAX_ANSWER);
    let body = match tokio::time::timeout(left, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(err)) => {
            core.metrics.promise_guarded(Promise::WholeOwnAnswer);
            drop(place);
            if let Some(run) = &run {
                run.broke(call).await;
            }
            return Err(Failure::unknown(format_smolstr!("{err}")).broken());
        }
        Err(_) => return Err(Failure::unknown("no whole answer within the deadline")),
    };
    if call.completion && status.is_success() {
        let checked = check_completion(&body);
        let used = checked.inspect_err(|_| {
            core.metrics.promise_guarded(Promise::WholeOwnAnswer);
        })?;
        place.used(used.unwrap_or(call.tokens));
    }
    if let Some(run) = &run {
        run.survived();
    }
    Ok(Whole {
        status,
        content_type,
        body,
    })
}

/// A completion is whole when it says why it ended; gives the tokens that it used.
///
/// A body can have its full length and still be half an answer, when the
/// engine itself was cut off within its group.
fn check_completion(body: &[u8]) -> Result<Option<Tokens>, Failure> {
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|e| Failure::unknown(format_smolstr!("the answer is not a completion: {e}")))?;
    let ended = completion.choices.iter().all(|c| c.finish_reason.is_some());
    if completion.choices.is_empty() || !ended {
        return Err(Failure::unknown("the answer has no end"));
    }
    Ok(completion.usage.map(|u| u.total_tokens))
}

impl Whole {
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let mut resp = Response::new(AnswerBody::whole(self.body));
        *resp.status_mut() = self.status;
        if let Some(content_type) = self.content_type {
            resp.headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
        }
        resp
    }
}
