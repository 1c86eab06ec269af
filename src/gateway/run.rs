//! One call from its admission to the head of its answer.

use {
    super::{Call, Flow, Gateway, choose::Next},
    crate::{clock::Clock, failure::Failure, link::exchange::Head},
};

impl<C: Clock> Gateway<C> {
    /// Runs a call that came from a caller: it is charged here and nowhere else.
    pub(super) async fn run_charged(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        self.run(call).await
    }

    /// Runs a call up to the head of its answer.
    pub(super) async fn run(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        match self.choose(&call)? {
            Next::Upstream(target, sent) => self.send(call, target, sent).await,
            Next::Host(host) => self.forward(call, &host).await,
        }
    }
}
