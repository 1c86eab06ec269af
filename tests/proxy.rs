//! Tests of the proxy's decisions, without sockets.

#[path = "proxy/balance.rs"]
mod balance;
#[path = "proxy/build.rs"]
mod build;
#[path = "proxy/cold.rs"]
mod cold;
#[path = "proxy/common.rs"]
mod common;
#[path = "proxy/core.rs"]
mod core;
#[path = "proxy/crash.rs"]
mod crash;
#[path = "proxy/directory.rs"]
mod directory;
#[path = "proxy/era.rs"]
mod era;
#[path = "proxy/fingerprint.rs"]
mod fingerprint;
#[path = "proxy/fleet.rs"]
mod fleet;
#[path = "proxy/leaving.rs"]
mod leaving;
#[path = "proxy/load.rs"]
mod load;
#[path = "proxy/memory.rs"]
mod memory;
#[path = "proxy/odd.rs"]
mod odd;
#[path = "proxy/origin.rs"]
mod origin;
#[path = "proxy/pages.rs"]
mod pages;
#[path = "proxy/place.rs"]
mod place;
#[path = "proxy/quarantine.rs"]
mod quarantine;
#[path = "proxy/rate.rs"]
mod rate;
#[path = "proxy/reach.rs"]
mod reach;
#[path = "proxy/reader.rs"]
mod reader;
#[path = "proxy/readiness.rs"]
mod readiness;
#[path = "proxy/region.rs"]
mod region;
#[path = "proxy/replay.rs"]
mod replay;
#[path = "proxy/report.rs"]
mod report;
#[path = "proxy/rest.rs"]
mod rest;
#[path = "proxy/retry.rs"]
mod retry;
#[path = "proxy/sample.rs"]
mod sample;
#[path = "proxy/table.rs"]
mod table;
#[path = "proxy/throttle.rs"]
mod throttle;
#[path = "proxy/tries.rs"]
mod tries;
#[path = "proxy/upstreams.rs"]
mod upstreams;
#[path = "proxy/version.rs"]
mod version;
