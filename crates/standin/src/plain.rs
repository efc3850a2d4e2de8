//! A plain service: answers a fixed function of the body.

use std::sync::Arc;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use crate::answer::expected_plain_answer;
use crate::delivery::{Delivery, again, keep, refuse};
use crate::engine::KILLER_MARK;
use crate::faults::Fault;
use crate::host::Host;
use crate::http::{Answer, CutOff, read_body};
use crate::meta::Meta;
use crate::runs::{RunEnd, RunLog};

/// Ends a run when it is dropped.
struct RunGuard<'a> {
    runs: &'a RunLog,
    place: Option<usize>,
    end: RunEnd,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.runs.ended(self.place, self.end);
    }
}

/// Answers a call.
///
/// # Errors
/// When the connection is to break with no answer.
pub(crate) async fn call(host: Arc<Host>, req: Request<Incoming>) -> Result<Answer, CutOff> {
    let host = &host;
    let incarnation = host.incarnation();
    let meta = Meta::parse(req.headers());
    let path = req.uri().path().to_owned();
    let body = match read_body(req).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    host.unpaused().await;
    if let Some(answer) = again(host, &meta) {
        return Ok(answer);
    }
    if host.faults.is_on(Fault::Refuse) {
        return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, &meta, "refusing"));
    }
    let repeated = meta.key.as_ref().is_some_and(|key| host.runs.has_run(key));
    if host.spec.refuses_repeats && repeated {
        return Ok(refuse(StatusCode::CONFLICT, &meta, "this key has run"));
    }
    let Some(_slot) = host.slots.take(meta.urgency).await else {
        return Ok(refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            &meta,
            "queue is full",
        ));
    };
    if !host.is_still(incarnation) {
        return Err(CutOff);
    }
    let body = String::from_utf8_lossy(&body);
    run(host, &meta, &path, &body).await
}

async fn run(host: &Arc<Host>, meta: &Meta, path: &str, body: &str) -> Result<Answer, CutOff> {
    let place = host.runs.began(meta.run(host));
    let mut guard = RunGuard {
        runs: &host.runs,
        place,
        end: RunEnd::Stopped,
    };
    if body.contains(KILLER_MARK) {
        host.faults
            .switch_on(Fault::Die, Some(host.spec.crash_time), None);
        host.changed.notify_one();
        return Err(CutOff);
    }
    let delivery = Delivery::new(host, meta);
    tokio::time::sleep(host.slowed(host.spec.pace.token)).await;
    let answer = json!({
        "request": meta.request, "path": path, "answer": expected_plain_answer(body),
    });
    let answer = answer.to_string();
    if !host.is_alive() {
        return Err(CutOff);
    }
    guard.end = RunEnd::Whole;
    keep(host, meta, &answer);
    delivery.wait().await;
    host.unpaused().await;
    Ok(delivery.whole("application/json", answer))
}
