//! `report burn`: how fast each service uses its error budget.

mod plot;

use {
    crate::{
        arguments::{BurnOptions, ReportCommand},
        context::Context,
        output::{Output, table},
        processes::{self, Answered},
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

/// Burn of one service.
struct ServiceBurn {
    name: ServiceName,
    objective: PartsPerMillion,
    windows: Vec<WindowSum>,
    history: Vec<WindowSum>,
    urgency: Urgency,
}

impl ServiceBurn {
    fn new(spec: &ServiceSpec, samples: &[ServiceSamples]) -> Self {
        let own = samples.iter().find(|own| own.service == spec.id);
        let windows = own.map(|own| own.windows.clone()).unwrap_or_default();
        Self {
            name: spec.name.clone(),
            objective: spec.objective_success_ppm,
            urgency: urgency(&windows, spec.objective_success_ppm),
            windows,
            history: own.map(|own| own.history.clone()).unwrap_or_default(),
        }
    }

    fn shown(&self) -> Value {
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

    fn row(&self) -> Vec<String> {
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

/// Prints a report.
pub async fn report(context: &Context, command: Option<ReportCommand>) -> Result<Output> {
    match command {
        Some(ReportCommand::Burn(options)) => burn(context, &options).await,
        None => Err(invalid_argument(
            "arguments: report needs a command; allowed is burn",
        )),
    }
}

async fn burn(context: &Context, options: &BurnOptions) -> Result<Output> {
    let list = context.store.list(SERVICES_PREFIX).await?;
    let specs: Vec<ServiceSpec> = list
        .objects
        .iter()
        .filter_map(|object| object::decode(&object.key, object.value.as_ref()?).ok())
        .collect();
    let mut sources = processes::balancers(context).await?;
    let agents = context.agents.iter();
    sources.extend(agents.map(|address| (address.to_string(), "-".to_owned(), *address)));
    let answers = processes::ask(context, sources, "/burn", &[]).await;
    let (samples, covered_s, silent) = collect(&answers);
    if answers.len() == silent.len() {
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
    let unknown = unknown_services(&samples, &specs);
    Ok(Output {
        text: text(&services, answers.len(), covered_s, &silent),
        json: json!({
            "services": services.iter().map(ServiceBurn::shown).collect::<Vec<_>>(),
            "processes": answers.len(),
            "covered_s": covered_s,
            "no_answer": silent,
            "services_not_in_catalogue": unknown,
        }),
    })
}

/// Merges the samples; also returns the least age of a process and who did not answer.
fn collect(answers: &[Answered]) -> (Vec<ServiceSamples>, u64, Vec<String>) {
    let mut samples = Vec::new();
    let mut covered_s = u64::MAX;
    let mut silent = Vec::new();
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
            None => silent.push(answered.name.clone()),
        }
    }
    (samples, covered_s, silent)
}

fn unknown_services(samples: &[ServiceSamples], specs: &[ServiceSpec]) -> Vec<ServiceId> {
    let known = |service: &ServiceId| specs.iter().any(|spec| spec.id == *service);
    samples
        .iter()
        .map(|own| own.service)
        .filter(|service| !known(service))
        .collect()
}

fn text(services: &[ServiceBurn], processes: usize, covered_s: u64, silent: &[String]) -> String {
    let rows: Vec<Vec<String>> = services.iter().map(ServiceBurn::row).collect();
    let mut text = table(
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
    text.push_str("burn rate (bad of all connections); 1.00 uses exactly the error budget\n");
    text.push_str(&coverage(processes, covered_s));
    if !silent.is_empty() {
        text.push_str("no answer: ");
        text.push_str(&silent.join(", "));
        text.push('\n');
    }
    text
}

fn coverage(processes: usize, covered_s: u64) -> String {
    format!(
        "{processes} processes; the youngest counts for {covered_s} s, and connections of ended processes are missing\n"
    )
}
