//! Follows the platform's client directory.

use {
    crate::{directory::Places, kernel::Kernel, source::Clients},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Pause between two looks at the directory.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Pause after it could not be read.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Starts following the directory.
pub(super) fn start<P: Clients>(
    kernel: &mut Kernel,
    platform: P,
    mut stop: watch::Receiver<()>,
) -> watch::Receiver<Arc<Places>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let following = async move {
        loop {
            match platform.clients().await {
                Ok(directory) => {
                    sender.send_replace(Arc::new(Places::new(&directory)));
                    sleep(POLL_INTERVAL).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "client directory");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    };
    kernel.spawn("places", async move {
        tokio::select! {
            () = following => {}
            _ = stop.changed() => {}
        }
    });
    receiver
}
