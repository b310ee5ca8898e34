//! Commands of `cardamomloom`.

mod changes;
mod explain;
mod explain_placement;
mod read;
mod report;
mod status;

use {
    crate::{arguments::Command, context::Context, output::Output},
    cardamomloom_core::error::{Result, invalid_argument},
};

/// Runs a command and returns its output.
///
/// # Errors
///
/// Fails with an error whose kind determines the exit code, and with kind `invalid_argument` when no
/// command is given.
pub async fn run(context: &Context, command: Option<Command>) -> Result<Output> {
    match command {
        Some(Command::Get(options)) => read::get(context, &options).await,
        Some(Command::List(options)) => read::list(context, &options).await,
        Some(Command::Apply(options)) => changes::apply(context, &options).await,
        Some(Command::Edit(options)) => changes::edit(context, &options).await,
        Some(Command::Delete(options)) => changes::delete(context, &options).await,
        Some(Command::Domain(options)) => changes::domain(context, options.command).await,
        Some(Command::Status(_)) => status::status(context).await,
        Some(Command::Explain(options)) => explain::explain(context, &options).await,
        Some(Command::Report(options)) => report::report(context, options.command).await,
        None => Err(invalid_argument(
            "arguments: a command is required; see --help",
        )),
    }
}
