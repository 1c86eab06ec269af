//! The services of one process: registers their handles by name, starts their tasks, and waits for
//! them to end. Services look each other up at start-up only and keep the handles; no request
//! needs a lookup.

use {
    derive_more::{Display, Error},
    std::{any::Any, collections::BTreeMap, future::Future},
    tokio::task::JoinSet,
};

/// No service has published a handle of the requested type under the name.
#[derive(Debug, Display, Error)]
#[display("service {name} is not published with the expected handle")]
pub struct LookupError {
    /// The name that was looked up.
    pub name: &'static str,
}

/// The handles and tasks of the services of one process.
#[derive(Debug, Default)]
pub struct Kernel {
    handles: BTreeMap<&'static str, Box<dyn Any + Send + Sync>>,
    tasks: JoinSet<&'static str>,
}

impl Kernel {
    /// A kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Publishes a service's handle, usually the sender of its mailbox, under its name. A later
    /// handle of the same name replaces the earlier one.
    pub fn publish<H: Clone + Send + Sync + 'static>(&mut self, name: &'static str, handle: H) {
        self.handles.insert(name, Box::new(handle));
    }

    /// A clone of the handle published under a name.
    pub fn find<H: Clone + Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<H, LookupError> {
        self.handles
            .get(name)
            .and_then(|handle| handle.downcast_ref::<H>())
            .cloned()
            .ok_or(LookupError { name })
    }

    /// Starts a service's task, which is expected to end when its mailbox closes.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(async move {
            task.await;
            name
        });
    }

    /// Drops the published handles, so that mailboxes close, and waits until every task has ended.
    /// Panics of tasks are logged.
    pub async fn join(mut self) {
        self.handles.clear();
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(name) => tracing::debug!(service = name, "service ended"),
                Err(error) => tracing::error!(%error, "service panicked"),
            }
        }
    }
}
