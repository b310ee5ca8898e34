//! Options and arguments of the command line.

use {
    cardamomloom_core::{
        ObjectVersion, OperationId,
        error::{Result, invalid_argument},
    },
    gumdrop::{Options, ParsingStyle},
    std::path::PathBuf,
};

/// Largest accepted value of a timeout option, in milliseconds: one hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Options that are accepted both before and after the command, each with whether it takes a value.
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
    /// Whether the output is one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Whether to wait after a change until it is in force at every balancer.
    #[options(
        no_short,
        help = "after a change, wait until it is in force at every balancer"
    )]
    pub wait: bool,
    /// Whether the operator confirms a change that is refused without this option.
    #[options(no_short, help = "confirm a change that is refused as dangerous")]
    pub force: bool,
    /// Base URL of the store; without it, the environment variable `CARDAMOMLOOM_STORE` applies.
    #[options(
        no_short,
        help = "base URL of the store; default is the environment variable CARDAMOMLOOM_STORE",
        meta = "URL"
    )]
    pub store: Option<String>,
    /// Comma-separated endpoints of balancers, which replace the registered ones.
    #[options(
        no_short,
        help = "endpoints of balancers (address:port, comma-separated) instead of the registered ones",
        meta = "LIST"
    )]
    pub nodes: Option<String>,
    /// Comma-separated endpoints of agents, which report open flows and burn.
    #[options(
        no_short,
        help = "endpoints of agents (address:port, comma-separated), which report open flows and burn",
        meta = "LIST"
    )]
    pub agents: Option<String>,
    /// Longest time that `--wait` waits, in milliseconds.
    #[options(
        no_short,
        help = "longest time that --wait waits, in ms",
        meta = "MS",
        default = "19000"
    )]
    pub wait_timeout_ms: u64,
    /// Longest time in milliseconds that is spent on resolving a write whose answer was lost.
    #[options(
        no_short,
        help = "longest time to resolve the outcome of a write whose answer was lost, in ms",
        meta = "MS",
        default = "10000"
    )]
    pub settle_timeout_ms: u64,
    /// Command to run; required unless help or the version is requested.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of `cardamomloom`.
#[derive(Debug, Options)]
pub enum Command {
    /// Prints one object, or resolves the outcome of a write.
    #[options(help = "print an object, or resolve the outcome of a write")]
    Get(GetOptions),
    /// Lists the objects whose keys have a prefix.
    #[options(help = "list objects")]
    List(ListOptions),
    /// Creates or replaces objects from a file.
    #[options(help = "create or replace objects from a file")]
    Apply(ApplyOptions),
    /// Sets fields of one object.
    #[options(help = "set fields of an object")]
    Edit(EditOptions),
    /// Deletes one object.
    #[options(help = "delete an object")]
    Delete(DeleteOptions),
    /// Takes a failure domain out of service, or brings it back.
    #[options(help = "take a failure domain out of service, or bring it back")]
    Domain(DomainOptions),
    /// Shows which versions are in force, which balancers lag, and what is degraded.
    #[options(help = "show versions in force, balancers that lag and what is degraded")]
    Status(StatusOptions),
    /// Explains how balancers route a flow.
    #[options(help = "explain which host a flow goes to, and why")]
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
    /// Operation id of the write whose outcome is resolved.
    #[options(
        no_short,
        help = "show whether this operation took effect; needs --base",
        meta = "OPERATION"
    )]
    pub operation: Option<OperationId>,
    /// Version of the object that the operation replaces.
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
    /// Prefix of the keys; without it, all objects are listed.
    #[options(free, help = "prefix of the keys, such as services/")]
    pub prefix: Option<String>,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    /// File with one object or an array of objects; `-` stands for standard input.
    #[options(
        required,
        help = "file with one object or an array of objects, JSON with comments; - is standard input",
        meta = "FILE"
    )]
    pub file: PathBuf,
    /// Whether to print the differences without writing.
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
    /// Assignments of the form `FIELD=VALUE`.
    #[options(
        help = "FIELD=VALUE; VALUE is JSON, or text when it is not JSON; null removes the field",
        meta = "FIELD=VALUE"
    )]
    pub set: Vec<String>,
    /// Version that the object must have; the command fails when it has another one.
    #[options(
        no_short,
        help = "fail unless the object has this version",
        meta = "VERSION"
    )]
    pub seen: Option<ObjectVersion>,
    /// Whether to print the differences without writing.
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
    /// Version that the object must have; the command fails when it has another one.
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
    /// Whether to take the failure domain out or to bring it back.
    #[options(command, required)]
    pub command: Option<DomainCommand>,
}

/// Commands of `domain`.
#[derive(Debug, Options)]
pub enum DomainCommand {
    /// Takes the failure domain out of service, without preserving its flows.
    #[options(help = "take a failure domain out of service; its flows are abandoned")]
    Out(DomainOutOptions),
    /// Brings the failure domain back into service.
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
    /// Why the failure domain is taken out.
    #[options(
        required,
        help = "why the failure domain is taken out, shown to other operators",
        meta = "TEXT"
    )]
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
    #[options(free, help = "address and port of the caller")]
    pub caller: Option<String>,
    /// Address and port of the service.
    #[options(free, help = "address and port of the service")]
    pub address: Option<String>,
    /// Service of a new flow with pass-through delivery, in place of the addresses.
    #[options(
        no_short,
        help = "with pass-through delivery: service of a new flow, in place of the addresses",
        meta = "NAME"
    )]
    pub service: Option<String>,
    /// Failure domain of the caller of the new flow.
    #[options(
        no_short,
        help = "failure domain of the caller; needs --service",
        meta = "DOMAIN"
    )]
    pub from: Option<String>,
    /// Endpoint of an agent whose view is shown too.
    #[options(
        no_short,
        help = "endpoint of an agent (address:port) whose view is shown; needs --service",
        meta = "ADDRESS"
    )]
    pub agent: Option<String>,
}

/// Options of `report`.
#[derive(Debug, Options)]
pub struct ReportOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Report to print.
    #[options(command, required)]
    pub command: Option<ReportCommand>,
}

/// Commands of `report`.
#[derive(Debug, Options)]
pub enum ReportCommand {
    /// Reports how fast each service uses up its error budget.
    #[options(help = "rate at which each service uses up its error budget")]
    Burn(BurnOptions),
}

/// Options of `report burn`.
#[derive(Debug, Options)]
pub struct BurnOptions {
    #[options(help = "print this help")]
    help: bool,
    /// SVG file that receives a plot of the burn rate.
    #[options(
        no_short,
        help = "also write a plot of the burn rate per hour",
        meta = "FILE.svg"
    )]
    pub plot: Option<PathBuf>,
}

/// Action that the arguments request.
pub enum ParsedArguments {
    /// Run a command.
    Run(Box<Arguments>),
    /// Print the help or the version, and exit.
    Print(String),
}

impl Arguments {
    /// Parses the arguments that follow the program name.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when an option or command is unknown or incomplete, when
    /// the command is missing, or when a timeout is out of range.
    pub fn parse(arguments: impl Iterator<Item = String>) -> Result<ParsedArguments> {
        let arguments = move_global_options_first(arguments);
        let parsed = Self::parse_args(&arguments, ParsingStyle::AllOptions)
            .map_err(|error| invalid_argument(format!("arguments: {error}; see --help")))?;
        if parsed.version {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(ParsedArguments::Print(format!("cardamomloom {version}")));
        }
        if parsed.help_requested() {
            return Ok(ParsedArguments::Print(parsed.help_text()));
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
        Ok(ParsedArguments::Run(Box::new(parsed)))
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

/// Moves the options that every command accepts to the front, because the parser accepts them only
/// before the command. Arguments after `--` stay where they are.
fn move_global_options_first(arguments: impl Iterator<Item = String>) -> Vec<String> {
    let mut global_options = Vec::new();
    let mut remaining = Vec::new();
    let mut arguments = arguments.peekable();
    while let Some(argument) = arguments.next() {
        if argument == "--" {
            remaining.push(argument);
            remaining.extend(arguments);
            break;
        }
        let name = argument.split('=').next().unwrap_or_default();
        let global_option = GLOBAL_OPTIONS.iter().find(|(option, _)| *option == name);
        match global_option {
            Some((_, has_value)) => {
                let takes_next = *has_value && !argument.contains('=');
                global_options.push(argument);
                if takes_next && let Some(value) = arguments.next() {
                    global_options.push(value);
                }
            }
            None => remaining.push(argument),
        }
    }
    global_options.append(&mut remaining);
    global_options
}
