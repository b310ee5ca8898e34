//! The closed list of alerts and what an operator does about each.

use std::fmt;

/// Everything that a command or a rule on metrics reports to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Alert {
    /// The platform's store does not answer.
    StoreUnavailable,
    /// A registered balancer does not answer.
    BalancerUnreachable,
    /// Nobody confirms the configuration of a process; it keeps its last one.
    Isolated,
    /// A balancer has an older version of an object than the store.
    VersionLag,
    /// An object of the store does not satisfy the schema.
    ObjectInvalid,
    /// A service states an id or address that another service has.
    ClaimNotInForce,
    /// Operators have taken a failure domain out.
    DomainOut,
    /// A service uses its error budget very fast.
    BurnPage,
    /// A service uses more than its error budget.
    BurnTicket,
    /// A service has no host for new flows.
    NoCandidate,
    /// A backend server refuses connections.
    ConnectFailures,
    /// A backend server fails requests although its reports are good.
    HostFailing,
    /// Openings wait because the hosts of a service have no free slot.
    HeldOpenings,
    /// Datagrams with a wrong tag, or repeated ones, arrive.
    ControlRejected,
    /// The control thread cannot keep up.
    ControlOverflow,
}

/// Where an alert is seen and what an operator does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlertEntry {
    /// Stable name in JSON output and rules.
    pub name: &'static str,
    /// Command or rule that shows it.
    pub source: &'static str,
    /// What the operator does.
    pub action: &'static str,
}

impl Alert {
    /// All alerts, in the order of the operators' page.
    pub const ALL: [Self; 15] = [
        Self::StoreUnavailable,
        Self::BalancerUnreachable,
        Self::Isolated,
        Self::VersionLag,
        Self::ObjectInvalid,
        Self::ClaimNotInForce,
        Self::DomainOut,
        Self::BurnPage,
        Self::BurnTicket,
        Self::NoCandidate,
        Self::ConnectFailures,
        Self::HostFailing,
        Self::HeldOpenings,
        Self::ControlRejected,
        Self::ControlOverflow,
    ];

    /// Returns the entry of this alert.
    #[must_use]
    #[rustfmt::skip]
    pub const fn entry(self) -> AlertEntry {
        match self {
            Self::StoreUnavailable => AlertEntry::new("store_unavailable", "`status`; log event `store_unavailable`", "Wait for the platform; traffic continues on the last configuration. Make no change until it answers."),
            Self::BalancerUnreachable => AlertEntry::new("balancer_unreachable", "`status`", "If the instance is gone for good, `delete nodes/<id> --force`; otherwise replace it."),
            Self::Isolated => AlertEntry::new("isolated", "`status`; `cardamomloom_isolated` = 1", "Check the network of the instance; it serves its last configuration until it hears of others."),
            Self::VersionLag => AlertEntry::new("version_lag", "`status`, for longer than 19 s", "Check that the balancer reaches the store or its peers; replace it if it does not catch up."),
            Self::ObjectInvalid => AlertEntry::new("object_invalid", "`status`; `cardamomloom_objects_invalid` > 0", "Correct the named field with `edit` or `apply`; the last valid version stays in force."),
            Self::ClaimNotInForce => AlertEntry::new("claim_not_in_force", "`status`; `cardamomloom_claims_not_in_force` > 0", "Give the named service another id or address, or delete it."),
            Self::DomainOut => AlertEntry::new("domain_out", "`status`", "Expected after `domain out`; `domain in` brings it back."),
            Self::BurnPage => AlertEntry::new("burn_page", "`report burn`: burn rate > 14.4 over 5 min and over 1 h", "Act now: look at `status`, `explain` and the drop causes of the balancers."),
            Self::BurnTicket => AlertEntry::new("burn_ticket", "`report burn`: burn rate > 6 over 6 h or > 1 over 3 d", "Find the cause within the day; postpone risky changes."),
            Self::NoCandidate => AlertEntry::new("no_candidate", "`cardamomloom_dropped_packets_total{cause=\"no_candidate\"}` rises", "Start hosts of the service or bring a failure domain back."),
            Self::ConnectFailures => AlertEntry::new("connect_failures", "`cardamomloom_connect_failures_total` rises", "Check the backend server next to this agent; its flows are placed on other hosts."),
            Self::HostFailing => AlertEntry::new("host_failing", "log event `host_failing`; `cardamomloom_admitted_share` < 0.5", "Look at the backend server beside the agent: its reports are good and its answers are failures. New flows come back by themselves once it answers; drain or restart it if it does not."),
            Self::HeldOpenings => AlertEntry::new("held_openings", "`cardamomloom_held_openings` > 0 for longer than 10 s", "The hosts of the service have no free slot; add hosts."),
            Self::ControlRejected => AlertEntry::new("control_rejected", "`cardamomloom_control_rejected_total` or `cardamomloom_control_replayed_total` rises", "Check that all processes have the same `datagram_key`; otherwise look for the foreign sender."),
            Self::ControlOverflow => AlertEntry::new("control_overflow", "`cardamomloom_control_overflow_total` rises", "The instance is short of processor time; move it or give it more."),
        }
    }
}

impl AlertEntry {
    const fn new(name: &'static str, source: &'static str, action: &'static str) -> Self {
        Self {
            name,
            source,
            action,
        }
    }
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.entry().name)
    }
}
