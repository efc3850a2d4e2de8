//! Whether an answer is the whole and the right one.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use eelgrassmill_base::Tokens;
use http_body_util::BodyExt;
use serde_json::Value;

use crate::answer;
use crate::http::Answer;
use crate::plan::Planned;
use crate::scenario::{Api, Class};

const DONE: &str = "[DONE]";
const MAX_LINE: usize = 256 << 10;

/// What an answer with status 200 turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Whole and right.
    Whole,
    /// It looked whole and was not the answer to this request, or held a wrong token.
    Wrong,
    /// It broke off and could be seen to have done so.
    Cut,
}

/// Checks an answer that comes at once.
pub(crate) async fn check_whole(answer: Answer, class: &Class, request: &Planned) -> Verdict {
    match answer.whole().await {
        None => Verdict::Cut,
        Some(body) if is_right(&body, class, request) => Verdict::Whole,
        Some(_) => Verdict::Wrong,
    }
}

fn is_right(body: &Bytes, class: &Class, request: &Planned) -> bool {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return false;
    };
    let choice = &body["choices"][0];
    match class.api {
        Api::Call => body["answer"].as_str() == Some(&answer::plain(&request.prompt)),
        Api::Completions => {
            choice["text"].as_str() == Some(&answer::whole(&request.prompt, request.tokens))
        }
        Api::Chat => {
            let text = choice["message"]["content"].as_str();
            text == Some(&answer::whole(&request.prompt, request.tokens))
        }
    }
}

/// Checks a stream token by token; `on_token` is told when each one came.
pub(crate) async fn check_stream(
    mut answer: Answer,
    request: &Planned,
    mut on_token: impl FnMut(Instant),
) -> Verdict {
    let mut buf = BytesMut::new();
    let mut next: Tokens = 0;
    loop {
        match next_data(&mut answer, &mut buf).await {
            None => return Verdict::Cut,
            Some(data) if data == DONE => break,
            Some(data) => {
                // An event without text, such as one that names the role, is no token.
                let Some(text) = event_text(&data) else {
                    continue;
                };
                if text != answer::token(&request.prompt, next) {
                    return Verdict::Wrong;
                }
                on_token(Instant::now());
                next += 1;
            }
        }
    }
    // An end marker after too few tokens makes a part look like the whole.
    if next == request.tokens {
        Verdict::Whole
    } else {
        Verdict::Wrong
    }
}

/// The data of the next event; `None` when the body ended or broke.
async fn next_data(answer: &mut Answer, buf: &mut BytesMut) -> Option<String> {
    loop {
        if let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
            let line = buf.split_to(end + 1);
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                return Some(data.trim_start().to_owned());
            }
            continue;
        }
        if buf.len() > MAX_LINE {
            return None;
        }
        let frame = answer.body.frame().await?.ok()?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
    }
}

fn event_text(data: &str) -> Option<String> {
    let event: Value = serde_json::from_str(data).ok()?;
    let choice = event.get("choices")?.get(0)?;
    let text = choice
        .get("text")
        .or_else(|| choice.get("delta")?.get("content"))?;
    text.as_str().map(str::to_owned)
}
