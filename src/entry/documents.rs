//! Keeps the configuration in force: watches each document and joins what was accepted.

use {
    crate::{
        config::{
            Document, Fault, Row, Snapshot, accept,
            accept::Parsed,
            table::{Customers, Pools, Routes},
        },
        kernel::Kernel,
        platform::{Documents, Revised},
    },
    serde::Serialize,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
};

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after the service failed.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// What is known of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct Standing {
    /// The revision in force.
    pub(super) revision: u64,
    /// The revision that was refused last, and why.
    pub(super) refused: Option<Refused>,
}

/// A refused revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Refused {
    /// Its number.
    pub(super) revision: u64,
    /// Everything that is wrong with it.
    pub(super) faults: Vec<Fault>,
}

/// Handles of the service.
#[derive(Debug, Clone)]
pub(super) struct Handle {
    /// The configuration in force; `None` until all three documents are there.
    pub(super) snapshot: watch::Receiver<Option<Arc<Snapshot>>>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    routes: Option<Routes>,
    pools: Option<Pools>,
    customers: Option<Customers>,
    standing: BTreeMap<Document, Standing>,
}

impl Handle {
    /// What is known of each document.
    pub(super) fn standing(&self) -> BTreeMap<Document, Standing> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.standing.clone()
    }
}

/// Starts one watch a document.
pub(super) fn start<D: Documents>(
    kernel: &mut Kernel,
    platform: D,
    stop: watch::Receiver<()>,
) -> Handle {
    let (sender, snapshot) = watch::channel(None);
    let sender = Arc::new(sender);
    let state = Arc::default();
    for document in Document::ALL {
        let watching = follow(
            document,
            platform.clone(),
            Arc::clone(&state),
            sender.clone(),
        );
        let mut stop = stop.clone();
        kernel.spawn("documents", async move {
            tokio::select! {
                () = watching => {}
                _ = stop.changed() => {}
            }
        });
    }
    Handle { snapshot, state }
}

async fn follow<D: Documents>(
    document: Document,
    platform: D,
    state: Arc<Mutex<State>>,
    sender: Arc<watch::Sender<Option<Arc<Snapshot>>>>,
) {
    let mut seen = 0;
    loop {
        match platform.watch(document, seen, WATCH_WAIT).await {
            Ok(Some(revised)) if revised.revision > seen => {
                seen = revised.revision;
                install(document, &revised, &state, &sender);
            }
            Ok(Some(_)) => sleep(FAILURE_PAUSE).await,
            Ok(None) => {
                if seen == 0 {
                    sleep(FAILURE_PAUSE).await;
                }
            }
            Err(error) => {
                tracing::debug!(%document, %error, "configuration service");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn install(
    document: Document,
    revised: &Revised,
    state: &Mutex<State>,
    sender: &watch::Sender<Option<Arc<Snapshot>>>,
) {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    match accept::document(document, &revised.text) {
        Ok(parsed) => state.keep(parsed),
        Err(faults) => {
            for fault in &faults {
                tracing::error!(%document, revision = revised.revision, %fault, "document refused");
            }
            state.standing.entry(document).or_default().refused = Some(Refused {
                revision: revised.revision,
                faults,
            });
            return;
        }
    }
    tracing::info!(%document, revision = revised.revision, "document in force");
    state.standing.entry(document).or_default().revision = revised.revision;
    if let Some(snapshot) = state.snapshot() {
        sender.send_replace(Some(Arc::new(snapshot)));
    }
}

impl State {
    fn keep(&mut self, parsed: Parsed) {
        match parsed {
            Parsed::Routes(rows) => {
                self.routes = Some(Routes {
                    route: values(rows),
                })
            }
            Parsed::Pools(rows) => self.pools = Some(Pools { pool: values(rows) }),
            Parsed::Customers(rows) => {
                self.customers = Some(Customers {
                    customer: values(rows),
                });
            }
        }
    }

    fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot::new(
            self.routes.clone()?,
            self.pools.clone()?,
            self.customers.clone()?,
        ))
    }
}

fn values<T>(rows: Vec<Row<T>>) -> Vec<T> {
    rows.into_iter().map(|row| row.value).collect()
}
