//! The version of the targets' software at which a stream may continue.
//!
//! What two versions generate doesn't fit together, and targets don't check it. So each way in
//! which a stream changes its target asks this: a retry, a migration, a resumption from a copy
//! of the KV cache, and a resumption by the caller. See docs/design/software-versions.md.

use crate::target::{SoftwareVersion, TargetEntry};

/// The version at which a stream may continue.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Continuation {
    /// Any version, since the stream has not begun.
    #[default]
    AnyVersion,
    /// Only the version that began the stream.
    Only(SoftwareVersion),
    /// No version, since the one that began the stream isn't known.
    Nowhere,
}

impl Continuation {
    /// Returns where a stream may continue that a target with a version has begun.
    pub fn after(version: Option<&SoftwareVersion>) -> Self {
        version
            .cloned()
            .map_or(Continuation::Nowhere, Continuation::Only)
    }

    /// Returns true if a stream may continue at a target.
    pub fn permits(&self, entry: &TargetEntry) -> bool {
        match self {
            Continuation::AnyVersion => true,
            Continuation::Only(version) => {
                entry.software_version.as_ref() == Some(version)
            }
            Continuation::Nowhere => false,
        }
    }
}
