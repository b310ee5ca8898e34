//! Entry point of `cardamomloom`, the command-line tool with which operators change the catalogue
//! and inspect balancers and agents.

mod arguments;
mod commands;
mod context;
mod driver;
mod output;
mod processes;

use {
    arguments::{Arguments, ParsedArguments},
    cardamomloom_core::error::{Error, Result, io},
    context::Context,
    output::Output,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let arguments = match Arguments::parse(env::args().skip(1)) {
        Ok(ParsedArguments::Run(arguments)) => arguments,
        Ok(ParsedArguments::Print(text)) => {
            output::print(&text);
            return ExitCode::SUCCESS;
        }
        Err(error) => return report_error(&error, false),
    };
    let json = arguments.json;
    match run(*arguments) {
        Ok(output) => {
            output.print(json);
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, json),
    }
}

fn run(arguments: Arguments) -> Result<Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| io(format!("runtime: cannot start the Tokio runtime: {error}")))?;
    let context = Context::new(&arguments)?;
    runtime.block_on(commands::run(&context, arguments.command))
}

/// Prints an error, as JSON to standard output or as text to standard error, and returns the exit
/// code of its kind.
fn report_error(error: &Error, json: bool) -> ExitCode {
    let kind_entry = error.kind.entry();
    if json {
        let body = serde_json::json!({"error": {
            "kind": kind_entry.name,
            "message": error.message,
            "exit_code": kind_entry.exit_code,
            "action": kind_entry.action,
        }});
        output::print(&body.to_string());
    } else {
        eprintln!("cardamomloom: {error}");
    }
    ExitCode::from(kind_entry.exit_code)
}
