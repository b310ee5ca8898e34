//! Confirmation with peers that the versions of this process are current, after a start, a pause or
//! a time without contact.

use {
    cardamomloom_core::{Span, Time},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Whether peers have confirmed that the versions of this process are current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Confirmation {
    /// Peers have the same versions, or have sent newer ones since.
    #[default]
    Confirmed,
    /// Peers were asked and too few have confirmed the versions yet.
    Pending,
    /// No peer answers. The process continues with its last known configuration.
    Isolated,
}

/// Time without any answer to a confirmation after which a process is considered isolated.
pub const ISOLATION_SPAN: Span = Span::from_millis(1_500);

/// Progress of the confirmation with the peers that have answered.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationProgress {
    state: Confirmation,
    started_at: Time,
    confirming_peers: BTreeSet<SocketAddr>,
    required: usize,
    has_answers: bool,
}

impl ConfirmationProgress {
    /// Starts a confirmation that requires equal versions at `required` peers, at least at one.
    pub fn start(&mut self, now: Time, required: usize) {
        self.state = Confirmation::Pending;
        self.started_at = now;
        self.required = required;
        self.confirming_peers.clear();
        self.has_answers = false;
    }

    /// Processes the answer of a peer; `is_equal` is whether it has the same versions.
    pub fn on_answer(&mut self, from: SocketAddr, is_equal: bool) {
        if self.state == Confirmation::Confirmed {
            return;
        }
        self.has_answers = true;
        self.state = Confirmation::Pending;
        if is_equal {
            self.confirming_peers.insert(from);
        }
        if self.confirming_peers.len() >= self.required.max(1) {
            self.state = Confirmation::Confirmed;
        }
    }

    /// Ends the wait for missing answers after [`ISOLATION_SPAN`], and returns whether peers should
    /// be asked again.
    pub fn on_tick(&mut self, now: Time) -> bool {
        let is_late = now.since(self.started_at) >= ISOLATION_SPAN;
        if self.state == Confirmation::Pending && is_late {
            if self.has_answers && !self.confirming_peers.is_empty() {
                // Fewer peers than required are reachable, so that one with the same versions
                // suffices.
                self.state = Confirmation::Confirmed;
            } else if !self.has_answers {
                self.state = Confirmation::Isolated;
            }
        }
        self.state != Confirmation::Confirmed
    }

    /// Returns the result so far.
    #[must_use]
    pub const fn state(&self) -> Confirmation {
        self.state
    }
}
