//! Implements the demonstration: a whole deployment in one process that serves a short burst
//! of requests.

mod burst;
mod caller;
mod deployment;
mod report;

use std::time::Duration;

use self::burst::Burst;
use self::deployment::Deployment;
use self::report::Report;
use crate::error::Error;
use crate::options::DemoView;
use crate::output::Output;

/// Interval between updates of the progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demonstration: starts a deployment, sends a burst of requests, stops the busiest
/// engine after a third of them and reports the results.
pub(crate) async fn run(output: &Output, view: &DemoView) -> Result<(), Error> {
    output.show_progress("starting stand-ins and two entry hosts")?;
    let mut deployment = Deployment::start().await?;
    if !output.is_json {
        output.write_line(&deployment.describe())?;
    }
    let burst = Burst::start(deployment.callers_addresses());
    let mut lost_generations = None;
    while !burst.is_finished() {
        if burst.finished_count() * 3 > burst.request_count()
            && lost_generations.is_none()
        {
            lost_generations = deployment.stop_busiest_engine();
        }
        let engine_stopped = lost_generations.map_or("", |_| ", one engine stopped");
        let progress = format!(
            "{} of {} requests answered{engine_stopped}",
            burst.finished_count(),
            burst.request_count()
        );
        output.show_progress(&progress)?;
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
    output.show_progress("")?;
    let runs = deployment.booking_runs();
    let report = Report::new(burst.outcomes(), lost_generations, &runs);
    match output.is_json {
        true => output.write_json(&report)?,
        false => report.write(output)?,
    }
    if view.keep {
        deployment.wait_for_interrupt(output).await?;
    }
    deployment.stop().await;
    report.check_guarantees()
}
