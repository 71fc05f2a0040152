//! Runs one case of the review: `stage CASE FOLDER`. The variable `TROUBLE` is 0 to leave the
//! disruption out.

mod case_alike;
mod case_memory;
mod case_origins;
mod case_part;
mod case_return;
mod client;
mod deployment;
mod http;
mod json;
mod record;
mod server;
mod session;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// What a run has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case is given.
pub struct Stage {
    pub record: Arc<Record>,
    pub has_trouble: bool,
    /// A temporary folder.
    pub folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stage CASE FOLDER");
        return ExitCode::from(2);
    };
    let name = format!("toucancleat-review-{}", std::process::id());
    let temporary = std::env::temp_dir().join(name);
    let stage = Stage {
        record: Arc::new(Record::create(Path::new(folder))),
        has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
        folder: temporary.clone(),
    };
    stage
        .record
        .note(format!("case {case}, with trouble: {}", stage.has_trouble));
    deployment::limit_time(Duration::from_secs(110));
    // A case that fails by itself has shown nothing. Hosts are killed when they are dropped.
    let run =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
            "alike" => case_alike::run(&stage),
            "part" => case_part::run(&stage),
            "origins" => case_origins::run(&stage),
            "memory" => case_memory::run(&stage),
            "return" => case_return::run(&stage),
            _ => Verdict::CouldNotRun,
        }));
    let verdict = run.unwrap_or(Verdict::CouldNotRun);
    stage.record.note(format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(temporary);
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
