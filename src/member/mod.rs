//! Membership: which hosts there are, which of them are live, and who is leaving.
//!
//! Each host pings the others of its failure domain in turn, and now and then a host of another
//! one. A host that doesn't answer is pinged through others before it is suspected, and may object
//! before it is taken for dead. Within a failure domain every host is known; outside of it a
//! digest is. The platform's list only names hosts that are not yet known.

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
