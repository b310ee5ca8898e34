//! Arguments of the command line.

use {
    cardamomloom_core::{
        ObjectVersion, OperationId,
        error::{Result, invalid_argument},
    },
    gumdrop::{Options, ParsingStyle},
    std::path::PathBuf,
};

/// Longest accepted time of an option.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Options that are accepted before and after the command; the flag tells whether a value follows.
const GLOBAL_OPTIONS: [(&str, bool); 8] = [
    ("--json", false),
    ("--wait", false),
    ("--force", false),
    ("--store", true),
    ("--nodes", true),
    ("--agents", true),
    ("--wait-timeout-ms", true),
    ("--settle-timeout-ms", true),
];

/// Reads and changes the catalogue, and shows the state of the system.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help, or that of the command")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    /// Whether the output is one JSON document.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to wait until a change is in force everywhere.
    #[options(
        no_short,
        help = "after a change, wait until it is in force at every balancer"
    )]
    pub wait: bool,
    /// Whether a dangerous change is confirmed.
    #[options(no_short, help = "confirm a dangerous change")]
    pub force: bool,
    /// Base URL of the store.
    #[options(
        no_short,
        help = "base URL of the store; default is the variable CARDAMOMLOOM_STORE",
        meta = "URL"
    )]
    pub store: Option<String>,
    /// Endpoints of balancers.
    #[options(
        no_short,
        help = "endpoints of balancers (address:port, comma-separated) instead of the registered ones",
        meta = "LIST"
    )]
    pub nodes: Option<String>,
    /// Endpoints of agents.
    #[options(
        no_short,
        help = "endpoints of agents, for present use and burn",
        meta = "LIST"
    )]
    pub agents: Option<String>,
    /// Limit of `--wait`.
    #[options(
        no_short,
        help = "limit of --wait in ms",
        meta = "MS",
        default = "19000"
    )]
    pub wait_timeout_ms: u64,
    /// Time for which a lost answer is settled.
    #[options(
        no_short,
        help = "time to settle a write whose answer was lost, in ms",
        meta = "MS",
        default = "10000"
    )]
    pub settle_timeout_ms: u64,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// A command.
#[derive(Debug, Options)]
pub enum Command {
    /// Prints one object.
    #[options(help = "print an object, or settle the outcome of a write")]
    Get(GetOptions),
    /// Prints objects.
    #[options(help = "list objects")]
    List(ListOptions),
    /// Writes objects from a file.
    #[options(help = "create or replace objects from a file")]
    Apply(ApplyOptions),
    /// Sets fields.
    #[options(help = "set fields of an object")]
    Edit(EditOptions),
    /// Deletes an object.
    #[options(help = "delete an object")]
    Delete(DeleteOptions),
    /// Changes a failure domain.
    #[options(help = "take a failure domain out, or back in")]
    Domain(DomainOptions),
    /// Shows the state.
    #[options(help = "show versions in force, who lags and what is degraded")]
    Status(StatusOptions),
    /// Explains a flow.
    #[options(help = "tell why a flow goes where it goes")]
    Explain(ExplainOptions),
    /// Prints a report.
    #[options(help = "print a report")]
    Report(ReportOptions),
}

/// Options of `get`.
#[derive(Debug, Options)]
pub struct GetOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Key of the object.
    #[options(free, required, help = "key, such as services/bookings")]
    pub key: String,
    /// Operation whose outcome is looked up.
    #[options(
        no_short,
        help = "tell whether this operation took effect; needs --base",
        meta = "OPERATION"
    )]
    pub operation: Option<OperationId>,
    /// Version that the operation replaces.
    #[options(
        no_short,
        help = "version that the operation replaces",
        meta = "VERSION"
    )]
    pub base: Option<ObjectVersion>,
    /// Whether the operation deletes the object.
    #[options(no_short, help = "the operation is a deletion")]
    pub deletion: bool,
}

/// Options of `list`.
#[derive(Debug, Options)]
pub struct ListOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Prefix of the keys.
    #[options(free, help = "prefix of the keys, such as services/")]
    pub prefix: Option<String>,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    /// File with objects.
    #[options(
        required,
        help = "file with one object or an array of objects, JSON with comments; - is standard input",
        meta = "FILE"
    )]
    pub file: PathBuf,
    /// Whether to stop before the write.
    #[options(no_short, help = "print the differences and write nothing")]
    pub dry_run: bool,
}

/// Options of `edit`.
#[derive(Debug, Options)]
pub struct EditOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Key of the object.
    #[options(free, required, help = "key, such as services/bookings")]
    pub key: String,
    /// Fields to set.
    #[options(
        help = "FIELD=VALUE; VALUE is JSON, or text when it is not JSON; null removes the field",
        meta = "FIELD=VALUE"
    )]
    pub set: Vec<String>,
    /// Version that the operator saw.
    #[options(
        no_short,
        help = "fail unless the object has this version",
        meta = "VERSION"
    )]
    pub seen: Option<ObjectVersion>,
    /// Whether to stop before the write.
    #[options(no_short, help = "print the differences and write nothing")]
    pub dry_run: bool,
}

/// Options of `delete`.
#[derive(Debug, Options)]
pub struct DeleteOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Key of the object.
    #[options(free, required, help = "key, such as services/bookings")]
    pub key: String,
    /// Version that the operator saw.
    #[options(
        no_short,
        help = "fail unless the object has this version",
        meta = "VERSION"
    )]
    pub seen: Option<ObjectVersion>,
}

/// Options of `domain`.
#[derive(Debug, Options)]
pub struct DomainOptions {
    #[options(help = "print this help")]
    help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<DomainCommand>,
}

/// What to do with a failure domain.
#[derive(Debug, Options)]
pub enum DomainCommand {
    /// Takes it out.
    #[options(help = "take a failure domain out of service; its flows are given up")]
    Out(DomainOutOptions),
    /// Brings it back.
    #[options(help = "bring a failure domain back into service")]
    In(DomainInOptions),
}

/// Options of `domain out`.
#[derive(Debug, Options)]
pub struct DomainOutOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Name of the failure domain.
    #[options(free, required, help = "name of the failure domain")]
    pub name: String,
    /// Why it is taken out.
    #[options(required, help = "why it is taken out, for people", meta = "TEXT")]
    pub reason: String,
}

/// Options of `domain in`.
#[derive(Debug, Options)]
pub struct DomainInOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Name of the failure domain.
    #[options(free, required, help = "name of the failure domain")]
    pub name: String,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Address and port of the caller.
    #[options(free, required, help = "address and port of the caller")]
    pub caller: String,
    /// Address and port of the service.
    #[options(free, required, help = "address and port of the service")]
    pub service: String,
}

/// Options of `report`.
#[derive(Debug, Options)]
pub struct ReportOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Which report.
    #[options(command, required)]
    pub command: Option<ReportCommand>,
}

/// A report.
#[derive(Debug, Options)]
pub enum ReportCommand {
    /// Burn of the error budgets.
    #[options(help = "burn of the error budget of each service")]
    Burn(BurnOptions),
}

/// Options of `report burn`.
#[derive(Debug, Options)]
pub struct BurnOptions {
    #[options(help = "print this help")]
    help: bool,
    /// File for the plot.
    #[options(
        no_short,
        help = "also write a plot of the burn rate per hour",
        meta = "FILE.svg"
    )]
    pub plot: Option<PathBuf>,
}

/// What the arguments ask for.
pub enum Parsed {
    /// Run a command.
    Run(Box<Arguments>),
    /// Print a text and end.
    Print(String),
}

impl Arguments {
    /// Parses arguments without the program name.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when an option or command is unknown or incomplete.
    pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Parsed> {
        let arguments = globals_first(arguments);
        let parsed = Self::parse_args(&arguments, ParsingStyle::AllOptions)
            .map_err(|error| invalid_argument(format!("arguments: {error}; see --help")))?;
        if parsed.version {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Parsed::Print(format!("cardamomloom {version}")));
        }
        if parsed.help_requested() {
            return Ok(Parsed::Print(parsed.help_text()));
        }
        if parsed.command.is_none() {
            return Err(invalid_argument(
                "arguments: a command is required; see --help",
            ));
        }
        let timeouts = [
            ("--wait-timeout-ms", parsed.wait_timeout_ms),
            ("--settle-timeout-ms", parsed.settle_timeout_ms),
        ];
        for (field, timeout_ms) in timeouts {
            if !(1..=MAX_TIMEOUT_MS).contains(&timeout_ms) {
                return Err(invalid_argument(format!(
                    "arguments: field {field:?} is {timeout_ms}; allowed is 1 to {MAX_TIMEOUT_MS}"
                )));
            }
        }
        Ok(Parsed::Run(Box::new(parsed)))
    }

    fn help_text(&self) -> String {
        let mut name = "cardamomloom".to_owned();
        let mut command: Option<&dyn Options> = self.command();
        while let Some(inner) = command {
            if let Some(inner_name) = inner.command_name() {
                name.push(' ');
                name.push_str(inner_name);
            }
            command = inner.command();
        }
        let mut text = format!("Usage: {name} [OPTIONS]\n\n{}", self.self_usage());
        if let Some(commands) = self.self_command_list() {
            text.push_str("\n\nCommands:\n");
            text.push_str(commands);
        }
        text
    }
}

/// Moves the options that every command accepts to the front, where the parser expects them.
fn globals_first(arguments: impl Iterator<Item = String>) -> Vec<String> {
    let mut globals = Vec::new();
    let mut others = Vec::new();
    let mut arguments = arguments.peekable();
    while let Some(argument) = arguments.next() {
        if argument == "--" {
            others.push(argument);
            others.extend(arguments);
            break;
        }
        let name = argument.split('=').next().unwrap_or_default();
        let global = GLOBAL_OPTIONS.iter().find(|(option, _)| *option == name);
        match global {
            Some((_, has_value)) => {
                let needs_next = *has_value && !argument.contains('=');
                globals.push(argument);
                if needs_next && let Some(value) = arguments.next() {
                    globals.push(value);
                }
            }
            None => others.push(argument),
        }
    }
    globals.append(&mut others);
    globals
}
