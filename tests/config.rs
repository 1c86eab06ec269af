//! Tests of the validation and the distribution of the operators' documents.

#[path = "config/accept.rs"]
mod accept;
#[path = "config/network.rs"]
mod network;
#[path = "config/spread.rs"]
mod spread;
