//! The number of requests that a host may run at once at a pool that it shares with other hosts.

/// Slots and load of a pool's engines together, as estimated by a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engines {
    /// Number of requests that the engines can run at once.
    pub slots: f64,
    /// Number of requests of all hosts in the engines.
    pub outstanding: f64,
}

/// This host's share of a pool's slots, where `hosts` hosts share the pool and this one runs `own`
/// requests there.
///
/// A host always has its equal share. While engines have free slots, it may also borrow its share
/// of those, so that a pool is not idle while the demand is at one host. Once the engines are full,
/// it is back at the equal share and frees the borrowed slots as requests end. So while load
/// reports lag, the hosts together start at most as many requests beyond the slots as there are
/// slots.
pub fn host_slots(engines: Engines, own: u32, hosts: u32) -> u32 {
    let hosts = f64::from(hosts.max(1));
    let equal_share = (engines.slots / hosts).ceil();
    let free_slots = engines.slots - engines.outstanding;
    let with_borrowed = f64::from(own) + (free_slots / hosts).ceil();
    if free_slots <= 0.0 {
        return equal_share as u32;
    }
    equal_share.max(with_borrowed) as u32
}
