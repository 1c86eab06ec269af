//! Waiting for a turn at a pool.

use {
    super::{Call, Gateway, choose::BYTES_PER_TOKEN, relay::wait_for_withdrawal},
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        name,
        queue::{Reason, Refusal, Request, Slot, TOP_PRIORITY},
    },
};

/// The header in which callers give a priority.
const PRIORITY_HEADER: &str = "x-priority";
/// The priority of a call that names none.
const DEFAULT_PRIORITY: u8 = 5;

impl<C: Clock> Gateway<C> {
    /// Waits until a call may start at a pool; `None` when the pool has no live replica any more.
    pub(super) async fn admit(
        &self,
        call: &Call,
        pool: &name::Pool,
    ) -> Result<Option<Slot<C>>, Failure> {
        let customer = call.customer();
        let entrant = Request {
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
            admitted = self.dependencies().queue.admit(entrant) => admitted,
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
    let given = header.and_then(|header| std::str::from_utf8(&header.value).ok()?.parse().ok());
    given.map_or(DEFAULT_PRIORITY, |priority: u8| priority.min(TOP_PRIORITY))
}

/// The size of a call: a call of a plain service counts one token.
fn estimated_tokens(call: &Call) -> u64 {
    let Some(model_request) = &call.model_request else {
        return 1;
    };
    (model_request.prompt_bytes / BYTES_PER_TOKEN + model_request.answer_tokens).max(1)
}
