//! Runs a demonstration of the whole system on loopback and prints one summary line.

use {
    cardamomloom_standins::demo::{Customer, run},
    gumdrop::Options,
    std::{env, fs, process::ExitCode},
};

/// Runs the whole system on loopback: stand-ins, three balancers and all hosts of a customer.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(free, help = "customer to simulate: derwent (default) or lenas")]
    customer: Option<Customer>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("cardamomloom-demo {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let customer = arguments.customer.unwrap_or(Customer::Derwent);
    let settings_folder = env::temp_dir().join(format!("cardamomloom-demo-{}", std::process::id()));
    let outcome = run(customer, &settings_folder);
    // The folder holds only the settings files of this run, so a failure to remove it is harmless.
    let _ = fs::remove_dir_all(&settings_folder);
    match outcome {
        Ok(outcome) => {
            println!(
                "requests={} ok={} broken={} misdelivered={} duplicated={}",
                outcome.callers.requests,
                outcome.callers.ok,
                outcome.callers.broken + outcome.callers.refused,
                outcome.callers.misdelivered,
                outcome.duplicated
            );
            if outcome.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("cardamomloom-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
