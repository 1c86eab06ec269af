//! How many requests a host may run at once at a pool that it shares with other hosts.

/// What a host believes about a pool's engines together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engines {
    /// Requests that they run at once.
    pub slots: f64,
    /// Requests of all hosts that are in them.
    pub outstanding: f64,
}

/// This host's part of a pool's slots, where `hosts` hosts share it and it runs `own` itself.
///
/// A host always has its equal part. While engines have slots free, it may also take its part of
/// those, so that a pool isn't idle while the demand sits at one host; once they are full it takes
/// nothing more than the equal part, and gives back the rest as requests end. So what the hosts
/// start together beyond the slots is bounded by the slots once more, for as long as reports lag.
pub fn host_slots(engines: Engines, own: u32, hosts: u32) -> u32 {
    let hosts = f64::from(hosts.max(1));
    let equal = (engines.slots / hosts).ceil();
    let free = engines.slots - engines.outstanding;
    let borrowed = f64::from(own) + (free / hosts).ceil();
    if free <= 0.0 {
        return equal as u32;
    }
    equal.max(borrowed) as u32
}
