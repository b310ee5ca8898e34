//! Suspicion of unresponsive subjects.
//!
//! An observer probes a suspected subject. After several unanswered probes it has detected the
//! failure and reports it to other observers, which probe the subject too. A subject is declared
//! lost when a quorum of observers has detected its failure.

use {
    cardamomloom_core::{NodeId, Span, Time},
    cardamomloom_protocol::control::Subject,
    std::collections::BTreeMap,
};

/// Timing, quorum and limit of suspicions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionOptions {
    /// Time between two probes of the same subject.
    pub probe_interval: Span,
    /// Number of unanswered probes after which an observer has detected the failure. With 5 % loss
    /// in each direction, all of five probes of a live subject fail in one of 100,000 suspicions.
    pub required_probes: u32,
    /// Time between the first failure reports about a subject.
    pub report_interval: Span,
    /// Time between later probes of and failure reports about a subject whose failure no other
    /// observer has confirmed.
    pub slow_interval: Span,
    /// Time for which the failure report of another observer counts towards the quorum.
    pub report_ttl: Span,
    /// Number of observers, including this process, that must have detected a failure before the
    /// subject is declared lost.
    pub quorum: usize,
    /// Maximum number of subjects that are suspected at the same time.
    pub max_suspicions: usize,
}

impl Default for SuspicionOptions {
    fn default() -> Self {
        Self {
            probe_interval: Span::from_millis(100),
            required_probes: 5,
            report_interval: Span::from_millis(200),
            slow_interval: Span::from_secs(5),
            report_ttl: Span::from_secs(3),
            quorum: 2,
            max_suspicions: 4_096,
        }
    }
}

/// Action that a suspicion requires. A number is the claim under which the subject is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspicionAction {
    /// Probe the subject.
    Probe(Subject),
    /// Send a failure report to other observers, which then probe the subject too.
    Report(Subject, u64),
    /// Suspect the subject's failure domain, which is evaluated before the subject.
    SuspectDomain(Subject),
    /// Declare the subject lost, because a quorum of observers has detected its failure.
    Declare(Subject, u64),
}

#[derive(Clone, Debug)]
struct Suspicion {
    claim: u64,
    sent_probes: u32,
    next_probe: Time,
    next_report: Time,
    sent_reports: u32,
    /// Time at which the failure counts as detected: the end of the wait for an answer to the last
    /// required probe.
    detected_at: Time,
    /// Other observers that have detected the failure, with the time of their latest report.
    reports: BTreeMap<NodeId, Time>,
}

/// Number of failure reports about a subject after which they are sent at the slow interval.
const FAST_REPORTS: u32 = 10;

/// All subjects that this observer suspects.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    by_subject: BTreeMap<Subject, Suspicion>,
    options: SuspicionOptions,
}

impl Suspicions {
    /// Creates a set without suspicions.
    #[must_use]
    pub const fn new(options: SuspicionOptions) -> Self {
        Self {
            by_subject: BTreeMap::new(),
            options,
        }
    }

    /// Starts to suspect a subject. Does nothing when it is suspected under the same or a higher
    /// claim, or when the limit of suspicions is reached.
    ///
    /// `claim` is the incarnation of a host, or the counter in the liveness record of a balancer or
    /// failure domain.
    pub fn suspect(&mut self, now: Time, subject: Subject, claim: u64) {
        let is_current = self
            .by_subject
            .get(&subject)
            .is_some_and(|suspicion| suspicion.claim >= claim);
        if is_current || self.by_subject.len() >= self.options.max_suspicions {
            return;
        }
        let suspicion = Suspicion {
            claim,
            sent_probes: 0,
            next_probe: now,
            next_report: now,
            sent_reports: 0,
            detected_at: now,
            reports: BTreeMap::new(),
        };
        self.by_subject.insert(subject, suspicion);
    }

    /// Records the failure report of another observer and starts to suspect the subject too.
    pub fn on_report(&mut self, now: Time, subject: &Subject, claim: u64, observer: NodeId) {
        self.suspect(now, subject.clone(), claim);
        if let Some(suspicion) = self.by_subject.get_mut(subject)
            && suspicion.claim == claim
        {
            if suspicion.reports.is_empty() && suspicion.sent_probes >= self.options.required_probes
            {
                // This process may have detected the failure long ago. The subject is evaluated
                // again at the next tick, before it is declared lost, rather than at the slow
                // interval.
                suspicion.sent_reports = 0;
                suspicion.next_report = now;
            }
            suspicion.reports.insert(observer, now);
        }
    }

    /// Ends the suspicion of a subject, for example after a message from it.
    pub fn remove(&mut self, subject: &Subject) {
        self.by_subject.remove(subject);
    }

    /// Ends the suspicion of all subjects for which `predicate` returns false.
    pub fn retain(&mut self, predicate: impl Fn(&Subject) -> bool) {
        self.by_subject.retain(|subject, _| predicate(subject));
    }

    /// Ends all suspicions, for example after a pause of this process.
    pub fn clear(&mut self) {
        self.by_subject.clear();
    }

    /// Returns whether a subject is suspected.
    #[must_use]
    pub fn contains(&self, subject: &Subject) -> bool {
        self.by_subject.contains_key(subject)
    }

    /// Returns the suspected subjects.
    pub fn subjects(&self) -> impl Iterator<Item = &Subject> {
        self.by_subject.keys()
    }

    /// Returns whether this process has reported that it cannot reach a subject.
    #[must_use]
    pub fn is_unreachable(&self, subject: &Subject) -> bool {
        self.by_subject
            .get(subject)
            .is_some_and(|suspicion| suspicion.sent_reports > 0)
    }

    /// Returns the actions to take now.
    ///
    /// `is_deferred` returns whether a subject must wait although this process detected its failure
    /// at the given time. It is called again at the next tick.
    pub fn on_tick(
        &mut self,
        now: Time,
        is_deferred: impl Fn(&Subject, Time) -> bool,
    ) -> Vec<SuspicionAction> {
        let options = self.options;
        let mut actions = Vec::new();
        for (subject, suspicion) in &mut self.by_subject {
            suspicion
                .reports
                .retain(|_, received_at| now.since(*received_at) <= options.report_ttl);
            if now < suspicion.next_probe && suspicion.sent_probes < options.required_probes {
                continue;
            }
            if suspicion.sent_probes < options.required_probes {
                actions.push(SuspicionAction::Probe(subject.clone()));
                suspicion.sent_probes += 1;
                suspicion.next_probe = now + options.probe_interval;
                // The failure is not detected before the answer to the last probe is overdue.
                suspicion.next_report = suspicion.next_probe;
                suspicion.detected_at = suspicion.next_probe;
                continue;
            }
            if now < suspicion.next_report {
                continue;
            }
            if is_deferred(subject, suspicion.detected_at) {
                actions.push(SuspicionAction::SuspectDomain(subject.clone()));
                continue;
            }
            if suspicion.reports.len() + 1 >= options.quorum {
                actions.push(SuspicionAction::Declare(subject.clone(), suspicion.claim));
            }
            actions.push(SuspicionAction::Report(subject.clone(), suspicion.claim));
            suspicion.sent_reports += 1;
            let is_fast = suspicion.sent_reports < FAST_REPORTS;
            suspicion.next_report = now
                + if is_fast {
                    options.report_interval
                } else {
                    options.slow_interval
                };
            if !is_fast {
                actions.push(SuspicionAction::Probe(subject.clone()));
            }
        }
        actions
    }
}
