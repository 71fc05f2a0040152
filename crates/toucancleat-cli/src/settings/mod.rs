//! Implements the commands that check, show and change the settings tree.

mod commit;
mod read;
mod show;

use std::path::Path;

use serde_json::{Value, json};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::{Edit, Problems, Tree, parse};
use toucancleat_entry::platform::PlatformClient;

use self::commit::Proposal;
use self::read::ShownTree;
use crate::error::Error;
use crate::options::{Commit, Connection, Format, SettingsCommand};
use crate::output::{Output, Table};

/// Maximum length, in characters, of a value in a list of edits.
const VALUE_SHOWN_MAX_CHARS: usize = 60;

/// Runs one of the settings commands.
pub(crate) async fn run(command: SettingsCommand) -> Result<(), Error> {
    match command {
        SettingsCommand::Check { format, file } => {
            check_file(&Output::stdout(&format), &file)
        }
        SettingsCommand::Show {
            connection,
            format,
            file,
            effective,
            why,
        } => {
            let output = Output::stdout(&format);
            let shown = read_shown_tree(&connection, file.as_deref()).await?;
            match effective {
                Some(scope) => show::show_effective(&output, &shown.tree, &scope, why),
                None => show::show_tree(&output, &shown),
            }
        }
        SettingsCommand::Get { connection, path } => get_value(&connection, &path).await,
        SettingsCommand::Set {
            connection,
            commit,
            path,
            value,
        } => {
            let value = serde_json::from_str(&value).unwrap_or(Value::String(value));
            commit_change(&connection, &commit, vec![Edit::set(&path, value)]).await
        }
        SettingsCommand::Unset {
            connection,
            commit,
            path,
        } => commit_change(&connection, &commit, vec![Edit::remove(&path)]).await,
        SettingsCommand::Apply {
            connection,
            commit,
            file,
        } => apply_file(&connection, &commit, &file).await,
        SettingsCommand::Diff {
            connection,
            format,
            from,
            file,
        } => {
            show_diff(&connection, &Output::stdout(&format), from, file.as_deref()).await
        }
        SettingsCommand::Log {
            connection,
            format,
            limit,
        } => list_changes(&connection, &format, limit).await,
        SettingsCommand::Undo {
            connection,
            commit,
            revision,
        } => undo_change(&connection, &commit, revision).await,
    }
}

/// Commits the edits that make the accepted tree equal to a checked one.
pub(crate) async fn commit_tree(
    platform: &PlatformClient,
    author: &str,
    tree: Tree,
) -> Result<(), Error> {
    let latest = read::read_latest(platform).await?;
    let edits = latest.tree.diff(&tree);
    commit::commit_edits(platform, author, &latest, edits, tree)
        .await
        .map(|_| ())
}

/// Formats each edit as one line.
pub(crate) fn format_edits(edits: &[Edit]) -> Vec<String> {
    let line = |edit: &Edit| match &edit.value {
        Some(value) => format!("  {} = {}", edit.path, shorten(&value.to_string())),
        None => format!("  {} removed", edit.path),
    };
    edits.iter().map(line).collect()
}

fn check_file(output: &Output, file: &Path) -> Result<(), Error> {
    let result = parse(&read_text(file)?);
    if output.is_json {
        let problems = match &result {
            Ok(_) => Vec::new(),
            Err(problems) => problems_json(problems),
        };
        output.write_json(&json!({"problems": problems}))?;
    }
    let origin = file.display().to_string();
    let tree = result.map_err(|problems| Error::problems(&origin, problems))?;
    if !output.is_json {
        output.write_line(&format!("{origin}: no problems; {}", summarise(&tree)))?;
    }
    Ok(())
}

async fn read_shown_tree(
    connection: &Connection,
    file: Option<&Path>,
) -> Result<ShownTree, Error> {
    Ok(match file {
        Some(file) => ShownTree {
            revision: None,
            tree: read_file(file)?,
        },
        None => read::read_latest(&connection.platform()?).await?.into(),
    })
}

async fn apply_file(
    connection: &Connection,
    commit: &Commit,
    file: &Path,
) -> Result<(), Error> {
    let wanted = read_file(file)?;
    let latest = read::read_latest(&connection.platform()?).await?;
    let edits = latest.tree.diff(&wanted);
    commit::propose(connection, commit, Proposal { latest, edits }).await
}

async fn get_value(connection: &Connection, path: &str) -> Result<(), Error> {
    let latest = read::read_latest(&connection.platform()?).await?;
    let value = latest.tree.get(path);
    let value = value.ok_or_else(|| {
        Error::not_found(format!("expected a value at {path}, found none"))
    })?;
    let output = Output::stdout(&Format { json: true });
    Ok(output.write_json(&value)?)
}

async fn commit_change(
    connection: &Connection,
    commit: &Commit,
    edits: Vec<Edit>,
) -> Result<(), Error> {
    let latest = read::read_latest(&connection.platform()?).await?;
    commit::propose(connection, commit, Proposal { latest, edits }).await
}

async fn show_diff(
    connection: &Connection,
    output: &Output,
    from: Option<u64>,
    file: Option<&Path>,
) -> Result<(), Error> {
    let platform = connection.platform()?;
    let latest = read::read_latest(&platform).await?;
    let before = match from {
        Some(revision) => {
            read::read_revision(&platform, &latest, Revision(revision)).await?
        }
        None => latest.tree.clone(),
    };
    let after = match file {
        Some(file) => read_file(file)?,
        None => latest.tree,
    };
    let edits = before.diff(&after);
    match output.is_json {
        true => output.write_json(&edits)?,
        false if edits.is_empty() => output.write_line("no difference")?,
        false => output.write_line(&format_edits(&edits).join("\n"))?,
    }
    Ok(())
}

async fn list_changes(
    connection: &Connection,
    format: &Format,
    limit: u64,
) -> Result<(), Error> {
    let output = Output::stdout(format);
    let changes = read::read_latest_changes(&connection.platform()?, limit).await?;
    if output.is_json {
        return Ok(output.write_json(&changes)?);
    }
    let mut table = Table::new(&["REVISION", "AT_UNIX_MS", "AUTHOR", "CHANGE"]);
    for change in &changes {
        let edits = format_edits(&change.edits);
        let first = edits.first().map_or("", |line| line.trim());
        let more = match edits.len() {
            0 | 1 => String::new(),
            count => format!(" and {} more", count - 1),
        };
        table.add_row(vec![
            change.revision.to_string(),
            change.at_unix_ms.to_string(),
            change.author.clone(),
            format!("{first}{more}"),
        ]);
    }
    Ok(output.write_table(&table)?)
}

/// Commits the inverse of an accepted change, unless a later change touches the same paths.
async fn undo_change(
    connection: &Connection,
    commit: &Commit,
    revision: Option<u64>,
) -> Result<(), Error> {
    let platform = connection.platform()?;
    let latest = read::read_latest(&platform).await?;
    let revision = revision.map_or(latest.versioned_head.head.revision, Revision);
    if revision == Revision(0) || revision > latest.versioned_head.head.revision {
        return Err(Error::not_found(format!(
            "there is no change {revision} to revert; the latest is {}",
            latest.versioned_head.head.revision
        )));
    }
    let before =
        read::read_revision(&platform, &latest, Revision(revision.0 - 1)).await?;
    let change = read::read_change(&platform, revision).await?;
    let applied = before.apply(&change.edits)?;
    for edit in &applied.inverse {
        if latest.tree.get(&edit.path) != applied.tree.get(&edit.path) {
            let message = format!(
                "nothing was changed: {} was changed again after revision {revision}",
                edit.path
            );
            return Err(Error::conflict(message));
        }
    }
    let edits = applied.inverse;
    commit::propose(connection, commit, Proposal { latest, edits }).await
}

fn read_file(file: &Path) -> Result<Tree, Error> {
    let origin = file.display().to_string();
    parse(&read_text(file)?).map_err(|problems| Error::problems(&origin, problems))
}

fn read_text(file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|error| {
        Error::usage(format!("could not read {}: {error}", file.display()))
    })
}

fn summarise(tree: &Tree) -> String {
    let targets: usize = tree.pools.values().map(|pool| pool.targets.len()).sum();
    let events = tree.live_events.values();
    let organisations: usize = events.map(|event| event.organisations.len()).sum();
    format!(
        "{} availability zones, {targets} targets, {} live events, {organisations} organisations",
        tree.zones.len(),
        tree.live_events.len(),
    )
}

fn problems_json(problems: &Problems) -> Vec<Value> {
    let problems = problems.as_slice().iter();
    problems
        .map(|problem| {
            let position = problem.position();
            json!({
                "path": problem.path(),
                "message": problem.message(),
                "line": position.map(|position| position.line),
                "column": position.map(|position| position.column),
            })
        })
        .collect()
}

fn shorten(text: &str) -> String {
    if text.chars().count() <= VALUE_SHOWN_MAX_CHARS {
        return text.to_owned();
    }
    let shown: String = text.chars().take(VALUE_SHOWN_MAX_CHARS).collect();
    format!("{shown}…")
}
