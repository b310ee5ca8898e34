//! Confirmation of versions with peers, after a pause or a time without contact.

use {
    cardamomloom_core::{Span, Time},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Whether the own versions are known to be those of the peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Confirmation {
    /// Peers had the same versions, or told newer ones since.
    #[default]
    Confirmed,
    /// Peers were asked and have not answered yet.
    Pending,
    /// No peer answers; the process goes on with its last known configuration.
    Isolated,
}

/// Time without any answer after which a process counts as isolated.
pub const ISOLATION_SPAN: Span = Span::from_millis(1_500);

/// Progress of a confirmation.
#[derive(Clone, Debug, Default)]
pub struct Confirming {
    state: Confirmation,
    since: Time,
    agreed: BTreeSet<SocketAddr>,
    needed: usize,
    was_answered: bool,
}

impl Confirming {
    /// Starts a confirmation that needs the agreement of a number of peers.
    pub fn start(&mut self, now: Time, needed: usize) {
        self.state = Confirmation::Pending;
        self.since = now;
        self.needed = needed;
        self.agreed.clear();
        self.was_answered = false;
    }

    /// Takes the answer of a peer: whether it has the same versions.
    pub fn on_answer(&mut self, from: SocketAddr, is_equal: bool) {
        if self.state == Confirmation::Confirmed {
            return;
        }
        self.was_answered = true;
        self.state = Confirmation::Pending;
        if is_equal {
            self.agreed.insert(from);
        }
        if self.agreed.len() >= self.needed.max(1) {
            self.state = Confirmation::Confirmed;
        }
    }

    /// Gives up waiting for peers that do not answer; tells whether to ask again.
    pub fn on_tick(&mut self, now: Time) -> bool {
        let is_late = now.since(self.since) >= ISOLATION_SPAN;
        if self.state == Confirmation::Pending && is_late {
            if self.was_answered && !self.agreed.is_empty() {
                // Fewer peers than wanted are within reach; what they said is all there is.
                self.state = Confirmation::Confirmed;
            } else if !self.was_answered {
                self.state = Confirmation::Isolated;
            }
        }
        self.state != Confirmation::Confirmed
    }

    /// Returns the present state.
    #[must_use]
    pub const fn state(&self) -> Confirmation {
        self.state
    }
}
