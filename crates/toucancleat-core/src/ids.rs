//! Names and numbers that identify the things of the system.
//!
//! Names are shared strings: a request carries its organisation, kind and target through
//! many events, and cloning must not allocate.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from text.
            pub fn new(text: &str) -> Self {
                $name(Arc::from(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl $name {
            /// Parses 32 hexadecimal digits; any other text gives `None`.
            pub fn parse(text: &str) -> Option<Self> {
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return None;
                }
                u128::from_str_radix(text, 16).ok().map($name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                $name::parse(&text)
                    .ok_or_else(|| D::Error::custom("expected 32 hexadecimal digits"))
            }
        }
    };
}

name_type! {
    /// An entry host, unique in the fleet.
    HostName
}
name_type! {
    /// An availability zone.
    ZoneName
}
name_type! {
    /// An organisation, whose people send requests.
    OrganisationName
}
name_type! {
    /// A live event that begins at a fixed hour.
    LiveEventName
}
name_type! {
    /// A request kind, such as `draft` or `dues-posting`.
    KindName
}
name_type! {
    /// A pool of targets that serve the same kinds.
    PoolName
}
name_type! {
    /// A target: one model engine or one plain service.
    TargetName
}

number_type! {
    /// The revision of the settings tree; it only ever rises.
    Revision(u64)
}
number_type! {
    /// The number by which a target can refuse an order from an earlier lease holder.
    FencingNumber(u64)
}
number_type! {
    /// The incarnation of a host, raised by the host itself to refute a suspicion.
    Incarnation(u64)
}

hex_type! {
    /// One request as accepted by an entry host.
    RequestId
}
hex_type! {
    /// One attempt at a generation, unique over all attempts.
    GenerationId
}
hex_type! {
    /// One change of the settings, the same over all attempts to commit it.
    ChangeId
}
