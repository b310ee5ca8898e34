//! Suspicion of silent subjects: probe, ask other witnesses, declare when several agree.

use {
    cardamomloom_core::{NodeId, Span, Time},
    cardamomloom_protocol::control::Subject,
    std::collections::BTreeMap,
};

/// Times and quorum of suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionOptions {
    /// Time between two probes.
    pub probe_interval: Span,
    /// Probes without answer after which a witness is sure. At 5 % loss in each direction five
    /// probes of a live subject all fail once in 100,000 suspicions.
    pub probes: u32,
    /// Time between two requests to the other witnesses.
    pub ask_interval: Span,
    /// Time between probes and requests of a subject that nobody else finds silent.
    pub idle_interval: Span,
    /// Time for which the word of another witness counts.
    pub agreement_span: Span,
    /// Witnesses that must be sure before a subject is declared lost, this process included.
    pub quorum: usize,
    /// Most subjects that are suspected at the same time.
    pub limit: usize,
}

impl Default for SuspicionOptions {
    fn default() -> Self {
        Self {
            probe_interval: Span::from_millis(100),
            probes: 5,
            ask_interval: Span::from_millis(200),
            idle_interval: Span::from_secs(5),
            agreement_span: Span::from_secs(3),
            quorum: 2,
            limit: 4_096,
        }
    }
}

/// What to do about a suspected subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a probe.
    Probe(Subject),
    /// Ask other witnesses to check the subject.
    Ask(Subject, u64),
    /// Check the subject's failure domain first.
    Hold(Subject),
    /// Enough witnesses agree.
    Declare(Subject, u64),
}

#[derive(Clone, Debug)]
struct Suspicion {
    claim: u64,
    probes: u32,
    next_probe: Time,
    next_ask: Time,
    asked: u32,
    /// Time at which the last of the first probes was due to be answered.
    sure_at: Time,
    /// Other witnesses that are sure, with the time at which they said so.
    others: BTreeMap<NodeId, Time>,
}

/// Requests to other witnesses at the short interval; later ones use the idle interval.
const QUICK_ASKS: u32 = 10;

/// Suspected subjects.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    open: BTreeMap<Subject, Suspicion>,
    options: SuspicionOptions,
}

impl Suspicions {
    /// Creates an empty set.
    #[must_use]
    pub const fn new(options: SuspicionOptions) -> Self {
        Self {
            open: BTreeMap::new(),
            options,
        }
    }

    /// Suspects a subject; `claim` is the incarnation of a host or the counter of a mark.
    pub fn begin(&mut self, now: Time, subject: Subject, claim: u64) {
        let is_current = self
            .open
            .get(&subject)
            .is_some_and(|open| open.claim >= claim);
        if is_current || self.open.len() >= self.options.limit {
            return;
        }
        let suspicion = Suspicion {
            claim,
            probes: 0,
            next_probe: now,
            next_ask: now,
            asked: 0,
            sure_at: now,
            others: BTreeMap::new(),
        };
        self.open.insert(subject, suspicion);
    }

    /// Takes the word of another witness that it is sure; this process checks the subject too.
    pub fn second(&mut self, now: Time, subject: &Subject, claim: u64, witness: NodeId) {
        self.begin(now, subject.clone(), claim);
        if let Some(open) = self.open.get_mut(subject)
            && open.claim == claim
        {
            if open.others.is_empty() && open.probes >= self.options.probes {
                // A subject that was found silent long ago is checked again before its end.
                open.asked = 0;
                open.next_ask = now;
            }
            open.others.insert(witness, now);
        }
    }

    /// Ends the suspicion of a subject that gave a sign of life.
    pub fn clear(&mut self, subject: &Subject) {
        self.open.remove(subject);
    }

    /// Ends the suspicion of all subjects for which `keeps` is false.
    pub fn retain(&mut self, keeps: impl Fn(&Subject) -> bool) {
        self.open.retain(|subject, _| keeps(subject));
    }

    /// Ends all suspicions, after a pause of the own process.
    pub fn clear_all(&mut self) {
        self.open.clear();
    }

    /// Tells whether a subject is suspected.
    #[must_use]
    pub fn is_open(&self, subject: &Subject) -> bool {
        self.open.contains_key(subject)
    }

    /// Returns the suspected subjects.
    pub fn subjects(&self) -> impl Iterator<Item = &Subject> {
        self.open.keys()
    }

    /// Tells whether this process is sure that it cannot reach a subject.
    #[must_use]
    pub fn is_unreachable(&self, subject: &Subject) -> bool {
        self.open.get(subject).is_some_and(|open| open.asked > 0)
    }

    /// Returns what is due.
    ///
    /// `is_held` tells whether a subject must wait although this process has been sure since a
    /// time; it is asked again at the next tick.
    pub fn on_tick(&mut self, now: Time, is_held: impl Fn(&Subject, Time) -> bool) -> Vec<Step> {
        let options = self.options;
        let mut steps = Vec::new();
        for (subject, open) in &mut self.open {
            open.others
                .retain(|_, said| now.since(*said) <= options.agreement_span);
            if now < open.next_probe && open.probes < options.probes {
                continue;
            }
            if open.probes < options.probes {
                steps.push(Step::Probe(subject.clone()));
                open.probes += 1;
                open.next_probe = now + options.probe_interval;
                // The last probe gets its time to be answered before the witness is sure.
                open.next_ask = open.next_probe;
                open.sure_at = open.next_probe;
                continue;
            }
            if now < open.next_ask {
                continue;
            }
            if is_held(subject, open.sure_at) {
                steps.push(Step::Hold(subject.clone()));
                continue;
            }
            if open.others.len() + 1 >= options.quorum {
                steps.push(Step::Declare(subject.clone(), open.claim));
            }
            steps.push(Step::Ask(subject.clone(), open.claim));
            open.asked += 1;
            let is_quick = open.asked < QUICK_ASKS;
            open.next_ask = now
                + if is_quick {
                    options.ask_interval
                } else {
                    options.idle_interval
                };
            if !is_quick {
                steps.push(Step::Probe(subject.clone()));
            }
        }
        steps
    }
}
