//! Binds addresses that may be in use, or not there yet, when the process starts.

use {
    super::retry::{Cause, Plan, Retry, Step},
    crate::{
        Error, Result,
        clock::Clock,
        net::{Listener, Network},
    },
    std::{
        future::{Future, pending},
        io,
        net::SocketAddr,
    },
    tokio::time::sleep,
};

/// The first two of the named addresses that can't both be bound, because they are the same or one
/// of them is its port on every address of the machine. Port 0 stands for any free port.
pub fn overlap<'a>(addresses: &[(&'a str, SocketAddr)]) -> Option<(&'a str, &'a str)> {
    let covers = |one: &SocketAddr, other: &SocketAddr| {
        one.ip() == other.ip() || one.ip().is_unspecified() && one.is_ipv4() == other.is_ipv4()
    };
    let mut pairs = addresses.iter().enumerate().flat_map(|(number, later)| {
        let earlier = addresses[..number].iter();
        earlier.map(move |earlier| (earlier, later))
    });
    let pair = pairs.find(|((_, one), (_, other))| {
        one.port() != 0 && one.port() == other.port() && (covers(one, other) || covers(other, one))
    });
    pair.map(|((one, _), (other, _))| (*one, *other))
}

/// An address that is bound, or will be.
#[derive(Debug)]
pub struct Claim<C> {
    place: Place<C>,
    bound: io::Result<Listener>,
}

#[derive(Debug, Clone)]
struct Place<C> {
    network: Network,
    step: &'static str,
    address: SocketAddr,
    clock: C,
}

impl<C: Clock> Claim<C> {
    /// Tries to bind an address once. `step` names it in errors and log lines, such as "binding the
    /// callers' address".
    pub async fn new(network: Network, step: &'static str, address: SocketAddr, clock: C) -> Self {
        let bound = network.bind(address).await;
        let place = Place {
            network,
            step,
            address,
            clock,
        };
        Self { place, bound }
    }

    /// Waits for an address with port 0, whose port is not known before it is bound.
    ///
    /// # Errors
    ///
    /// The address can't be bound for a reason that lasts.
    pub async fn with_known_port(self) -> Result<Self> {
        if self.place.address.port() != 0 {
            return Ok(self);
        }
        let place = self.place.clone();
        let bound = Ok(self.listener().await?);
        Ok(Self { place, bound })
    }

    /// The address that is bound, with the port that was selected, or the one that will be.
    pub fn address(&self) -> SocketAddr {
        let bound = self.bound.as_ref().ok();
        let bound = bound.and_then(|listener| listener.local_addr().ok());
        bound.unwrap_or(self.place.address)
    }

    /// Waits, as long as it takes, for the listener of an address that the process needs.
    ///
    /// # Errors
    ///
    /// The address can't be bound for a reason that lasts.
    pub async fn listener(self) -> Result<Listener> {
        match self.bound {
            Ok(listener) => Ok(listener),
            Err(error) => self.place.bind(error).await,
        }
    }

    /// Waits for the listener of an address that the process can do without, until `stop` completes.
    /// A reason that lasts is logged, and waits for `stop` too, so that it doesn't pass for the end of
    /// the task that serves the address.
    pub async fn listener_until(self, stop: impl Future<Output = ()>) -> Option<Listener> {
        let (step, address) = (self.place.step, self.place.address);
        let bound = async {
            match self.listener().await {
                Ok(listener) => listener,
                Err(error) => {
                    tracing::error!(event = "listen", state = "failed", step, %address, %error,
                        "going on without this address");
                    pending().await
                }
            }
        };
        tokio::select! {
            biased;
            listener = bound => Some(listener),
            () = stop => None,
        }
    }
}

impl<C: Clock> Place<C> {
    /// Binds the address after a first try has failed.
    async fn bind(self, mut error: io::Error) -> Result<Listener> {
        let Self { step, address, .. } = self;
        let mut retry = Retry::new(Plan::ADDRESS, self.clock.now());
        loop {
            let now = self.clock.now();
            match retry.failed(now, Cause::from(&error)) {
                Step::End => {
                    return Err(Error::Io {
                        step,
                        peer: address.to_string(),
                        source: error,
                    });
                }
                Step::Wait { pause, is_reported } => {
                    if is_reported {
                        tracing::warn!(event = "listen", state = "waiting", step, %address, %error,
                            waited_ms = retry.waited(now).as_millis() as u64, "can't bind the address yet");
                    }
                    sleep(pause).await;
                }
            }
            match self.network.bind(address).await {
                Ok(listener) => {
                    let waited = retry.waited(self.clock.now());
                    tracing::info!(event = "listen", state = "bound", step, %address,
                        waited_ms = waited.as_millis() as u64, "the address is bound");
                    return Ok(listener);
                }
                Err(failure) => error = failure,
            }
        }
    }
}
