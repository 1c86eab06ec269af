//! Types for the names used in the configuration tables, the host list and messages.
//!
//! A name is an immutable shared string; cloning it only increments a reference count.

use {
    serde::{Deserialize, Serialize},
    std::{
        borrow::Borrow,
        fmt::{self, Display, Formatter},
        sync::Arc,
    },
};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// An entry host: one instance of the gateway daemon.
    Host
);
name!(
    /// A build of an upstream's software. Builds have no order, and an answer that one build began
    /// can't be continued by another.
    Build
);
name!(
    /// A region, within which network latency is low.
    Region
);
name!(
    /// A failure domain: hosts of one region that may fail together.
    Domain
);
name!(
    /// A customer, who has keys, a rate and a share of the capacity.
    Customer
);
name!(
    /// A row of the pools table.
    Pool
);
name!(
    /// One replica of a model engine or of a plain service.
    Upstream
);
name!(
    /// A model, as named in callers' requests.
    Model
);
name!(
    /// A row of the routes table.
    Route
);
