//! Runs one call up to the head of its answer: charge, claim, attempts.

use {
    super::{Call, Gateway, Relay, attempts::Attempts},
    crate::{clock::Clock, failure::Failure, link::exchange::Head},
};

impl<C: Clock> Gateway<C> {
    /// Runs a call that came from a caller. Only the host that receives it charges it, not the
    /// hosts that it is forwarded to.
    pub(super) async fn run_charged(&self, call: Call) -> Result<(Head, Relay<C>), Failure> {
        let charge = self.charge(&call).await?;
        match self.run_claimed(call).await {
            Ok((head, relay)) => Ok((head, relay.with_charge(charge))),
            Err(failure) => {
                charge.into_iter().for_each(|charge| charge.fail(&failure));
                Err(failure)
            }
        }
    }

    /// Claims the idempotency key of a call, if it has one, and runs the call.
    async fn run_claimed(&self, call: Call) -> Result<(Head, Relay<C>), Failure> {
        let permit = self.claim(&call).await?;
        self.run_attempts(Attempts::new(self, call).with_permit(permit))
            .await
    }

    /// Runs a call up to the head of its answer, without a charge or claim.
    pub(super) async fn run(&self, call: Call) -> Result<(Head, Relay<C>), Failure> {
        self.run_attempts(Attempts::new(self, call)).await
    }

    async fn run_attempts(&self, mut attempts: Attempts<C>) -> Result<(Head, Relay<C>), Failure> {
        let answer = match attempts.start().await {
            Ok(answer) => answer,
            Err(failure) => {
                attempts.settle_failed(&failure);
                return Err(failure);
            }
        };
        let mut relay = Relay::new(attempts, answer);
        let head = relay.head().await?;
        Ok((head, relay))
    }
}
