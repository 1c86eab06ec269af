//! Fault switches of the upstream stand-ins.

use {
    serde::{Deserialize, Serialize},
    std::sync::Mutex,
};

/// What an upstream does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Falls silent after some tokens, with the connection open; at none it sends not even headers.
    Stall {
        /// Tokens sent before.
        after: u32,
    },
    /// Breaks the connection after some tokens; at none without an answer. A plain service has run
    /// the call by then.
    Cut {
        /// Tokens sent before.
        after: u32,
    },
    /// Answers with another request's id.
    WrongId,
    /// Answers with bytes that make no sense.
    Garbage,
    /// Goes on answering without end.
    Endless,
    /// Answers 500.
    Error,
    /// Takes `factor` times as long.
    Slow {
        /// How many times as long.
        factor: u32,
    },
}

/// A fault and how often it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fault.
    pub fault: Fault,
    /// Requests that it strikes; absent for all until it is cleared.
    #[serde(default)]
    pub times: Option<u32>,
}

/// A switch that holds one fault at a time.
#[derive(Debug, Default)]
pub struct Switch(Mutex<Option<Order>>);

impl Switch {
    /// Sets or, with none, clears the fault.
    pub fn set(&self, order: Option<Order>) {
        *self.0.lock().unwrap() = order;
    }

    /// The fault that strikes the request which has just come.
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

    /// How many times as long everything takes now.
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
