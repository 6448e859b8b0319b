use chicorystage_api::refusal::{Refusal, RefusalCode};
use serde::Deserialize;

/// Maximum number of generated tokens if the caller names none.
const MAX_TOKENS_DEFAULT: u32 = 256;

/// Parsed body of a completion or chat completion.
#[derive(Debug)]
pub(crate) struct CompletionBody {
    /// Model reference as the caller wrote it.
    pub(crate) model: String,
    /// Text to complete; the messages of a chat are joined, one `role: content` a line.
    pub(crate) prompt: String,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct PlainBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

impl CompletionBody {
    pub(crate) fn parse(bytes: &[u8], chat: bool) -> Result<Self, Refusal> {
        let bad_json = |error: serde_json::Error| {
            Refusal::not_run(RefusalCode::BadJson, format!("body: {error}"))
        };
        if !chat {
            let body: PlainBody = serde_json::from_slice(bytes).map_err(bad_json)?;
            return Ok(Self {
                model: body.model,
                prompt: body.prompt,
                max_tokens: body.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT),
                stream: body.stream,
            });
        }
        let body: ChatBody = serde_json::from_slice(bytes).map_err(bad_json)?;
        let lines = body
            .messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content));
        Ok(Self {
            model: body.model,
            prompt: lines.collect(),
            max_tokens: body.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT),
            stream: body.stream,
        })
    }
}
