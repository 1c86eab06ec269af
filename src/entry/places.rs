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
    stop: watch::Receiver<()>,
) -> watch::Receiver<Arc<Places>> {
    let (sender, receiver) = watch::channel(Arc::default());
    kernel.keep("places", move || {
        let (platform, sender, mut stop) = (platform.clone(), sender.clone(), stop.clone());
        async move {
            let polling = async {
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
            tokio::select! {
                () = polling => {}
                _ = stop.changed() => {}
            }
        }
    });
    receiver
}
