//! Benchmark tool: runs one experiment and prints its report.

mod experiment;
mod report;

use {
    experiment::{Experiment, Result, RunOptions, registry},
    gumdrop::Options,
    stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc},
    std::{alloc::System, process::ExitCode},
};

/// Allocator that counts the allocated bytes, from which experiments report exact heap sizes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs one experiment and prints its report as a table or as one JSON object.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(no_short, help = "print JSON instead of a table")]
    json: bool,
    #[options(no_short, help = "seed of all random choices", default = "1")]
    seed: u64,
    #[options(no_short, help = "run small sizes and few rounds only")]
    quick: bool,
    #[options(no_short, help = "folder to write SVG plots to", meta = "DIR")]
    plots: Option<std::path::PathBuf>,
    #[options(free, help = "experiment to run; without one, lists all experiments")]
    experiment: Option<String>,
}

const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("cardamomloom-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let experiments = registry();
    let Some(name) = &arguments.experiment else {
        for experiment in experiments {
            println!("{:<14} {}", experiment.name(), experiment.summary());
        }
        return ExitCode::SUCCESS;
    };
    let Some(experiment) = experiments
        .iter()
        .find(|experiment| experiment.name() == name)
    else {
        eprintln!(
            "cardamomloom-bench: experiment {name:?} does not exist; run without one for a list"
        );
        return ExitCode::from(USAGE_EXIT_CODE);
    };
    let options = RunOptions {
        seed: arguments.seed,
        quick: arguments.quick,
        plots: arguments.plots,
    };
    match run(experiment.as_ref(), &options, arguments.json) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cardamomloom-bench: {error}");
            ExitCode::from(error.kind.entry().exit_code)
        }
    }
}

fn run(experiment: &dyn Experiment, options: &RunOptions, as_json: bool) -> Result<()> {
    let report = experiment.run(options)?;
    report.print(as_json);
    match &options.plots {
        Some(folder) => report.write_plot(folder),
        None => Ok(()),
    }
}
