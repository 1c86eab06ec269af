//! Orders of the platform to an engine: load and unload models, change role, drain. Each carries a
//! fencing number, by which orders of a superseded issuer can be refused.

use {
    super::Settings,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// An order in the form in which it is received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Fencing number; each new issuer uses a higher one.
    pub fencing: u64,
    /// The order itself.
    pub order: Order,
}

/// The operations that can be ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Load a version of a model and accept requests again.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
    },
    /// Stop serving a model.
    Unload {
        /// Name of the model.
        model: String,
    },
    /// Change to the named role.
    Role(String),
    /// Refuse new requests.
    Drain,
}

/// A received order and its result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The order as received.
    pub request: Request,
    /// Whether it was carried out; otherwise its fencing number was too low.
    pub taken: bool,
}

/// The state that orders change, and the log of all orders.
#[derive(Debug)]
pub(super) struct Control {
    check: bool,
    highest: u64,
    pub(super) models: BTreeMap<String, String>,
    pub(super) draining: bool,
    pub(super) role: String,
    pub(super) entries: Vec<Entry>,
}

impl Control {
    pub(super) fn new(settings: &Settings) -> Self {
        let version = settings.version.clone();
        Self {
            check: settings.fencing,
            highest: 0,
            models: settings
                .models
                .iter()
                .map(|model| (model.clone(), version.clone()))
                .collect(),
            draining: false,
            role: "serve".to_owned(),
            entries: Vec::new(),
        }
    }

    /// Carries out an order, or refuses it when its fencing number is lower than an earlier one and
    /// the engine checks these. The caller of this method does the loading of models.
    pub(super) fn apply(&mut self, request: Request) -> bool {
        let taken = !self.check || request.fencing >= self.highest;
        if taken {
            self.highest = self.highest.max(request.fencing);
            self.execute(&request.order);
        }
        self.entries.push(Entry { request, taken });
        taken
    }

    fn execute(&mut self, order: &Order) {
        match order {
            Order::Load { .. } => self.draining = false,
            Order::Unload { model } => {
                self.models.remove(model);
            }
            Order::Role(role) => self.role.clone_from(role),
            Order::Drain => self.draining = true,
        }
    }

    pub(super) fn record_loaded(&mut self, model: String, version: String) {
        self.models.insert(model, version);
    }

    pub(super) fn version(&self) -> String {
        self.models.values().next().cloned().unwrap_or_default()
    }
}
