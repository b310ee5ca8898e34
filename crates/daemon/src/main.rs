//! Entry point of `cardamomloomd`.

use {
    cardamomloom_core::error::Result,
    cardamomloom_daemon::{
        logging, passthrough, runtime,
        settings::{AnySettings, load},
    },
    gumdrop::Options,
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Layer-4 load balancer daemon: a balancer or an agent, by its settings.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    settings: Option<PathBuf>,
}

const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("cardamomloomd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("cardamomloomd: --settings FILE is required; see --help");
        return ExitCode::from(USAGE_EXIT_CODE);
    };
    let outcome = load(&path).and_then(|settings| start(&path, &settings, arguments.check));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cardamomloomd: {error}");
            ExitCode::from(error.kind.entry().exit_code)
        }
    }
}

fn start(path: &Path, settings: &AnySettings, check_only: bool) -> Result<()> {
    if check_only {
        println!("settings are valid");
        return Ok(());
    }
    logging::install(settings.log_level())?;
    match settings {
        AnySettings::Termination(settings) => runtime::run(settings),
        AnySettings::PassThrough(settings) => passthrough::run(path, settings),
    }
}
