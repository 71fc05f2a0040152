//! Command line of `toucancleat-load`.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use toucancleat_load::report::{Report, RunResult};
use toucancleat_load::spec::Spec;
use toucancleat_load::{decision, plot, run};

/// Number of decisions that the benchmark measures at each size of a zone.
const DECISIONS: usize = 200_000;

/// Open-loop load and experiments for toucancleat.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run the experiment that a file of JSON with comments describes.
    #[bpaf(command)]
    Run {
        /// Directory for the JSON, the table and the plot; without it only the table is
        /// printed.
        #[bpaf(long, argument("DIR"))]
        output: Option<PathBuf>,
        /// Run only this many of the file's seeds.
        #[bpaf(long, argument("COUNT"))]
        seeds: Option<usize>,
        /// Use this load share in place of the file's.
        #[bpaf(long, argument("SHARE"))]
        load_share: Option<f64>,
        /// File that describes the experiment.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Measure the cost of one decision at several sizes of a zone.
    #[bpaf(command)]
    Decision,
}

fn main() -> ExitCode {
    env_logger::init();
    let result = match options().run() {
        Options::Run {
            output,
            seeds,
            load_share,
            file,
        } => read_spec(&file, seeds, load_share)
            .and_then(|spec| run_experiment(spec, output)),
        Options::Decision => {
            print_decisions();
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn read_spec(
    file: &Path,
    seeds: Option<usize>,
    load_share: Option<f64>,
) -> io::Result<Spec> {
    let mut spec = Spec::read(file).map_err(io::Error::other)?;
    spec.seeds.truncate(seeds.unwrap_or(usize::MAX).max(1));
    spec.load_share = load_share.unwrap_or(spec.load_share);
    Ok(spec)
}

#[allow(clippy::print_stdout, reason = "the table is the program's output")]
fn run_experiment(spec: Spec, output: Option<PathBuf>) -> io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut results = Vec::new();
    for &seed in &spec.seeds {
        for &arm in &spec.arms {
            eprintln!("{}: seed {seed}, {}", spec.name, arm.as_str());
            let measured = runtime.block_on(run::run_arm(&spec, arm, seed))?;
            results.push(RunResult {
                arm,
                seed,
                measured,
            });
        }
    }
    let report = Report { spec, results };
    println!("{}", report.table());
    match output {
        Some(directory) => write_report(&report, &directory),
        None => Ok(()),
    }
}

fn write_report(report: &Report, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let load = (report.spec.load_share * 100.0).round();
    let path = |ending| directory.join(format!("{}-{load}.{ending}", report.spec.name));
    let json = serde_json::to_string_pretty(report).map_err(io::Error::other)?;
    std::fs::write(path("json"), json)?;
    std::fs::write(path("md"), report.table())?;
    std::fs::write(path("svg"), plot::render_svg(report))
}

#[allow(clippy::print_stdout, reason = "the table is the program's output")]
fn print_decisions() {
    println!("| targets | decisions | p50 µs | p99 µs | p99.9 µs |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for targets in [12, 150, 600] {
        let cost = decision::measure(targets, DECISIONS);
        let us = |duration: std::time::Duration| duration.as_nanos() as f64 / 1_000.0;
        println!(
            "| {} | {} | {:.2} | {:.2} | {:.2} |",
            cost.targets,
            cost.decisions,
            us(cost.p50),
            us(cost.p99),
            us(cost.p999)
        );
    }
}
