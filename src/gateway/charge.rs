//! Charges calls against the rate limit of their customer.
//!
//! A call is charged in advance for the most tokens that it can use. What a whole answer did not
//! use is returned at the end.

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

/// Tokens charged for a call of a plain service.
const PLAIN_TOKENS: f64 = 1.0;
/// Number of bytes at the end of an answer that are searched for its usage.
const TAIL_BYTES: usize = 4096;
/// Longest wait before a refused call is tried once more, since another host may lend tokens
/// meanwhile.
const MAX_LOAN_WAIT: Duration = Duration::from_millis(200);
/// JSON field in which an answer reports its usage.
const USAGE_FIELD: &[u8] = b"\"usage\"";

/// A charge that is settled when the call ends. If dropped unsettled, it is kept in full.
#[derive(Debug)]
pub(super) struct Charge<C: Clock> {
    limit: limit::Handle<C>,
    ticket: Option<Ticket>,
    tail: Vec<u8>,
}

/// Usage that an answer reports.
#[derive(Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl<C: Clock> Gateway<C> {
    /// Charges the call's customer for the most tokens that the call can use. A call without a
    /// customer is not charged.
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
    /// Records a chunk of the answer.
    pub(super) fn record_chunk(&mut self, chunk: &[u8]) {
        self.tail.extend_from_slice(chunk);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    /// Settles the charge after a whole answer: returns the unused tokens to the customer, if the
    /// answer reports its usage. Returns the reported tokens.
    pub(super) fn finish(mut self) -> Option<f64> {
        let ticket = self.ticket.take()?;
        let used = reported_tokens(&self.tail);
        let charged = used.unwrap_or(ticket.charged);
        self.limit.settle(ticket, charged);
        used
    }

    /// Settles the charge after a failure: returns all tokens if the call surely did not run.
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

/// Most tokens that a call can use.
fn max_tokens(call: &Call) -> Result<f64, Failure> {
    let Some(model_request) = &call.model_request else {
        return Ok(PLAIN_TOKENS);
    };
    let prompt = model_request.prompt_bytes as f64 / call.route()?.bytes_per_token;
    Ok(prompt.ceil() + model_request.answer_tokens as f64)
}

/// Tokens that the end of an answer reports as used.
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
