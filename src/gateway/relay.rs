//! An answer's body on its way to the caller or to the host that forwarded the call.

use {
    super::{Call, Gateway, charge::Charge},
    crate::{
        clock::Clock,
        config::Snapshot,
        failure::{Code, Failure, Ran},
        link::exchange,
        queue::Slot,
        route::Sent,
        upstream,
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// Longest pause between two pieces of a stream.
const STREAM_PAUSE: Duration = Duration::from_secs(20);

/// Where the body comes from.
#[derive(Debug)]
pub(super) enum Source {
    Upstream(upstream::Body),
    Peer(Box<exchange::Body>),
}

impl Source {
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        match self {
            Self::Upstream(body) => body.next().await,
            Self::Peer(body) => body.next().await,
        }
    }
}

/// A body being relayed. It is pulled piece by piece, so that a slow reader slows the upstream;
/// dropping it cancels the work.
#[derive(Debug)]
pub struct Flow<C: Clock> {
    gateway: Gateway<C>,
    call: Call,
    source: Source,
    config: watch::Receiver<Option<Arc<Snapshot>>>,
    sent: Option<Sent<C>>,
    charge: Option<Charge<C>>,
    _slot: Option<Slot<C>>,
}

impl<C: Clock> Flow<C> {
    pub(super) fn new(
        gateway: &Gateway<C>,
        call: Call,
        source: Source,
        sent: Option<Sent<C>>,
        slot: Option<Slot<C>>,
    ) -> Self {
        gateway.parts().metrics.running.inc();
        Self {
            config: gateway.parts().config.clone(),
            gateway: gateway.clone(),
            call,
            source,
            sent,
            charge: None,
            _slot: slot,
        }
    }

    /// The same, with what the call was charged.
    pub(super) fn charged(mut self, charge: Option<Charge<C>>) -> Self {
        self.charge = charge;
        self
    }

    /// The call that is answered.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// The next piece, or `None` at the end of a whole body. Ends with a failure at the deadline,
    /// after a long pause, and when the key is withdrawn.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let piece = self.piece().await;
        match &piece {
            Ok(Some(bytes)) => {
                if let Some(charge) = &mut self.charge {
                    charge.observe(bytes);
                }
            }
            Ok(None) => {
                self.sent.take().into_iter().for_each(Sent::finished);
                self.charge.take().into_iter().for_each(Charge::finish);
            }
            Err(failure) if failure.code == Code::UpstreamFailed => {
                self.sent.take().into_iter().for_each(Sent::failed);
            }
            Err(_) => drop(self.sent.take()),
        }
        piece
    }

    async fn piece(&mut self) -> Result<Option<Bytes>, Failure> {
        let left = self
            .gateway
            .remaining(&self.call)
            .map_err(|failure| Failure {
                ran: Ran::Yes,
                ..failure
            })?;
        let limit = left.min(STREAM_PAUSE);
        tokio::select! {
            biased;
            failure = withdrawn(&mut self.config, &self.call) => Err(failure),
            piece = timeout(limit, self.source.next()) => match piece {
                Ok(piece) => piece,
                Err(_) => {
                    let message = "the upstream was silent for too long";
                    Err(Failure::new(Code::UpstreamFailed, Ran::Unknown, message))
                }
            },
        }
    }
}

impl<C: Clock> Drop for Flow<C> {
    fn drop(&mut self) {
        self.gateway.parts().metrics.running.dec();
    }
}

/// Waits until the call's key is withdrawn.
pub(super) async fn withdrawn(
    config: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    call: &Call,
) -> Failure {
    loop {
        let holds = match &*config.borrow_and_update() {
            Some(snapshot) => call.key_holds(snapshot),
            None => true,
        };
        if !holds {
            let message = "the key was withdrawn while the work ran";
            return Failure::new(Code::KeyWithdrawn, Ran::Yes, message);
        }
        if config.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
