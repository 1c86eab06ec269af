//! Acceptance, joining and spread of the operators' documents.

#[path = "config/accept.rs"]
mod accept;
