//! Follows the platform's host list.

use {
    crate::{
        kernel::Kernel,
        link::Peers,
        name,
        platform::{Hosts, Kind, Listing},
        settings::Settings,
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Pause between two looks at the list.
const PAUSE: Duration = Duration::from_secs(1);

/// Starts following the list; peers' addresses go into `peers`.
pub(super) fn start<H: Hosts>(
    kernel: &mut Kernel,
    platform: H,
    peers: Peers,
    settings: &Settings,
    mut stop: watch::Receiver<()>,
) -> watch::Receiver<Arc<Listing>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let here = settings.name.clone();
    let following = async move {
        loop {
            match platform.hosts().await {
                Ok(listing) => {
                    learn(&listing, &peers, &here);
                    sender.send_if_modified(|known| {
                        let changed = **known != listing;
                        *known = Arc::new(listing);
                        changed
                    });
                }
                Err(error) => tracing::debug!(%error, "host list"),
            }
            sleep(PAUSE).await;
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

fn learn(listing: &Listing, peers: &Peers, here: &name::Host) {
    let entries = listing
        .hosts
        .iter()
        .filter(|host| host.kind == Kind::Entry && host.name != here.as_str());
    for host in entries {
        if let Some(address) = host.peer_address {
            peers.insert(host.name.as_str().into(), address);
        }
    }
}
