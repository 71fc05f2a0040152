//! Plays one case of the review: `case NAME FOLDER`. Exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case could not run.

mod bad_part;
mod drill;
mod fleet;
mod foreign_entry;
mod in_place;
mod pause;
mod paused_server;
mod service_down;
mod store;
mod util;

use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::foreign_entry::Flaw;
use crate::util::Record;

/// What a case runs with.
pub struct Context<'a> {
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub directory: &'a Path,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

/// The result of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("could not write the record");
        return ExitCode::from(2);
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let directory = std::env::temp_dir().join(format!(
        "toucancleat-review-{}-{}",
        std::process::id(),
        since.as_nanos()
    ));
    if std::fs::create_dir_all(&directory).is_err() {
        return ExitCode::from(2);
    }
    let context = Context {
        record: record.clone(),
        directory: &directory,
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(&format!("case {name}, trouble: {}", context.has_trouble));
    let verdict = match name.as_str() {
        "foreign-entry" => foreign_entry::play(&context, Flaw::LacksField),
        "other-part" => foreign_entry::play(&context, Flaw::OtherPart),
        "bad-part" => bad_part::play(&context),
        "drill" => drill::play(&context),
        "paused-server" => paused_server::play(&context),
        "other-part-of-operator" => {
            foreign_entry::play(&context, Flaw::OtherPartOfOperator)
        }
        "pause" => pause::play(&context),
        "service-down" => service_down::play(&context, true),
        "service-down-alone" => service_down::play(&context, false),
        "in-place" => in_place::play(&context),
        _ => Verdict::NotRun(format!("there is no case {name}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&directory);
    } else {
        println!("logs: {}", directory.display());
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was BROKEN".to_owned()),
        Verdict::NotRun(cause) => (2, format!("the case could not run: {cause}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
