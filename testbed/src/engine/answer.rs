//! Parses completion requests and builds completion responses, whole or streamed, in the shape of
//! the OpenAI API.

use {
    super::batch::Delta,
    crate::{
        serve::{self, Body},
        text,
    },
    bytes::Bytes,
    futures::stream,
    hyper::{Response, StatusCode},
    serde::Deserialize,
    serde_json::{Value, json},
    std::io,
    tokio::sync::mpsc,
};

/// Body of a chat or text completion request.
#[derive(Debug, Deserialize)]
pub(super) struct Request {
    pub(super) model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl Request {
    /// The prompt: the `prompt` field, or the contents of all messages joined by newlines.
    pub(super) fn prompt(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let contents = self.messages.iter().map(|message| match &message.content {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        });
        contents.collect::<Vec<_>>().join("\n")
    }

    pub(super) fn token_limit(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// The fields that every chunk of a response repeats, and the token counts of its usage.
#[derive(Debug, Clone)]
pub(super) struct Head {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) chat: bool,
    pub(super) prompt_tokens: u32,
    pub(super) total: u32,
    pub(super) max: u32,
}

impl Head {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total,
            "total_tokens": self.prompt_tokens.saturating_add(self.total),
        })
    }

    fn reason(&self) -> &'static str {
        if self.total >= self.max {
            "length"
        } else {
            "stop"
        }
    }

    fn object(&self, whole: bool) -> &'static str {
        match (self.chat, whole) {
            (true, true) => "chat.completion",
            (true, false) => "chat.completion.chunk",
            (false, _) => "text_completion",
        }
    }

    fn chunk(&self, token: &str) -> Bytes {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": token}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": token, "finish_reason": null})
        };
        event(&json!({
            "id": self.id, "object": self.object(false), "model": self.model,
            "choices": [choice],
        }))
    }

    fn last_chunk(&self) -> Bytes {
        let mut choice = json!({"index": 0, "finish_reason": self.reason()});
        if self.chat {
            choice["delta"] = json!({});
        } else {
            choice["text"] = json!("");
        }
        let chunk = event(&json!({
            "id": self.id, "object": self.object(false), "model": self.model,
            "choices": [choice], "usage": self.usage(),
        }));
        [chunk, Bytes::from_static(b"data: [DONE]\n\n")]
            .concat()
            .into()
    }

    fn whole(&self, text: &str) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": self.reason()});
        if self.chat {
            choice["message"] = json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = json!(text);
        }
        json!({
            "id": self.id, "object": self.object(true), "model": self.model,
            "choices": [choice], "usage": self.usage(),
        })
    }
}

fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

/// Streams the answer as server-sent events; a [`Delta::Cut`] breaks the connection.
pub(super) fn streamed(head: Head, deltas: mpsc::Receiver<Delta>) -> Response<Body> {
    let pieces = stream::unfold(Some((head, deltas)), |state| async {
        let (head, mut deltas) = state?;
        match deltas.recv().await {
            Some(Delta::Token(token)) => Some((Ok(head.chunk(&token)), Some((head, deltas)))),
            Some(Delta::Done) => Some((Ok(head.last_chunk()), None)),
            Some(Delta::Cut) | None => Some((Err(serve::cut_error()), None)),
        }
    });
    serve::stream("text/event-stream", pieces)
}

/// Collects the answer into one JSON body; returns an error, which breaks the connection, on a
/// [`Delta::Cut`].
pub(super) async fn whole(
    head: Head,
    mut deltas: mpsc::Receiver<Delta>,
) -> io::Result<Response<Body>> {
    let mut text = String::new();
    loop {
        match deltas.recv().await {
            Some(Delta::Token(token)) => text.push_str(&token),
            Some(Delta::Done) => break,
            Some(Delta::Cut) | None => return Err(serve::cut_error()),
        }
    }
    Ok(serve::json(StatusCode::OK, &head.whole(&text)))
}

/// A response with status 200 whose body is not valid in its content type.
pub(super) fn garbage(stream: bool) -> Response<Body> {
    let noise = text::token_of(0x6761_7262_6167_6500, 0).repeat(64);
    let kind = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    serve::answer(StatusCode::OK, kind, format!("{{]\u{7}{noise}"))
}

/// An error response in the shape of the OpenAI API.
pub(super) fn error(status: StatusCode, message: &str) -> Response<Body> {
    serve::json(
        status,
        &json!({"error": {"message": message, "type": "engine_error"}}),
    )
}
