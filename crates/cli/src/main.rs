//! Entry point of `cardamomloom`, the command line of operators.

mod arguments;
mod commands;
mod context;
mod driver;
mod output;
mod processes;

use {
    arguments::{Arguments, Parsed},
    cardamomloom_core::error::{Error, Result, io},
    context::Context,
    output::Output,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let parsed = match Arguments::parse(env::args().skip(1)) {
        Ok(Parsed::Run(arguments)) => arguments,
        Ok(Parsed::Print(text)) => {
            output::print(&text);
            return ExitCode::SUCCESS;
        }
        Err(error) => return report(&error, false),
    };
    let json = parsed.json;
    match run(*parsed) {
        Ok(output) => {
            output.show(json);
            ExitCode::SUCCESS
        }
        Err(error) => report(&error, json),
    }
}

fn run(arguments: Arguments) -> Result<Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| io(format!("runtime: {error}")))?;
    let context = Context::new(&arguments)?;
    runtime.block_on(commands::run(&context, arguments.command))
}

fn report(error: &Error, json: bool) -> ExitCode {
    let answer = error.kind.entry();
    if json {
        let body = serde_json::json!({"error": {
            "kind": answer.name,
            "message": error.message,
            "exit_code": answer.exit_code,
            "action": answer.action,
        }});
        output::print(&body.to_string());
    } else {
        eprintln!("cardamomloom: {error}");
    }
    ExitCode::from(answer.exit_code)
}
