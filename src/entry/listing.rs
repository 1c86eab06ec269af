//! Polls the platform's host list and publishes it to the other services.

use {
    crate::{
        kernel::Kernel,
        source::{Hosts, Kind, Listing},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Shortest interval between two reads of the list.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Most reads per second by all entry hosts together.
const MAX_READS_PER_S: f64 = 200.0;

/// Starts polling the list. The receiver holds the last list read.
pub(super) fn start<H: Hosts>(
    kernel: &mut Kernel,
    platform: H,
    stop: watch::Receiver<()>,
) -> watch::Receiver<Arc<Listing>> {
    let (sender, receiver) = watch::channel(Arc::default());
    kernel.keep("listing", move || {
        let (platform, sender, mut stop) = (platform.clone(), sender.clone(), stop.clone());
        async move {
            let polling = async {
                let mut interval = MIN_POLL_INTERVAL;
                loop {
                    match platform.hosts().await {
                        Ok(listing) => {
                            interval = poll_interval(&listing);
                            sender.send_if_modified(|known| {
                                let changed = **known != listing;
                                *known = Arc::new(listing);
                                changed
                            });
                        }
                        Err(error) => tracing::debug!(%error, "could not read the host list"),
                    }
                    sleep(interval).await;
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

/// The poll interval with which all entry hosts together stay within `MAX_READS_PER_S`.
fn poll_interval(listing: &Listing) -> Duration {
    let entries = listing.hosts.iter().filter(|host| host.kind == Kind::Entry);
    MIN_POLL_INTERVAL.max(Duration::from_secs_f64(
        entries.count() as f64 / MAX_READS_PER_S,
    ))
}
