//! Acceptance, joining and spread of the operators' documents.

#[path = "config/accept.rs"]
mod accept;
#[path = "config/network.rs"]
mod network;
#[path = "config/spread.rs"]
mod spread;
