//! Polls the platform's client directory and publishes the regions of client networks.

use {
    crate::{directory::Places, kernel::Kernel, source::Clients},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Interval between two reads of the directory.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Interval after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Starts polling the directory. The receiver holds the last one read.
pub(super) fn start<P: Clients>(
    kernel: &mut Kernel,
    platform: P,
    mut stop: watch::Receiver<()>,
) -> watch::Receiver<Arc<Places>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let polling = async move {
        loop {
            match platform.clients().await {
                Ok(directory) => {
                    sender.send_replace(Arc::new(Places::new(&directory)));
                    sleep(POLL_INTERVAL).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "could not read the client directory");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    };
    kernel.spawn("places", async move {
        tokio::select! {
            () = polling => {}
            _ = stop.changed() => {}
        }
    });
    receiver
}
