//! Orders to load and unload models, to change role and to drain.

use {
    super::Settings,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// An order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Grows from issuer to issuer.
    pub fencing: u64,
    /// What to do.
    pub order: Order,
}

/// What an engine can be told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Load a version of a model.
    Load {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: String,
    },
    /// Change role.
    Role(String),
    /// Take no new work.
    Drain,
}

/// An order as it was met.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The order.
    pub request: Request,
    /// Whether it was carried out.
    pub taken: bool,
}

/// What the engine has been told so far.
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

    /// Takes an order or refuses it for its old fencing number; loading is left to the caller.
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
