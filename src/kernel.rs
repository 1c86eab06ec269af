//! The services of one process: registers their handles by name, starts their tasks, and waits for
//! them to end. Services look each other up at start-up only and keep the handles; no request
//! needs a lookup.

use {
    crate::{
        metric::Metrics,
        task::{Failure, Supervisor},
    },
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
#[derive(Debug)]
pub struct Kernel {
    handles: BTreeMap<&'static str, Box<dyn Any + Send + Sync>>,
    supervisor: Supervisor,
    tasks: JoinSet<&'static str>,
}

impl Kernel {
    /// A kernel without services, which counts the ends of their tasks in `metrics`.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            handles: BTreeMap::new(),
            supervisor: Supervisor::new(metrics),
            tasks: JoinSet::new(),
        }
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

    /// Starts a service's task, which is expected to end when its mailbox closes. If it ends before
    /// [`Self::stop`], it can't be started again, and [`Self::failure`] tells so.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.join_later(name, self.supervisor.guard(name, task));
    }

    /// Starts a service's task, and again whenever it ends before [`Self::stop`].
    pub fn keep<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        name: &'static str,
        start: impl FnMut() -> F + Send + 'static,
    ) {
        self.join_later(name, self.supervisor.keep(name, start));
    }

    /// Tells which task has ended that the process can't go on without.
    pub fn failure(&self) -> Failure {
        self.supervisor.failure()
    }

    /// From now on tasks are expected to end.
    pub fn stop(&self) {
        self.supervisor.stop();
    }

    fn join_later(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(async move {
            task.await;
            name
        });
    }

    /// Drops the published handles, so that mailboxes close, and waits until every task has ended.
    /// Panics of tasks are logged.
    pub async fn join(mut self) {
        self.stop();
        self.handles.clear();
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(name) => tracing::debug!(service = name, "service ended"),
                Err(error) => tracing::error!(%error, "service panicked"),
            }
        }
    }
}
