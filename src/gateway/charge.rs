//! What a call is charged, and what of it comes back at the end.

use {
    super::{Call, Gateway},
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        limit::{self, Ticket, Verdict},
    },
    serde::Deserialize,
    std::time::Duration,
    tokio::time::sleep,
};

/// Tokens that a call of a plain service is charged.
const PLAIN_TOKENS: f64 = 1.0;
/// Bytes of an answer's end in which its usage is looked for.
const TAIL_BYTES: usize = 4096;
/// How long a call waits for a loan that may come before it is refused.
const MAX_LOAN_WAIT: Duration = Duration::from_millis(200);
/// The name under which an answer tells its usage.
const USAGE_FIELD: &[u8] = b"\"usage\"";

/// A charge that is settled when the call has ended. Dropped, it stays in full.
#[derive(Debug)]
pub(super) struct Charge<C: Clock> {
    limit: limit::Handle<C>,
    ticket: Option<Ticket>,
    tail: Vec<u8>,
}

/// What an answer says that it used.
#[derive(Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl<C: Clock> Gateway<C> {
    /// Charges a call's customer at the call's worst case; a call without one costs nothing.
    pub(super) async fn charge(&self, call: &Call) -> Result<Option<Charge<C>>, Failure> {
        let Some(customer) = &call.customer else {
            return Ok(None);
        };
        let tokens = max_tokens(call)?;
        let limit = &self.dependencies().limit;
        let mut verdict = limit.admit(customer, tokens);
        if let Verdict::Refused { retry_after } = verdict
            && retry_after <= MAX_LOAN_WAIT
        {
            sleep(retry_after).await;
            verdict = limit.admit(customer, tokens);
        }
        match verdict {
            Verdict::Admitted(ticket) => Ok(Some(Charge {
                limit: limit.clone(),
                ticket: Some(ticket),
                tail: Vec::new(),
            })),
            Verdict::Refused { retry_after } => {
                limit.count_refused(customer);
                let message = format!("{customer} is over its rate and burst by {tokens} tokens");
                Err(Failure::not_run(Code::RateLimited, message).retry_after(retry_after))
            }
            Verdict::TooLarge { burst } => {
                let message = format!(
                    "the call may take {tokens} tokens and the burst of {customer} is {burst}: ask for a shorter answer"
                );
                Err(Failure::not_run(Code::OverBurst, message))
            }
            Verdict::UnknownCustomer => {
                let message = format!("customer {customer} is not in force here yet");
                Err(Failure::not_run(Code::RateLimited, message).retry_after(MAX_LOAN_WAIT))
            }
        }
    }
}

impl<C: Clock> Charge<C> {
    /// Sees a piece of the answer.
    pub(super) fn record_chunk(&mut self, piece: &[u8]) {
        self.tail.extend_from_slice(piece);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    /// The answer is whole: what it didn't use comes back. Returns the tokens used, if the answer
    /// says.
    pub(super) fn finish(mut self) -> Option<f64> {
        let ticket = self.ticket.take()?;
        let used = reported_tokens(&self.tail);
        let taken = used.unwrap_or(ticket.charged);
        self.limit.settle(ticket, taken);
        used
    }

    /// The call failed: what surely didn't run comes back whole.
    pub(super) fn fail(mut self, failure: &Failure) {
        if let Some(ticket) = self.ticket.take_if(|_| failure.ran == Ran::No) {
            self.limit.settle(ticket, 0.0);
        }
    }
}

impl<C: Clock> Drop for Charge<C> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let charged = ticket.charged;
            self.limit.settle(ticket, charged);
        }
    }
}

/// Most tokens that a call can take.
fn max_tokens(call: &Call) -> Result<f64, Failure> {
    let Some(model_request) = &call.model_request else {
        return Ok(PLAIN_TOKENS);
    };
    let prompt = model_request.prompt_bytes as f64 / call.route()?.bytes_per_token;
    Ok(prompt.ceil() + model_request.answer_tokens as f64)
}

/// What the end of an answer says was used.
fn reported_tokens(tail: &[u8]) -> Option<f64> {
    let at = tail
        .windows(USAGE_FIELD.len())
        .rposition(|window| window == USAGE_FIELD)?;
    let rest = tail[at + USAGE_FIELD.len()..].trim_ascii_start();
    let value = rest.strip_prefix(b":")?;
    let usage = serde_json::Deserializer::from_slice(value)
        .into_iter::<Usage>()
        .next()?
        .ok()?;
    Some(usage.prompt_tokens.saturating_add(usage.completion_tokens) as f64)
}
