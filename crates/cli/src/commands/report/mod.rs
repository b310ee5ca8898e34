//! Command `report burn`: how fast each service uses up its error budget.

mod plot;

use {
    crate::{
        arguments::{BurnOptions, ReportCommand},
        context::Context,
        output::{Output, format_table},
        processes::{self, ProcessAnswer},
    },
    cardamomloom_core::{
        Alert, PartsPerMillion, ServiceId, ServiceName,
        error::{Error, ErrorKind, Result, invalid_argument, io},
    },
    cardamomloom_protocol::object::{self, SERVICES_PREFIX, ServiceSpec},
    cardamomloom_state::burn::{
        ProcessSamples, ServiceSamples, Urgency, WINDOWS_S, WindowSum, burn_rate, merge, urgency,
    },
    serde::Deserialize,
    serde_json::{Value, json},
    std::fs,
};

/// Service-level burn of one service, summed over all processes that answered.
struct ServiceBurn {
    name: ServiceName,
    objective: PartsPerMillion,
    /// Sums over each window of [`WINDOWS_S`], or empty if no process reported the service.
    windows: Vec<WindowSum>,
    /// Sums over each past hour, the most recent first, or empty as above.
    history: Vec<WindowSum>,
    urgency: Urgency,
}

impl ServiceBurn {
    fn new(spec: &ServiceSpec, samples: &[ServiceSamples]) -> Self {
        let service = samples.iter().find(|service| service.service == spec.id);
        let windows = service
            .map(|service| service.windows.clone())
            .unwrap_or_default();
        Self {
            name: spec.name.clone(),
            objective: spec.objective_success_ppm,
            urgency: urgency(&windows, spec.objective_success_ppm),
            windows,
            history: service
                .map(|service| service.history.clone())
                .unwrap_or_default(),
        }
    }

    fn to_json(&self) -> Value {
        let windows = self.windows.iter().map(|sum| {
            json!({
                "window_s": sum.window_s,
                "good": sum.good,
                "bad": sum.bad,
                "burn_rate": burn_rate(sum, self.objective),
            })
        });
        json!({
            "service": self.name,
            "objective_success_ppm": self.objective,
            "urgency": self.urgency,
            "alert": self.alert().map(|alert| alert.entry().name),
            "windows": windows.collect::<Vec<_>>(),
        })
    }

    const fn alert(&self) -> Option<Alert> {
        match self.urgency {
            Urgency::None => None,
            Urgency::Ticket => Some(Alert::BurnTicket),
            Urgency::Page => Some(Alert::BurnPage),
        }
    }

    /// Formats the service as a table row; a window or rate that is unknown appears as `-`.
    fn table_row(&self) -> Vec<String> {
        let mut row = vec![self.name.to_string(), self.objective.0.to_string()];
        for index in 0..WINDOWS_S.len() {
            row.push(match self.windows.get(index) {
                None => "-".to_owned(),
                Some(sum) => format!(
                    "{} ({} of {})",
                    burn_rate(sum, self.objective)
                        .map_or_else(|| "-".to_owned(), |burn_rate| format!("{burn_rate:.2}")),
                    sum.bad,
                    sum.good.saturating_add(sum.bad)
                ),
            });
        }
        row.push(
            self.alert()
                .map(|alert| alert.to_string())
                .unwrap_or_default(),
        );
        row
    }
}

/// Prints the requested report.
pub async fn report(context: &Context, command: Option<ReportCommand>) -> Result<Output> {
    match command {
        Some(ReportCommand::Burn(options)) => burn(context, &options).await,
        None => Err(invalid_argument(
            "arguments: report needs a command; allowed is burn",
        )),
    }
}

/// Sums the connection counts of all processes, prints the burn of each service, and writes the plot
/// if requested. Fails with kind `timeout` when no process answers.
async fn burn(context: &Context, options: &BurnOptions) -> Result<Output> {
    let list = context.store.list(SERVICES_PREFIX).await?;
    let specs: Vec<ServiceSpec> = list
        .objects
        .iter()
        .filter_map(|object| object::decode(&object.key, object.value.as_ref()?).ok())
        .collect();
    let mut endpoints = processes::balancer_endpoints(context).await?;
    let agents = context.agents.iter();
    endpoints.extend(agents.map(|address| (address.to_string(), "-".to_owned(), *address)));
    let answers = processes::query_all(context, endpoints, "/burn", &[]).await;
    let (samples, covered_s, unresponsive) = merge_samples(&answers);
    if answers.len() == unresponsive.len() {
        return Err(Error::new(
            ErrorKind::Timeout,
            "report: no process answered; name endpoints with --nodes and --agents",
        ));
    }
    let services: Vec<ServiceBurn> = specs
        .iter()
        .map(|spec| ServiceBurn::new(spec, &samples))
        .collect();
    if let Some(path) = &options.plot {
        let svg = plot::draw(&services)?;
        fs::write(path, svg)
            .map_err(|error| io(format!("report: cannot write {}: {error}", path.display())))?;
    }
    let unknown_services = find_unknown_services(&samples, &specs);
    Ok(Output {
        text: format_text(&services, answers.len(), covered_s, &unresponsive),
        json: json!({
            "services": services.iter().map(ServiceBurn::to_json).collect::<Vec<_>>(),
            "processes": answers.len(),
            "covered_s": covered_s,
            "no_answer": unresponsive,
            "services_not_in_catalogue": unknown_services,
        }),
    })
}

/// Merges the samples of all processes. Also returns the shortest uptime of a process in seconds,
/// and the names of the processes without a valid answer.
fn merge_samples(answers: &[ProcessAnswer]) -> (Vec<ServiceSamples>, u64, Vec<String>) {
    let mut samples = Vec::new();
    let mut covered_s = u64::MAX;
    let mut unresponsive = Vec::new();
    for answered in answers {
        let parsed = answered
            .answer
            .as_ref()
            .ok()
            .and_then(|answer| ProcessSamples::deserialize(answer).ok());
        match parsed {
            Some(process) => {
                covered_s = covered_s.min(process.uptime_s);
                merge(&mut samples, &process.services);
            }
            None => unresponsive.push(answered.name.clone()),
        }
    }
    (samples, covered_s, unresponsive)
}

/// Returns the services that processes report and that have no valid object in the catalogue.
fn find_unknown_services(samples: &[ServiceSamples], specs: &[ServiceSpec]) -> Vec<ServiceId> {
    let is_known = |service: &ServiceId| specs.iter().any(|spec| spec.id == *service);
    samples
        .iter()
        .map(|service| service.service)
        .filter(|service| !is_known(service))
        .collect()
}

/// Formats the burn of each service as a table, followed by what the counts cover.
fn format_text(
    services: &[ServiceBurn],
    processes: usize,
    covered_s: u64,
    unresponsive: &[String],
) -> String {
    let rows: Vec<Vec<String>> = services.iter().map(ServiceBurn::table_row).collect();
    let mut text = format_table(
        &[
            "SERVICE",
            "OBJECTIVE PPM",
            "5 MIN",
            "1 H",
            "6 H",
            "3 D",
            "ALERT",
        ],
        &rows,
    );
    text.push_str("cells: burn rate (failed of all connections); a rate of 1.00 uses up exactly the error budget\n");
    text.push_str(&format_coverage(processes, covered_s));
    if !unresponsive.is_empty() {
        text.push_str("no answer: ");
        text.push_str(&unresponsive.join(", "));
        text.push('\n');
    }
    text
}

/// Formats how many processes were queried, and how far back the counts of all of them reach.
fn format_coverage(processes: usize, covered_s: u64) -> String {
    format!(
        "{processes} processes queried; the shortest uptime among those that answered is {covered_s} s; connections of processes that have ended are not counted\n"
    )
}
