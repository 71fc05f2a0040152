//! Runs one case of the review: the project's own program in separate processes, before stand-ins
//! of the store, of servers and of clients.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod deployment;
mod http;
mod store;

use std::path::Path;
use std::time::Duration;

/// Time after which a case that has not ended is ended.
const TIME_MAX: Duration = Duration::from_secs(112);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        give_up("usage: harness CASE FOLDER, from the root of the repository");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_MAX);
        give_up("the case has taken too long");
    });
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        deployment::end_processes();
        std::process::exit(2);
    }));
    let record = deployment::Record::create(&Path::new(&folder).join("record.txt"));
    record.write(&format!("case {case}, disruption: {has_trouble}"));
    let is_broken = match case.as_str() {
        "revoke-last" => cases::revoke_last::run(&record, has_trouble),
        "poison-part" => cases::poison_part::run(&record, has_trouble),
        "tiny-chunks" => cases::tiny_chunks::run(&record, has_trouble),
        "late-stop" => cases::late_stop::run(&record, has_trouble),
        "reader-stop" => cases::reader_stop::run(&record, has_trouble),
        "herd-kill" => cases::herd_kill::run(&record, has_trouble),
        "endless-lines" => cases::endless_lines::run(&record, has_trouble),
        _ => give_up("unknown case"),
    };
    let verdict = if is_broken { "BROKEN" } else { "held" };
    record.write(&format!("the rule: {verdict}"));
    println!("the rule: {verdict}");
    deployment::end_processes();
    std::process::exit(i32::from(is_broken));
}

/// Ends a case that cannot run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    deployment::end_processes();
    std::process::exit(2);
}
