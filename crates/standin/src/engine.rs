//! A model engine: the lead of a group runs requests token by token.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use crate::answer::token_text;
use crate::delivery::{Delivery, PieceSender, again, keep, refuse};
use crate::faults::Fault;
use crate::host::Host;
use crate::http::{Answer, CutOff, read_body};
use crate::meta::Meta;
use crate::prefix::BYTES_PER_TOKEN;
use crate::prompt::Prompt;
use crate::runs::RunEnd;
use crate::slots::Slot;
use crate::world::{Member, World};

/// A prompt that contains this crashes every member of the group that runs it.
pub const KILLER_MARK: &str = "KILL-TARGET";

const JSON: &str = "application/json";
const EVENTS: &str = "text/event-stream";
const DONE: &str = "data: [DONE]\n\n";
/// How far behind its pace a request may be and still make up for it.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);
const MAX_BATCH_SLOWNESS: u32 = 1_000_000;

/// One request while it runs. Dropping it ends the run.
struct Work {
    host: Arc<Host>,
    members: Vec<Member>,
    meta: Meta,
    prompt: Prompt,
    cancelled: Arc<AtomicBool>,
    place: Option<usize>,
    end: RunEnd,
    next_token: Instant,
    /// Held for as long as the request runs.
    _slot: Slot,
}

/// Answers a completion.
///
/// # Errors
/// When the connection is to break with no answer.
pub(crate) async fn complete(
    world: &World,
    host: &Arc<Host>,
    req: Request<Incoming>,
) -> Result<Answer, CutOff> {
    let mut meta = Meta::parse(req.headers());
    if host.faults.is_on(Fault::NoResume) {
        meta.resume_from = 0;
        meta.names_offset = false;
    }
    let body = match read_body(req).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    host.unpaused().await;
    if let Some(answer) = again(host, &meta) {
        return Ok(answer);
    }
    let prompt = match Prompt::parse(&body) {
        Ok(prompt) => prompt,
        Err(why) => return Ok(refuse(StatusCode::BAD_REQUEST, &meta, &why)),
    };
    match Work::begin(world, host, meta, prompt).await {
        Ok(work) => work.answer().await,
        Err(refusal) => Ok(*refusal),
    }
}

impl Work {
    /// Waits for a slot and begins; the refusal of what doesn't run.
    async fn begin(
        world: &World,
        host: &Arc<Host>,
        meta: Meta,
        prompt: Prompt,
    ) -> Result<Work, Box<Answer>> {
        let no = |why: &str| Box::new(refuse(StatusCode::SERVICE_UNAVAILABLE, &meta, why));
        if host.faults.is_on(Fault::Refuse) {
            return Err(no("refusing"));
        }
        let whole = || world.whole_group(host, &meta.group, meta.epoch);
        whole().map_err(|e| no(&e.to_string()))?;
        let cancelled = host.cancel_flag(&meta.request);
        let Some(slot) = host.slots.take(meta.urgency).await else {
            host.forget_cancel_flag(&meta.request, &cancelled);
            return Err(no("queue is full"));
        };
        // The group may have changed while the request waited.
        let members = whole().map_err(|e| no(&e.to_string()))?;
        let place = host.runs.began(meta.run(host));
        Ok(Work {
            host: Arc::clone(host),
            members,
            meta,
            prompt,
            cancelled,
            place,
            end: RunEnd::Stopped,
            next_token: Instant::now(),
            _slot: slot,
        })
    }

    async fn answer(self) -> Result<Answer, CutOff> {
        if self.prompt.text.contains(KILLER_MARK) {
            self.crash();
            // The connection breaks with the host.
            return Err(CutOff);
        }
        let delivery = Delivery::new(&self.host, &self.meta);
        if !self.prompt.stream {
            return self.answer_whole(&delivery).await;
        }
        let (answer, pieces) = delivery.stream(EVENTS);
        tokio::spawn(async move {
            delivery.wait().await;
            self.run_stream(pieces).await;
        });
        Ok(answer)
    }

    async fn answer_whole(mut self, delivery: &Delivery) -> Result<Answer, CutOff> {
        self.prefill().await;
        let mut text = String::new();
        for index in self.meta.resume_from..self.prompt.tokens {
            text.push_str(&self.token(index).await?);
        }
        self.end = RunEnd::Whole;
        let body = self.whole_body(&text);
        keep(&self.host, &self.meta, &body);
        delivery.wait().await;
        self.host.unpaused().await;
        Ok(delivery.whole(JSON, body))
    }

    /// Runs a stream for as long as its reader stays.
    async fn run_stream(mut self, mut pieces: PieceSender) {
        self.prefill().await;
        for index in self.meta.resume_from..self.prompt.tokens {
            let token = tokio::select! {
                token = self.token(index) => token,
                () = pieces.closed() => return,
            };
            let Ok(token) = token else {
                pieces.cut().await;
                return;
            };
            if !pieces.send(self.event(index, &token)).await {
                return;
            }
        }
        if pieces.send(DONE.to_owned()).await {
            self.end = RunEnd::Whole;
        }
    }

    async fn prefill(&mut self) {
        let missing = self.host.cache.admit(&self.prompt.text);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let time = self.host.spec.pace.prefill.saturating_mul(missing);
        self.next_token = Instant::now() + self.host.slowed(time);
    }

    /// Makes one token; an error when the group broke or the request is cancelled.
    async fn token(&mut self, index: u64) -> Result<String, CutOff> {
        // Timers fire up to a millisecond late; counting on from the time that was
        // due keeps the pace, and the bound keeps a pause from being made up for.
        let earliest = Instant::now() - MAX_CATCH_UP;
        self.next_token = self.next_token.max(earliest) + self.token_time();
        tokio::time::sleep_until(self.next_token).await;
        for member in &self.members {
            member.host.unpaused().await;
        }
        let broken = !self.members.iter().all(Member::holds);
        if broken || self.cancelled.load(Ordering::Acquire) {
            return Err(CutOff);
        }
        Ok(token_text(&self.prompt.text, index))
    }

    /// The slowest member sets the pace, and a larger batch is slower.
    fn token_time(&self) -> Duration {
        let pace = &self.host.spec.pace;
        let others = u32::try_from(self.host.slots.used().saturating_sub(1)).unwrap_or(0);
        let slowness = pace
            .batch_permille
            .saturating_mul(others)
            .min(MAX_BATCH_SLOWNESS);
        let time = pace.token + pace.token.saturating_mul(slowness) / 1_000;
        let times = self.members.iter().map(|member| member.host.slowed(time));
        times.max().unwrap_or(time)
    }

    fn event(&self, index: u64, token: &str) -> String {
        let finish = (index + 1 == self.prompt.tokens).then_some("length");
        let (object, choice) = if self.prompt.chat {
            let delta = json!({ "content": token });
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
            ("chat.completion.chunk", choice)
        } else {
            let choice = json!({ "index": 0, "text": token, "finish_reason": finish });
            ("text_completion", choice)
        };
        let event = json!({ "id": self.meta.request, "object": object, "choices": [choice] });
        format!("data: {event}\n\n")
    }

    fn whole_body(&self, text: &str) -> String {
        let (object, choice) = if self.prompt.chat {
            let message = json!({ "role": "assistant", "content": text });
            let choice = json!({ "index": 0, "message": message, "finish_reason": "length" });
            ("chat.completion", choice)
        } else {
            let choice = json!({ "index": 0, "text": text, "finish_reason": "length" });
            ("text_completion", choice)
        };
        let prompt_tokens = self.prompt.text.len().div_ceil(BYTES_PER_TOKEN);
        let completion_tokens = self.prompt.tokens.saturating_sub(self.meta.resume_from);
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens as u64 + completion_tokens,
        });
        let body = json!({
            "id": self.meta.request, "object": object, "choices": [choice], "usage": usage,
        });
        body.to_string()
    }

    fn crash(&self) {
        for member in &self.members {
            member
                .host
                .faults
                .switch_on(Fault::Die, Some(member.host.spec.crash_time), None);
            member.host.changed.notify_one();
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.host.runs.ended(self.place, self.end);
        self.host
            .forget_cancel_flag(&self.meta.request, &self.cancelled);
    }
}
