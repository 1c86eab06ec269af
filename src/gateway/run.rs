//! One call from its admission to the head of its answer.

use {
    super::{
        Call, Flow, Gateway,
        choose::{Next, failure},
    },
    crate::{clock::Clock, failure::Failure, link::exchange::Head, route::Refusal},
};

/// Choices made for one call whose pool loses its last live replica while it waits.
const CHOICES: usize = 3;

impl<C: Clock> Gateway<C> {
    /// Runs a call that came from a caller: it is charged here and nowhere else.
    pub(super) async fn run_charged(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        let charge = self.charge(&call).await?;
        match self.run(call).await {
            Ok((head, flow)) => Ok((head, flow.charged(charge))),
            Err(failure) => {
                charge.into_iter().for_each(|charge| charge.fail(&failure));
                Err(failure)
            }
        }
    }

    /// Runs a call up to the head of its answer.
    pub(super) async fn run(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        for _ in 0..CHOICES {
            let pool = match self.choose(&call)? {
                Next::Pool(pool) => pool,
                Next::Host(host) => return self.forward(call, &host).await,
            };
            let arrived = self.parts().clock.now();
            let Some(slot) = self.admit(&call, &pool).await? else {
                continue;
            };
            let waited = self.parts().clock.now().saturating_sub(arrived);
            let target = self.target(&call, &pool, waited)?;
            return self.send(call, target, slot).await;
        }
        Err(failure(Refusal::Unavailable))
    }
}
