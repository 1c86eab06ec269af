//! Admission: a call waits in the fair queue of its pool until it may start.

use {
    super::{Call, Gateway, choose::BYTES_PER_TOKEN, relay::wait_for_withdrawal},
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        name,
        queue::{MAX_PRIORITY, Reason, Refusal, Request, Slot},
    },
};

/// Request header with the caller's priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Priority of a call without a valid priority header.
const DEFAULT_PRIORITY: u8 = 5;

impl<C: Clock> Gateway<C> {
    /// Waits until a call may start at a pool. Returns `None` if the pool has lost its last live
    /// replica.
    pub(super) async fn admit(
        &self,
        call: &Call,
        pool: &name::Pool,
    ) -> Result<Option<Slot<C>>, Failure> {
        let customer = call.customer();
        let request = Request {
            pool,
            customer: customer.map(|row| &row.name),
            weight: customer.map_or(1, |row| row.weight),
            priority: priority(call),
            tokens: estimated_tokens(call),
            deadline: call.deadline,
        };
        let mut config = self.dependencies().config.clone();
        let admitted = tokio::select! {
            biased;
            failure = wait_for_withdrawal(&mut config, call) => {
                return Err(Failure { ran: Ran::No, ..failure });
            }
            admitted = self.dependencies().queue.admit(request) => admitted,
        };
        match admitted {
            Ok(slot) => Ok(Some(slot)),
            Err(Refusal::NoReplicas) => Ok(None),
            Err(Refusal::Shed {
                reason,
                retry_after,
            }) => {
                Err(Failure::not_run(failure_code(reason), reason.to_string())
                    .retry_after(retry_after))
            }
        }
    }
}

fn failure_code(reason: Reason) -> Code {
    match reason {
        Reason::Late => Code::Deadline,
        Reason::CustomerFull | Reason::Full => Code::NoCapacity,
        Reason::Withdrawn => Code::KeyWithdrawn,
    }
}

fn priority(call: &Call) -> u8 {
    let header = call
        .headers
        .iter()
        .find(|header| header.name == PRIORITY_HEADER);
    let requested = header.and_then(|header| std::str::from_utf8(&header.value).ok()?.parse().ok());
    requested.map_or(DEFAULT_PRIORITY, |priority: u8| priority.min(MAX_PRIORITY))
}

/// Size of a call in tokens, prompt and answer together; 1 for a call of a plain service.
fn estimated_tokens(call: &Call) -> u64 {
    let Some(model_request) = &call.model_request else {
        return 1;
    };
    (model_request.prompt_bytes / BYTES_PER_TOKEN + model_request.answer_tokens).max(1)
}
