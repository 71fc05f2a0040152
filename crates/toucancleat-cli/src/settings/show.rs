//! Shows a tree or the values in force.

use serde_json::{Map, Value, json};
use toucancleat_core::settings::{Explained, Tree};

use super::read::ShownTree;
use crate::error::Error;
use crate::options::Scope;
use crate::output::{Output, Table};

/// Shows a tree as JSON, after its revision if it has one.
pub(super) fn show_tree(output: &Output, shown: &ShownTree) -> Result<(), Error> {
    if output.is_json {
        let json = json!({"revision": shown.revision, "tree": shown.tree});
        return Ok(output.write_json(&json)?);
    }
    if let Some(revision) = shown.revision {
        output.write_line(&format!("// revision {revision}"))?;
    }
    Ok(output.write_json(&shown.tree)?)
}

/// Shows the values in force for one request kind.
pub(super) fn show_effective(
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
        let message = format!(
            "expected a request kind of an organisation in a live event, found no kind \
             `{kind}` for `{organisation}` in `{live_event}`"
        );
        Error::not_found(message)
    })?;
    let values = effective_values(&explained);
    if output.is_json {
        return Ok(output.write_json(&effective_json(&explained, &values, why))?);
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
        table.add_row(row);
    }
    Ok(output.write_table(&table)?)
}

fn effective_values(explained: &Explained) -> Map<String, Value> {
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
