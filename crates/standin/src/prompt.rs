//! The JSON that callers send to an engine.

use eelgrassmill_base::Tokens;
use serde::Deserialize;

/// Tokens when the request names no number.
const DEFAULT_TOKENS: Tokens = 16;
const MAX_TOKENS: Tokens = 100_000;

/// The usual JSON of completions and chat completions, as far as it counts here.
#[derive(Debug, Deserialize)]
struct Wire {
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// What is asked of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    pub(crate) text: String,
    pub(crate) chat: bool,
    pub(crate) tokens: Tokens,
    pub(crate) stream: bool,
}

impl Prompt {
    /// Parses a body; the error says what is wrong with it.
    pub(crate) fn parse(body: &[u8]) -> Result<Prompt, String> {
        let wire: Wire = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let chat = wire.messages.is_some();
        let text = match (wire.prompt, wire.messages) {
            (Some(prompt), None) => prompt,
            (None, Some(messages)) => join(messages),
            _ => return Err("give either prompt or messages".to_owned()),
        };
        let tokens = wire.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if tokens > MAX_TOKENS {
            return Err(format!("max_tokens is over {MAX_TOKENS}"));
        }
        Ok(Prompt {
            text,
            chat,
            tokens,
            stream: wire.stream,
        })
    }
}

fn join(messages: Vec<Message>) -> String {
    let contents: Vec<String> = messages
        .into_iter()
        .map(|message| message.content)
        .collect();
    contents.join("\n")
}
