//! Scenarios of admission, balance and failure domains, readable by an operator.
//!
//! Each scenario runs with the mechanism and with its baseline, which shows that the check can
//! fail. Bounds are those of the design page.

use {
    cardamomloom_coordination::admission::ServerReport,
    cardamomloom_core::{Span, Time, Weight},
    cardamomloom_standins::fleet::{
        AdmissionMode, Fleet, FleetOptions, ModelHost, open_connections,
    },
    datadriven::{TestCase, walk},
};

struct Scenario {
    fleet: Fleet,
    /// Packets to each host at the last `mark`.
    marked: Vec<u64>,
    /// Connections that each server had accepted at the last `mark`.
    accepted: Vec<u64>,
    /// Counts of broken, refused and unanswered flows at the last `mark`.
    failed: (u64, u64),
}

impl Scenario {
    fn new(case: &mut TestCase) -> Self {
        let mut options = FleetOptions::default();
        let mechanism: Option<String> = case.try_take_arg("mechanism").expect("mechanism");
        options.admission = match mechanism.as_deref() {
            None => AdmissionMode::Adaptive,
            Some("fixed") => AdmissionMode::FixedLimit,
            Some("without-mean") => AdmissionMode::WithoutMean,
            Some(other) => panic!("unknown mechanism {other}"),
        };
        let weights: Option<Vec<u32>> = case.try_take_args("weights").expect("weights");
        for (host, weight) in options.hosts.iter_mut().zip(weights.unwrap_or_default()) {
            host.1 = Weight(weight);
        }
        let fleet = Fleet::new(&options).expect("valid options");
        let marked = fleet.packets().to_vec();
        Self {
            fleet,
            accepted: vec![0; marked.len()],
            marked,
            failed: (0, 0),
        }
    }

    fn apply(&mut self, case: &mut TestCase) -> String {
        let host = |case: &mut TestCase| case.take_arg::<usize>("host").expect("host");
        match case.directive.as_str() {
            "run" => self.run(case),
            "mark" => {
                self.marked = self.fleet.packets().to_vec();
                let accepted = |host: &ModelHost| host.server.accepted();
                self.accepted = self.fleet.hosts().iter().map(accepted).collect();
                let counts = self.fleet.counts();
                self.failed = (counts.broken, counts.refused + counts.unanswered);
            }
            "become-cold" => {
                let keep = case.take_flag("keep").expect("flag");
                self.fleet.become_cold(host(case), keep).expect("host");
            }
            "report" => {
                let report = ServerReport {
                    load_ppm: case.take_arg("load_ppm").expect("load"),
                    shedding: case.take_flag("shedding").expect("flag"),
                };
                self.fleet.host_mut(host(case)).expect("host").report = Some(report);
            }
            "slow" => {
                let percent = case.take_arg("percent").expect("percent");
                self.fleet
                    .host_mut(host(case))
                    .expect("host")
                    .lifetime_percent = percent;
            }
            "domain" => {
                let name: String = case.take_arg("name").expect("name");
                let out = case.take_flag("out").expect("flag");
                self.fleet.set_domain_out(&name, out).expect("domain");
            }
            "drain" => {
                let announced = !case.take_flag("unannounced").expect("flag");
                self.fleet.drain(host(case), announced).expect("host");
            }
            "expect" => return self.expect(case),
            other => panic!("unknown directive {other}"),
        }
        "ok\n".to_owned()
    }

    fn run(&mut self, case: &mut TestCase) {
        let ms: u64 = case.take_arg("ms").expect("ms");
        let per_s = case.try_take_arg("per_s").expect("rate").unwrap_or(0);
        let lifetime_s = case.try_take_arg("lifetime_s").expect("span").unwrap_or(60);
        self.fleet
            .run(Span::from_millis(ms), per_s, Span::from_secs(lifetime_s));
    }

    fn expect(&mut self, case: &mut TestCase) -> String {
        let hosts = self.fleet.hosts();
        let overloads: u32 = hosts.iter().map(|host| host.server.overloads()).sum();
        let counts = self.fleet.counts();
        let failed = counts.refused + counts.unanswered - self.failed.1;
        let mut holds = Vec::new();
        if let Some(most) = case.try_take_arg::<f64>("imbalance").expect("bound") {
            holds.push(self.fleet.imbalance() <= most);
        }
        if let Some(most) = case.try_take_arg::<u32>("overloads").expect("bound") {
            holds.push(overloads <= most);
        }
        if let Some(most) = case.try_take_arg::<u64>("broken").expect("bound") {
            holds.push(counts.broken - self.failed.0 <= most);
        }
        if let Some(most) = case.try_take_arg::<u64>("refused").expect("bound") {
            holds.push(failed <= most);
        }
        if let Some(least) = case.try_take_arg::<u32>("trusted").expect("bound") {
            holds.push(
                hosts
                    .iter()
                    .any(|host| host.agent.admission().status().adaptive_limit >= least),
            );
        }
        if let Some(host) = case.try_take_arg::<usize>("quiet").expect("host") {
            holds.push(self.fleet.packets()[host] == self.marked[host]);
        }
        if let Some(host) = case.try_take_arg::<usize>("no_new").expect("host") {
            holds.push(hosts[host].server.accepted() == self.accepted[host]);
        }
        if let Some(host) = case.try_take_arg::<usize>("empty").expect("host") {
            let host = &hosts[host];
            holds.push(host.server.open_connections() == 0 && open_connections(host) == 0);
        }
        if case.take_flag("refusals_true").expect("flag") {
            // Every connection that a server accepted is of a flow that its caller saw as open.
            let accepted: u64 = hosts.iter().map(|host| host.server.accepted()).sum();
            holds.push(accepted <= counts.served && counts.refused > 0);
        }
        assert!(
            !holds.is_empty(),
            "expect without a bound at {}",
            self.fleet.now()
        );
        assert!(self.fleet.now() > Time::ZERO, "expect before any run");
        if holds.iter().all(|holds| *holds) {
            "holds\n".to_owned()
        } else {
            "fails\n".to_owned()
        }
    }
}

/// Guards against cold servers that are overrun, imbalance, traffic to hosts that are out or
/// drain, and flows that break meanwhile; one file for each promise.
#[test]
fn verify_scenarios() {
    walk("tests/scenarios/admission", |file| {
        let mut scenario: Option<Scenario> = None;
        file.run(|case| {
            let answer = if case.directive == "fleet" {
                scenario = Some(Scenario::new(case));
                "ok\n".to_owned()
            } else {
                scenario.as_mut().expect("a fleet first").apply(case)
            };
            case.expect_empty().expect("known arguments");
            answer
        });
    });
}
