//! Names of the things that the tables, the host list and the peers speak about.
//!
//! A name is an immutable shared string; cloning one copies a pointer.

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
            /// The name as text.
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
    /// An entry host: one daemon of this system.
    Host
);
name!(
    /// A region, within which the network is fast.
    Region
);
name!(
    /// A failure domain: hosts that may fail together. It lies in one region.
    Domain
);
name!(
    /// A customer, to whom keys, a rate and a share belong.
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
    /// A model as callers name it.
    Model
);
name!(
    /// A row of the routes table.
    Route
);
