//! Faults that a test injects into the upstream stand-ins through a switch, one at a time.

use {
    serde::{Deserialize, Serialize},
    std::sync::Mutex,
};

/// A fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Stops sending after some tokens and keeps the connection open. With zero tokens it does not
    /// even send headers.
    Stall {
        /// Number of tokens sent before the fault.
        after: u32,
    },
    /// Breaks the connection after some tokens; with zero tokens before any response. A plain
    /// service has executed the call by then.
    Cut {
        /// Number of tokens sent before the fault.
        after: u32,
    },
    /// Responds with another request's `x-request-id`.
    WrongId,
    /// Responds with a body that is not valid in its content type.
    Garbage,
    /// Sends a body that never ends.
    Endless,
    /// Responds with status 500.
    Error,
    /// Multiplies all processing times by `factor`.
    Slow {
        /// The multiplier; 0 counts as 1.
        factor: u32,
    },
}

/// A fault and the number of requests that it applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fault to inject.
    pub fault: Fault,
    /// Number of requests that it applies to; absent, all until it is cleared.
    #[serde(default)]
    pub times: Option<u32>,
}

/// Holds the current fault of a stand-in, if any.
#[derive(Debug, Default)]
pub struct Switch(Mutex<Option<Order>>);

impl Switch {
    /// Sets the fault, or clears it with none.
    pub fn set(&self, order: Option<Order>) {
        *self.0.lock().unwrap() = order;
    }

    /// The fault for the request that has just arrived; counts it against `times`.
    pub fn strike(&self) -> Option<Fault> {
        let mut order = self.0.lock().unwrap();
        let current = (*order)?;
        *order = match current.times {
            Some(0 | 1) => None,
            Some(left) => Some(Order {
                times: Some(left - 1),
                ..current
            }),
            None => Some(current),
        };
        (current.times != Some(0)).then_some(current.fault)
    }

    /// The multiplier of processing times: that of [`Fault::Slow`], else 1.
    pub fn factor(&self) -> u32 {
        match *self.0.lock().unwrap() {
            Some(Order {
                fault: Fault::Slow { factor },
                ..
            }) => factor.max(1),
            _ => 1,
        }
    }
}
