//! Requests of the model API, as far as the stand-in reads them.

use serde::Deserialize;

/// Tokens of an answer whose request does not say how many.
const DEFAULT_TOKENS: u32 = 16;

/// Body of a completion or chat completion request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Generate {
    pub(super) model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(super) stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
struct Message {
    content: String,
}

impl Generate {
    /// The text that the answer depends on: the prompt, or the messages' contents by line.
    pub(super) fn text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let contents: Vec<&str> =
            self.messages.iter().map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }

    /// Tokens of the answer.
    pub(super) fn tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_TOKENS)
    }
}
