//! Identifiers: names, numbers and random ids.
//!
//! Names are reference-counted strings: a request carries its organisation, kind and target
//! through many events, and cloning them must not allocate.

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
            /// Creates a name from text.
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
            /// Parses exactly 32 hexadecimal digits; returns `None` for any other text.
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
    /// Name of an entry host, unique in the fleet.
    HostName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a region, which consists of availability zones.
    RegionName
}
name_type! {
    /// Name of an organisation on whose behalf requests are sent.
    OrganisationName
}
name_type! {
    /// Name of a live event, which starts at a scheduled time.
    LiveEventName
}
name_type! {
    /// Name of a request kind, such as `draft` or `dues-posting`.
    KindName
}
name_type! {
    /// Name of a pool of targets that serve the same request kinds.
    PoolName
}
name_type! {
    /// Name of a target: one model engine or one plain service.
    TargetName
}

number_type! {
    /// Revision of the settings tree, which increases monotonically.
    Revision(u64)
}
number_type! {
    /// Fencing number, by which a target rejects orders of an earlier lease holder.
    FencingNumber(u64)
}
number_type! {
    /// Incarnation of a host, which only the host itself raises, to refute a suspicion.
    Incarnation(u64)
}

hex_type! {
    /// Id of a request, assigned by the entry host that accepts it.
    RequestId
}
hex_type! {
    /// Id of one attempt at a generation, unique among all attempts.
    GenerationId
}
hex_type! {
    /// Id of a change of the settings, the same for all attempts to commit it.
    ChangeId
}
