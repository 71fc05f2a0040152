//! A whole deployment in one process, and a short rush through it.

mod burst;
mod caller;
mod deployment;
mod report;

use std::time::Duration;

use self::burst::Rush;
use self::deployment::Deployment;
use self::report::Report;
use crate::error::Error;
use crate::options::DemoView;
use crate::output::Output;

/// Pause between two looks at the rush's progress.
const PROGRESS_PAUSE: Duration = Duration::from_millis(100);

/// Runs the demonstration.
pub(crate) async fn run(output: &Output, view: &DemoView) -> Result<(), Error> {
    output.progress("starting stand-ins and two entry hosts")?;
    let mut deployment = Deployment::start().await?;
    if !output.json {
        output.line(&deployment.description())?;
    }
    let rush = Rush::begin(deployment.callers_addresses());
    let mut lost_generations = None;
    while !rush.is_over() {
        if rush.done() * 3 > rush.total() && lost_generations.is_none() {
            lost_generations = deployment.lose_an_engine();
        }
        let lost = lost_generations.map_or("", |_| ", one engine lost");
        let progress = format!(
            "{} of {} requests answered{lost}",
            rush.done(),
            rush.total()
        );
        output.progress(&progress)?;
        tokio::time::sleep(PROGRESS_PAUSE).await;
    }
    output.progress("")?;
    let runs = deployment.booking_runs();
    let report = Report::new(rush.outcomes(), lost_generations, &runs);
    match output.json {
        true => output.json(&report)?,
        false => report.write(output)?,
    }
    if view.keep {
        deployment.keep(output).await?;
    }
    deployment.stop().await;
    report.verdict()
}
