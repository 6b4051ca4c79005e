//! Deterministic answers in the shapes of the model API.

use hickorycross_config::Digest;
use serde::Serialize;

/// Last event of a streamed answer.
pub(super) const DONE: &str = "data: [DONE]\n\n";

/// The text that an engine answers to a request: it depends on the model, on the text (the prompt,
/// or the messages' contents joined by line feeds) and on the number of tokens.
#[must_use]
pub fn expected_answer(model: &str, text: &str, tokens: u32) -> String {
    Answer::new(model, text).tokens(tokens).concat()
}

/// Makes the tokens of one answer.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    model: String,
    digest: Digest,
}

impl Answer {
    pub(super) fn new(model: &str, text: &str) -> Self {
        let digest = Digest::of(format!("{model}\n{text}").as_bytes());
        Self { model: model.to_owned(), digest }
    }

    pub(super) fn tokens(&self, count: u32) -> Vec<String> {
        (0..count).map(|index| format!("{}-{index} ", self.digest)).collect()
    }

    /// A whole answer; `chat` chooses between the two shapes.
    pub(super) fn whole(&self, chat: bool, count: u32) -> Completion {
        let text = self.tokens(count).concat();
        let object = if chat { "chat.completion" } else { "text_completion" };
        let part = if chat { Part::Message(Content::new(text)) } else { Part::Text(text) };
        let usage = Some(Usage { completion_tokens: count });
        self.completion(object, part, Some("length"), usage)
    }

    /// The events of a streamed answer, one a token, and one with the reason of its end.
    pub(super) fn events(&self, chat: bool, count: u32) -> Vec<Vec<u8>> {
        let object = if chat { "chat.completion.chunk" } else { "text_completion" };
        let event = |text: String, finish_reason| {
            let part = if chat { Part::Delta(Content::new(text)) } else { Part::Text(text) };
            let body = self.completion(object, part, finish_reason, None);
            // The bodies are plain structs: they always serialise.
            format!("data: {}\n\n", serde_json::to_string(&body).unwrap_or_default())
        };
        let mut events: Vec<String> =
            self.tokens(count).into_iter().map(|token| event(token, None)).collect();
        events.push(event(String::new(), Some("length")) + DONE);
        events.into_iter().map(String::into_bytes).collect()
    }

    fn completion(
        &self,
        object: &'static str,
        part: Part,
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
    ) -> Completion {
        Completion {
            id: format!("answer-{}", self.digest),
            object,
            model: self.model.clone(),
            choices: vec![Choice { index: 0, part, finish_reason }],
            usage,
        }
    }
}

/// Body of an answer or of one of its events.
#[derive(Debug, Serialize)]
pub(super) struct Completion {
    id: String,
    object: &'static str,
    model: String,
    choices: Vec<Choice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    #[serde(flatten)]
    part: Part,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Part {
    Message(Content),
    Delta(Content),
    Text(String),
}

#[derive(Debug, Serialize)]
struct Content {
    role: &'static str,
    content: String,
}

impl Content {
    fn new(content: String) -> Self {
        Self { role: "assistant", content }
    }
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}
