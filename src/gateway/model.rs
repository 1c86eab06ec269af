//! The body of a chat or completions call, as far as the gateway must know it.

use {
    crate::failure::{Code, Failure},
    bytes::Bytes,
    serde_json::{Map, Value},
    sha2::{Digest, Sha256},
};

/// Tokens of the answer where the caller sets no bound.
const DEFAULT_ANSWER_TOKENS: u64 = 1024;
/// Largest bound of an answer, in tokens.
const MAX_ANSWER_TOKENS: u64 = 1 << 20;
/// Bytes of the prompt whose hash stands for its shared prefix.
const PREFIX_BYTES: usize = 256;

/// What a model call asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The model.
    pub model: String,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Bytes of the prompt's text.
    pub prompt_bytes: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Hash of the beginning of the prompt.
    pub prefix_hash: u64,
    /// The body for the upstream, with the bound of the answer in it.
    pub body: Bytes,
}

impl Request {
    /// Reads the body of a chat or completions call.
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
                    .expect("a JSON object can be written")
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

/// The text of the prompt or of all messages.
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

/// The caller's bound on each choice of the answer, in tokens.
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
    u64::from_be_bytes(first.try_into().expect("a digest is longer than a number"))
}

fn invalid(message: impl Into<String>) -> Failure {
    Failure::not_run(Code::BadRequest, message)
}
