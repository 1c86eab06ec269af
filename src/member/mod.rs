//! Membership: which hosts exist, and which of them are live, suspect, leaving or dead.
//!
//! The protocol follows SWIM. Each host pings the other hosts of its failure domain in turn, and
//! regularly a host of another one. A host that does not answer is pinged through others before it
//! is suspected, and can refute the suspicion before it is considered dead. A host has a record of
//! every host in its failure domain, and a digest of each other domain. The platform's list only
//! adds hosts that are not yet known. The fleet service runs the [`Machine`] and publishes its
//! [`View`].

mod domains;
mod event;
mod machine;
mod peer;
mod probe;
mod table;
mod view;

pub use {
    event::{Action, Event, Gossip, Listing, Message, Mutant, Report, Settings},
    machine::{Machine, TICK},
    peer::{Contact, Digest, Peer, State, Update},
    view::{Member, Source, Summary, View},
};
