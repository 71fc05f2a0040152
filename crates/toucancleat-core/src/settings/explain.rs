//! The values in force, each with the level that sets it.

use std::fmt;

use indexmap::IndexMap;

use super::edit::join_pointer;
use super::tree::{Level, Tree};
use super::values::{Effective, Values};
use crate::prelude::*;

/// The values in force for a request, each with its source.
#[derive(Clone, Debug, PartialEq)]
pub struct Explained {
    /// The values.
    pub effective: Effective,
    /// The source of each value, in the order of [`Values::NAMES`].
    pub sources: IndexMap<&'static str, Source>,
}

/// The source of a value in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Source {
    /// No level sets the value.
    BuiltIn,
    /// A level sets the value for every kind.
    Level(LevelName),
    /// A level sets the value for one kind.
    Kind(LevelName, KindName),
}

/// A level of the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum LevelName {
    /// The whole fleet.
    Fleet,
    /// A live event.
    LiveEvent(LiveEventName),
    /// An organisation within a live event.
    Organisation(LiveEventName, OrganisationName),
}

impl Tree {
    /// Resolves the values as [`Tree::effective`] does, and returns the source of each.
    pub fn explain(
        &self,
        live_event: &LiveEventName,
        organisation: &OrganisationName,
        kind: &KindName,
    ) -> Option<Explained> {
        let levels = self.levels(live_event, organisation)?;
        explain_levels(&levels, kind)
    }
}

impl Source {
    /// Returns the location of a value from this source as a JSON pointer; `None` for a
    /// built-in default.
    pub fn path(&self, value_name: &str) -> Option<String> {
        let part = match self {
            Source::BuiltIn => return None,
            Source::Level(level) => format!("{}/values", level.path()),
            Source::Kind(level, kind) => {
                join_pointer(&format!("{}/kinds", level.path()), kind.as_str())
            }
        };
        Some(join_pointer(&part, value_name))
    }
}

impl LevelName {
    /// Returns the location of the level as a JSON pointer.
    pub fn path(&self) -> String {
        let event_path =
            |event: &LiveEventName| join_pointer("/live_events", event.as_str());
        match self {
            LevelName::Fleet => "/fleet".to_owned(),
            LevelName::LiveEvent(event) => format!("{}/level", event_path(event)),
            LevelName::Organisation(event, organisation) => {
                let organisations = format!("{}/organisations", event_path(event));
                format!(
                    "{}/level",
                    join_pointer(&organisations, organisation.as_str())
                )
            }
        }
    }
}

/// Resolves the values of a kind over levels given outermost first; `None` when no level
/// names the kind.
pub(super) fn explain_levels(
    levels: &[(LevelName, &Level)],
    kind: &KindName,
) -> Option<Explained> {
    if !levels
        .iter()
        .any(|(_, level)| level.kinds.contains_key(kind))
    {
        return None;
    }
    let mut values = Values::default();
    let built_in = Values::NAMES.iter().map(|name| (*name, Source::BuiltIn));
    let mut sources: IndexMap<&'static str, Source> = built_in.collect();
    for (name, level) in levels {
        values.overlay(&level.values);
        let source = Source::Level(name.clone());
        sources.extend(
            level
                .values
                .set_names()
                .map(|value| (value, source.clone())),
        );
        if let Some(kind_values) = level.kinds.get(kind) {
            values.overlay(kind_values);
            let source = Source::Kind(name.clone(), kind.clone());
            sources.extend(kind_values.set_names().map(|value| (value, source.clone())));
        }
    }
    Some(Explained {
        effective: Effective::from(&values),
        sources,
    })
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::BuiltIn => f.write_str("built-in default"),
            Source::Level(level) => write!(f, "{level}"),
            Source::Kind(level, kind) => write!(f, "{level}, kind {kind}"),
        }
    }
}

impl fmt::Display for LevelName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LevelName::Fleet => f.write_str("fleet"),
            LevelName::LiveEvent(event) => write!(f, "live event {event}"),
            LevelName::Organisation(event, organisation) => {
                write!(f, "live event {event}, organisation {organisation}")
            }
        }
    }
}
