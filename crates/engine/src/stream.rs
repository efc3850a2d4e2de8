//! Token streams: server-sent events that end with a marker.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde_json::Value;
use tokio::time::timeout;

use crate::{BodyError, TargetResponse};

const DONE: &str = "[DONE]";
const MAX_EVENT: usize = 256 << 10;
/// How long the rest of a body after its end marker may take.
const REST_TIME: Duration = Duration::from_millis(10);

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A token.
    Token(TokenEvent),
    /// The end marker: the stream came whole.
    Done,
}

/// The data of one event, as the engine sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenEvent {
    /// JSON in the usual shape of a completion or chat chunk.
    pub data: String,
}

impl TokenEvent {
    /// The token's text; `None` when the event carries none.
    pub fn text(&self) -> Option<String> {
        let event: Value = serde_json::from_str(&self.data).ok()?;
        let choice = event.get("choices")?.get(0)?;
        let text = choice
            .get("text")
            .or_else(|| choice.get("delta")?.get("content"))?;
        text.as_str().map(str::to_owned)
    }
}

/// Reads the events of an answer.
#[derive(Debug)]
pub struct TokenStream {
    response: TargetResponse,
    buf: BytesMut,
    /// Bytes of `buf` that hold no line end.
    searched: usize,
    /// Data lines of the event that is being read. Kept here and not in the
    /// future that reads it: one that is dropped at a time-out must lose nothing.
    data: Option<String>,
    done: bool,
}

impl TokenStream {
    /// Reads `response` as server-sent events.
    pub fn new(response: TargetResponse) -> TokenStream {
        TokenStream {
            response,
            buf: BytesMut::new(),
            searched: 0,
            data: None,
            done: false,
        }
    }

    /// The next event; [`StreamEvent::Done`] once more after the end.
    ///
    /// # Errors
    /// When the body ends without the end marker, or breaks.
    pub async fn next(&mut self) -> Result<StreamEvent, BodyError> {
        if self.done {
            return Ok(StreamEvent::Done);
        }
        let data = self.event().await?;
        if data != DONE {
            return Ok(StreamEvent::Token(TokenEvent { data }));
        }
        self.done = true;
        // Reading to the end lets the connection be used again. The answer is
        // whole already, so it neither matters how this ends nor may it wait.
        let rest = async { while let Ok(Some(_)) = self.response.chunk().await {} };
        let _ = timeout(REST_TIME, rest).await;
        Ok(StreamEvent::Done)
    }

    /// Reads lines up to a blank one; gives their data joined by line ends.
    async fn event(&mut self) -> Result<String, BodyError> {
        loop {
            let line = self.line().await?;
            if line.is_empty() {
                if let Some(data) = self.data.take() {
                    return Ok(data);
                }
                continue;
            }
            let Some(value) = line.strip_prefix("data:") else {
                continue;
            };
            let value = value.strip_prefix(' ').unwrap_or(value);
            match &mut self.data {
                None => self.data = Some(value.to_owned()),
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
            }
            if self
                .data
                .as_ref()
                .is_some_and(|data| data.len() > MAX_EVENT)
            {
                return Err(BodyError::TooLong(MAX_EVENT));
            }
        }
    }

    async fn line(&mut self) -> Result<String, BodyError> {
        loop {
            let end = self.buf[self.searched..]
                .iter()
                .position(|byte| *byte == b'\n');
            if let Some(end) = end {
                let line = self.buf.split_to(self.searched + end);
                self.buf.advance(1);
                self.searched = 0;
                let line = line.strip_suffix(b"\r").unwrap_or(&line);
                return String::from_utf8(line.to_vec())
                    .map_err(|e| BodyError::Cut(format!("not text: {e}")));
            }
            self.searched = self.buf.len();
            if self.searched > MAX_EVENT {
                return Err(BodyError::TooLong(MAX_EVENT));
            }
            match self.response.chunk().await? {
                Some(piece) => self.buf.extend_from_slice(&piece),
                None => return Err(BodyError::Cut("no end marker".to_owned())),
            }
        }
    }
}
