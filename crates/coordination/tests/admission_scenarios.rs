//! Data-driven scenarios of admission, load balance and failure domains, in terms that an operator
//! knows.
//!
//! A scenario runs with the admission mode under test and, where a baseline exists, with the
//! baseline, which shows that the check can fail. The bounds are those of the design page.

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
    /// Packets sent to each host until the last `mark`.
    marked_packets: Vec<u64>,
    /// Connections that each server had accepted at the last `mark`.
    marked_accepted: Vec<u64>,
    /// Broken flows at the last `mark`.
    marked_broken: u64,
    /// Refused and unanswered flows at the last `mark`.
    marked_refused: u64,
}

impl Scenario {
    fn new(case: &mut TestCase) -> Self {
        let mut options = FleetOptions::default();
        let admission_mode: Option<String> = case.try_take_arg("mechanism").expect("mechanism");
        options.admission = match admission_mode.as_deref() {
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
        let marked_packets = fleet.packets().to_vec();
        Self {
            fleet,
            marked_accepted: vec![0; marked_packets.len()],
            marked_packets,
            marked_broken: 0,
            marked_refused: 0,
        }
    }

    fn apply(&mut self, case: &mut TestCase) -> String {
        let host = |case: &mut TestCase| case.take_arg::<usize>("host").expect("host");
        match case.directive.as_str() {
            "run" => self.run(case),
            "mark" => {
                self.marked_packets = self.fleet.packets().to_vec();
                let accepted = |host: &ModelHost| host.server.accepted();
                self.marked_accepted = self.fleet.hosts().iter().map(accepted).collect();
                let counts = self.fleet.counts();
                self.marked_broken = counts.broken;
                self.marked_refused = counts.refused + counts.unanswered;
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

    /// Returns `holds` when all bounds of the directive hold, `fails` otherwise.
    fn expect(&mut self, case: &mut TestCase) -> String {
        let hosts = self.fleet.hosts();
        let overloads: u32 = hosts.iter().map(|host| host.server.overloads()).sum();
        let counts = self.fleet.counts();
        let refused = counts.refused + counts.unanswered - self.marked_refused;
        let mut holds = Vec::new();
        if let Some(max) = case.try_take_arg::<f64>("imbalance").expect("bound") {
            holds.push(self.fleet.imbalance() <= max);
        }
        if let Some(max) = case.try_take_arg::<u32>("overloads").expect("bound") {
            holds.push(overloads <= max);
        }
        if let Some(max) = case.try_take_arg::<u64>("broken").expect("bound") {
            holds.push(counts.broken - self.marked_broken <= max);
        }
        if let Some(max) = case.try_take_arg::<u64>("refused").expect("bound") {
            holds.push(refused <= max);
        }
        if let Some(min) = case.try_take_arg::<u32>("trusted").expect("bound") {
            holds.push(
                hosts
                    .iter()
                    .any(|host| host.agent.admission().status().adaptive_limit >= min),
            );
        }
        if let Some(host) = case.try_take_arg::<usize>("quiet").expect("host") {
            holds.push(self.fleet.packets()[host] == self.marked_packets[host]);
        }
        if let Some(host) = case.try_take_arg::<usize>("no_new").expect("host") {
            holds.push(hosts[host].server.accepted() == self.marked_accepted[host]);
        }
        if let Some(host) = case.try_take_arg::<usize>("empty").expect("host") {
            let host = &hosts[host];
            holds.push(host.server.open_connections() == 0 && open_connections(host) == 0);
        }
        if case.take_flag("refusals_true").expect("flag") {
            // Every connection that a server accepted belongs to a flow that opened for its caller.
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

/// Guards against overloaded cold servers, imbalance, traffic to hosts that are out or draining,
/// and flows that break meanwhile. Each file covers one promise or fault of the design page.
#[test]
fn verify_scenarios() {
    walk("tests/scenarios/admission", |file| {
        let mut scenario: Option<Scenario> = None;
        file.run(|case| {
            let answer = if case.directive == "fleet" {
                scenario = Some(Scenario::new(case));
                "ok\n".to_owned()
            } else {
                scenario
                    .as_mut()
                    .expect("the fleet directive comes first")
                    .apply(case)
            };
            case.expect_empty().expect("known arguments");
            answer
        });
    });
}
