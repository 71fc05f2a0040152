//! Showing a tree and the values in force.

use serde_json::{Map, Value, json};
use toucancleat_core::settings::{Explained, Tree};

use super::read::Accepted;
use crate::error::Error;
use crate::options::Scope;
use crate::output::{Output, Table};

/// Shows a tree as JSON, under its revision where it has one.
pub(super) fn tree(output: &Output, accepted: &Accepted) -> Result<(), Error> {
    if output.json {
        let json = json!({"revision": accepted.revision, "tree": accepted.tree});
        return Ok(output.json(&json)?);
    }
    if let Some(revision) = accepted.revision {
        output.line(&format!("// revision {revision}"))?;
    }
    Ok(output.json(&accepted.tree)?)
}

/// Shows the values in force for one kind of request.
pub(super) fn effective(
    output: &Output,
    tree: &Tree,
    scope: &Scope,
    why: bool,
) -> Result<(), Error> {
    let explained = tree.explain(&scope.live_event, &scope.organisation, &scope.kind);
    let explained = explained.ok_or_else(|| {
        let Scope {
            live_event,
            organisation,
            kind,
        } = scope;
        let message =
            format!("no kind {kind} for {organisation} in live event {live_event}");
        Error::not_found(message)
    })?;
    let values = values(&explained);
    if output.json {
        return Ok(output.json(&effective_json(&explained, &values, why))?);
    }
    let mut table = match why {
        true => Table::new(&["VALUE", "IN FORCE", "SET BY"]),
        false => Table::new(&["VALUE", "IN FORCE"]),
    };
    for (name, source) in &explained.sources {
        let mut row = vec![(*name).to_owned(), values[*name].to_string()];
        if why {
            row.push(source.to_string());
        }
        table.row(row);
    }
    Ok(output.table(&table)?)
}

fn values(explained: &Explained) -> Map<String, Value> {
    match serde_json::to_value(&explained.effective) {
        Ok(Value::Object(values)) => values,
        _ => Map::new(),
    }
}

fn effective_json(
    explained: &Explained,
    values: &Map<String, Value>,
    why: bool,
) -> Value {
    if !why {
        return Value::Object(values.clone());
    }
    let sources = explained.sources.iter().map(|(name, source)| {
        let entry = json!({
            "value": values[*name],
            "set_by": source.to_string(),
            "path": source.path(name),
        });
        ((*name).to_owned(), entry)
    });
    Value::Object(sources.collect())
}
