//! One call from its admission to the head of its answer.

use {
    super::{Call, Flow, Gateway, attempts::Attempts},
    crate::{clock::Clock, failure::Failure, link::exchange::Head},
};

impl<C: Clock> Gateway<C> {
    /// Runs a call that came from a caller: it is charged here and nowhere else.
    pub(super) async fn run_charged(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        let charge = self.charge(&call).await?;
        match self.run_claimed(call).await {
            Ok((head, flow)) => Ok((head, flow.charged(charge))),
            Err(failure) => {
                charge.into_iter().for_each(|charge| charge.fail(&failure));
                Err(failure)
            }
        }
    }

    /// Runs a call once its idempotency key, if it has one, is claimed.
    async fn run_claimed(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        let permit = self.claim(&call).await?;
        self.attempt(Attempts::new(self, call).permitted(permit))
            .await
    }

    /// Runs a call up to the head of its answer.
    pub(super) async fn run(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        self.attempt(Attempts::new(self, call)).await
    }

    async fn attempt(&self, mut attempts: Attempts<C>) -> Result<(Head, Flow<C>), Failure> {
        let begun = match attempts.start().await {
            Ok(begun) => begun,
            Err(failure) => {
                attempts.settle_failed(&failure);
                return Err(failure);
            }
        };
        let mut flow = Flow::new(attempts, begun);
        let head = flow.head().await?;
        Ok((head, flow))
    }
}
