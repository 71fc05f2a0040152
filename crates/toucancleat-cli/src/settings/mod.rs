//! The commands about the settings tree.

mod commit;
mod read;
mod show;

use std::path::Path;

use serde_json::{Value, json};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::{Edit, Problems, Tree, parse};
use toucancleat_entry::platform::Platform;

use self::commit::Proposal;
use self::read::Accepted;
use crate::error::Error;
use crate::options::{Commit, Connection, Format, SettingsCommand};
use crate::output::{Output, Table};

/// Longest value that a table of edits shows.
const VALUE_SHOWN_MAX_CHARS: usize = 60;

pub(crate) async fn run(command: SettingsCommand) -> Result<(), Error> {
    match command {
        SettingsCommand::Check { format, file } => check(&Output::stdout(&format), &file),
        SettingsCommand::Show {
            connection,
            format,
            file,
            effective,
            why,
        } => {
            let output = Output::stdout(&format);
            let accepted = shown_tree(&connection, file.as_deref()).await?;
            match effective {
                Some(scope) => show::effective(&output, &accepted.tree, &scope, why),
                None => show::tree(&output, &accepted),
            }
        }
        SettingsCommand::Get { connection, path } => get(&connection, &path).await,
        SettingsCommand::Set {
            connection,
            commit,
            path,
            value,
        } => {
            let value = serde_json::from_str(&value).unwrap_or(Value::String(value));
            change(&connection, &commit, vec![Edit::set(&path, value)]).await
        }
        SettingsCommand::Unset {
            connection,
            commit,
            path,
        } => change(&connection, &commit, vec![Edit::remove(&path)]).await,
        SettingsCommand::Apply {
            connection,
            commit,
            file,
        } => apply(&connection, &commit, &file).await,
        SettingsCommand::Diff {
            connection,
            format,
            from,
            file,
        } => diff(&connection, &Output::stdout(&format), from, file.as_deref()).await,
        SettingsCommand::Log {
            connection,
            format,
            limit,
        } => log(&connection, &format, limit).await,
        SettingsCommand::Undo {
            connection,
            commit,
            revision,
        } => undo(&connection, &commit, revision).await,
    }
}

/// Makes the accepted tree equal to a checked one.
pub(crate) async fn accept(
    platform: &Platform,
    author: &str,
    tree: Tree,
) -> Result<(), Error> {
    let latest = read::latest(platform).await?;
    let edits = latest.tree.diff(&tree);
    commit::accept(platform, author, &latest, edits, tree)
        .await
        .map(|_| ())
}

/// Returns a line for each edit.
pub(crate) fn edit_lines(edits: &[Edit]) -> Vec<String> {
    let line = |edit: &Edit| match &edit.value {
        Some(value) => format!("  {} = {}", edit.path, shortened(&value.to_string())),
        None => format!("  {} removed", edit.path),
    };
    edits.iter().map(line).collect()
}

fn check(output: &Output, file: &Path) -> Result<(), Error> {
    let result = parse(&read_text(file)?);
    if output.json {
        let problems = match &result {
            Ok(_) => Vec::new(),
            Err(problems) => problems_json(problems),
        };
        output.json(&json!({"problems": problems}))?;
    }
    let origin = file.display().to_string();
    let tree = result.map_err(|problems| Error::problems(&origin, problems))?;
    if !output.json {
        output.line(&format!("{origin}: no problems; {}", summary(&tree)))?;
    }
    Ok(())
}

async fn shown_tree(
    connection: &Connection,
    file: Option<&Path>,
) -> Result<Accepted, Error> {
    Ok(match file {
        Some(file) => Accepted {
            revision: None,
            tree: read_file(file)?,
        },
        None => read::latest(&connection.platform()?).await?.into(),
    })
}

async fn apply(
    connection: &Connection,
    commit: &Commit,
    file: &Path,
) -> Result<(), Error> {
    let wanted = read_file(file)?;
    let latest = read::latest(&connection.platform()?).await?;
    let edits = latest.tree.diff(&wanted);
    commit::propose(connection, commit, Proposal { latest, edits }).await
}

async fn get(connection: &Connection, path: &str) -> Result<(), Error> {
    let latest = read::latest(&connection.platform()?).await?;
    let value = latest.tree.get(path);
    let value =
        value.ok_or_else(|| Error::not_found(format!("nothing is set at {path}")))?;
    let output = Output::stdout(&Format { json: true });
    Ok(output.json(&value)?)
}

async fn change(
    connection: &Connection,
    commit: &Commit,
    edits: Vec<Edit>,
) -> Result<(), Error> {
    let latest = read::latest(&connection.platform()?).await?;
    commit::propose(connection, commit, Proposal { latest, edits }).await
}

async fn diff(
    connection: &Connection,
    output: &Output,
    from: Option<u64>,
    file: Option<&Path>,
) -> Result<(), Error> {
    let platform = connection.platform()?;
    let latest = read::latest(&platform).await?;
    let before = match from {
        Some(revision) => read::at(&platform, &latest, Revision(revision)).await?,
        None => latest.tree.clone(),
    };
    let after = match file {
        Some(file) => read_file(file)?,
        None => latest.tree,
    };
    let edits = before.diff(&after);
    match output.json {
        true => output.json(&edits)?,
        false if edits.is_empty() => output.line("no difference")?,
        false => output.line(&edit_lines(&edits).join("\n"))?,
    }
    Ok(())
}

async fn log(connection: &Connection, format: &Format, limit: u64) -> Result<(), Error> {
    let output = Output::stdout(format);
    let changes = read::changes(&connection.platform()?, limit).await?;
    if output.json {
        return Ok(output.json(&changes)?);
    }
    let mut table = Table::new(&["REVISION", "AT_UNIX_MS", "AUTHOR", "CHANGE"]);
    for change in &changes {
        let edits = edit_lines(&change.edits);
        let first = edits.first().map_or("", |line| line.trim());
        let further = match edits.len() {
            0 | 1 => String::new(),
            count => format!(" and {} more", count - 1),
        };
        table.row(vec![
            change.revision.to_string(),
            change.at_unix_ms.to_string(),
            change.author.clone(),
            format!("{first}{further}"),
        ]);
    }
    Ok(output.table(&table)?)
}

/// Commits the inverse of an accepted change, unless later changes touch the same places.
async fn undo(
    connection: &Connection,
    commit: &Commit,
    revision: Option<u64>,
) -> Result<(), Error> {
    let platform = connection.platform()?;
    let latest = read::latest(&platform).await?;
    let revision = revision.map_or(latest.seen.head.revision, Revision);
    if revision == Revision(0) || revision > latest.seen.head.revision {
        return Err(Error::not_found(format!(
            "there is no change {revision} to take back"
        )));
    }
    let before = read::at(&platform, &latest, Revision(revision.0 - 1)).await?;
    let change = read::change(&platform, revision).await?;
    let applied = before.apply(&change.edits)?;
    for edit in &applied.inverse {
        if latest.tree.get(&edit.path) != applied.tree.get(&edit.path) {
            let message =
                format!("{} was changed again after revision {revision}", edit.path);
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
    std::fs::read_to_string(file)
        .map_err(|error| Error::usage(format!("{}: {error}", file.display())))
}

fn summary(tree: &Tree) -> String {
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

fn shortened(text: &str) -> String {
    if text.chars().count() <= VALUE_SHOWN_MAX_CHARS {
        return text.to_owned();
    }
    let shown: String = text.chars().take(VALUE_SHOWN_MAX_CHARS).collect();
    format!("{shown}…")
}
