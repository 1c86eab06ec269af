//! Follows the platform's host list.

use {
    crate::{
        kernel::Kernel,
        source::{Hosts, Kind, Listing},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Pause between two looks at the list.
const PAUSE: Duration = Duration::from_secs(1);

/// Looks a second that all entry hosts may cost together.
const BUDGET: f64 = 200.0;

/// Starts following the list.
pub(super) fn start<H: Hosts>(
    kernel: &mut Kernel,
    platform: H,
    mut stop: watch::Receiver<()>,
) -> watch::Receiver<Arc<Listing>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let following = async move {
        let mut pause = PAUSE;
        loop {
            match platform.hosts().await {
                Ok(listing) => {
                    pause = share(&listing);
                    sender.send_if_modified(|known| {
                        let changed = **known != listing;
                        *known = Arc::new(listing);
                        changed
                    });
                }
                Err(error) => tracing::debug!(%error, "host list"),
            }
            sleep(pause).await;
        }
    };
    kernel.spawn("listing", async move {
        tokio::select! {
            () = following => {}
            _ = stop.changed() => {}
        }
    });
    receiver
}

/// The pause by which all entry hosts together stay within the budget.
fn share(listing: &Listing) -> Duration {
    let entries = listing.hosts.iter().filter(|host| host.kind == Kind::Entry);
    PAUSE.max(Duration::from_secs_f64(entries.count() as f64 / BUDGET))
}
