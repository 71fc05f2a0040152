//! Encoding of messages that disseminate settings.
//!
//! Settings are sent as JSON text. `toucancleat_core::settings` defines the schema of their
//! tree, and a second definition in Cap'n Proto would have to follow each change to it.

use std::sync::Arc;

use toucancleat_core::dissemination::Message;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::{Change, Edit, Tree};

use super::value::{read_id, read_list, read_text, write_id};
use crate::error::DecodeError;
use crate::spread_capnp as wire;

pub(crate) fn write(message: &Message, mut out: wire::message::Builder<'_>) {
    match message {
        Message::Announce { revision, age_ms } => {
            let mut out = out.init_announce();
            out.set_revision(revision.0);
            out.set_age_ms(*age_ms);
        }
        Message::Pull { known_revision } => out
            .set_pull(known_revision.map_or(0, |revision| revision.0.saturating_add(1))),
        Message::Delta {
            changes,
            revision,
            age_ms,
        } => {
            let mut out = out.init_delta();
            out.set_revision(revision.0);
            out.set_age_ms(*age_ms);
            let mut list = out.init_changes(changes.len() as u32);
            for (i, change) in changes.iter().enumerate() {
                write_change(change, list.reborrow().get(i as u32));
            }
        }
        Message::Snapshot {
            revision,
            tree,
            age_ms,
        } => {
            let mut out = out.init_snapshot();
            out.set_revision(revision.0);
            out.set_age_ms(*age_ms);
            out.set_tree(to_json(tree.as_ref()));
        }
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("spread", e))?;
    Ok(match which {
        Which::Announce(announce) => Message::Announce {
            revision: Revision(announce.get_revision()),
            age_ms: announce.get_age_ms(),
        },
        Which::Pull(next) => Message::Pull {
            known_revision: next.checked_sub(1).map(Revision),
        },
        Which::Delta(delta) => Message::Delta {
            changes: read_list("changes", delta.get_changes()?.iter(), read_change)?,
            revision: Revision(delta.get_revision()),
            age_ms: delta.get_age_ms(),
        },
        Which::Snapshot(snapshot) => Message::Snapshot {
            revision: Revision(snapshot.get_revision()),
            tree: Arc::new(read_tree(read_text("tree", snapshot.get_tree())?)?),
            age_ms: snapshot.get_age_ms(),
        },
    })
}

fn write_change(change: &Change, mut out: wire::change::Builder<'_>) {
    out.set_revision(change.revision.0);
    write_id(change.change_id.0, out.reborrow().init_change_id());
    out.set_author(change.author.as_str());
    out.set_at_unix_ms(change.at_unix_ms);
    let mut list = out.init_edits(change.edits.len() as u32);
    for (i, edit) in change.edits.iter().enumerate() {
        let mut out = list.reborrow().get(i as u32);
        out.set_path(edit.path.as_str());
        let mut value = out.init_value();
        match &edit.value {
            None => value.set_none(()),
            Some(json) => value.set_json(to_json(json)),
        }
    }
}

fn read_change(change: wire::change::Reader<'_>) -> Result<Change, DecodeError> {
    Ok(Change {
        revision: Revision(change.get_revision()),
        change_id: ChangeId(read_id(change.get_change_id()?)),
        author: read_text("author", change.get_author())?.to_owned(),
        at_unix_ms: change.get_at_unix_ms(),
        edits: read_list("edits", change.get_edits()?.iter(), read_edit)?,
    })
}

fn read_edit(edit: wire::edit::Reader<'_>) -> Result<Edit, DecodeError> {
    use wire::edit::value::Which;
    let which = edit.get_value().which();
    let value = match which.map_err(|e| DecodeError::not_in_schema("value", e))? {
        Which::None(()) => None,
        Which::Json(json) => {
            let json = read_text("value", json)?;
            let value = serde_json::from_str(json);
            Some(value.map_err(|_| DecodeError::invalid_value("value", "JSON"))?)
        }
    };
    Ok(Edit {
        path: read_text("path", edit.get_path())?.to_owned(),
        value,
    })
}

fn read_tree(json: &str) -> Result<Tree, DecodeError> {
    serde_json::from_str(json)
        .map_err(|_| DecodeError::invalid_value("tree", "a settings tree as JSON"))
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("settings have string keys")
}
