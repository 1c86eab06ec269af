//! Parses the body of a chat or completions call, as far as the gateway needs it.

use {
    crate::failure::{Code, Failure},
    bytes::Bytes,
    serde_json::{Map, Value},
    sha2::{Digest, Sha256},
};

/// Limit on the answer's tokens if the caller sets none.
const DEFAULT_ANSWER_TOKENS: u64 = 1024;
/// Largest limit on the answer's tokens that a caller may set.
const MAX_ANSWER_TOKENS: u64 = 1 << 20;
/// Bytes at the start of a prompt whose hash identifies the prefix that it shares with others.
const PREFIX_BYTES: usize = 256;

/// Parsed body of a chat or completions call.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Model name that the caller asks for.
    pub model: String,
    /// Whether the caller asks for a stream of server-sent events.
    pub stream: bool,
    /// Length of the prompt's text in bytes.
    pub prompt_bytes: u64,
    /// Most tokens of the answer, over all its choices; at least 1.
    pub answer_tokens: u64,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// Body for the upstream; it always limits the tokens of the answer.
    pub body: Bytes,
}

impl Request {
    /// Parses and checks a body. Adds the default token limit if the caller sets none.
    pub fn parse(body: &Bytes) -> Result<Self, Failure> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| invalid(format!("the body is not JSON: {error}")))?;
        let Value::Object(mut object) = value else {
            return Err(invalid("the body is not a JSON object"));
        };
        let model = object
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| invalid("the body names no model"))?
            .to_owned();
        let prompt = prompt(&object)?;
        let stream = bool_field(&object, "stream")?;
        let bound = token_limit(&object)?;
        let body = match bound {
            Some(_) => body.clone(),
            None => {
                object.insert("max_tokens".into(), DEFAULT_ANSWER_TOKENS.into());
                serde_json::to_vec(&object)
                    .expect("a JSON object serializes")
                    .into()
            }
        };
        let choices = object.get("n").and_then(Value::as_u64).unwrap_or(1).max(1);
        Ok(Self {
            model,
            stream,
            prompt_bytes: prompt.len() as u64,
            answer_tokens: bound
                .unwrap_or(DEFAULT_ANSWER_TOKENS)
                .saturating_mul(choices),
            prefix_hash: prefix_hash(&prompt),
            body,
        })
    }
}

/// Text of the prompt or of all messages.
fn prompt(object: &Map<String, Value>) -> Result<String, Failure> {
    let source = object
        .get("messages")
        .or_else(|| object.get("prompt"))
        .ok_or_else(|| invalid("the body has neither messages nor a prompt"))?;
    let mut text = String::new();
    collect_text(source, &mut text);
    Ok(text)
}

/// Appends every string of a value, in order.
fn collect_text(value: &Value, text: &mut String) {
    match value {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => parts.iter().for_each(|part| collect_text(part, text)),
        Value::Object(parts) => parts.values().for_each(|part| collect_text(part, text)),
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}

fn bool_field(object: &Map<String, Value>, name: &str) -> Result<bool, Failure> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(format!("{name} is neither true nor false"))),
    }
}

/// The caller's limit on the tokens of each choice of the answer.
fn token_limit(object: &Map<String, Value>) -> Result<Option<u64>, Failure> {
    let names = ["max_completion_tokens", "max_tokens"];
    let Some(value) = names.iter().find_map(|name| object.get(*name)) else {
        return Ok(None);
    };
    match value.as_u64() {
        Some(tokens) if (1..=MAX_ANSWER_TOKENS).contains(&tokens) => Ok(Some(tokens)),
        _ => Err(invalid(format!(
            "max_tokens is not within 1 to {MAX_ANSWER_TOKENS}"
        ))),
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    let (first, _) = digest.split_at(size_of::<u64>());
    u64::from_be_bytes(
        first
            .try_into()
            .expect("a SHA-256 digest has more than 8 bytes"),
    )
}

fn invalid(message: impl Into<String>) -> Failure {
    Failure::not_run(Code::BadRequest, message)
}
