//! Closed list of alerts, with the operator action for each.

use std::fmt;

/// Condition that commands or rules on metrics report to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Alert {
    /// The platform's store does not respond.
    StoreUnavailable,
    /// A registered balancer does not respond.
    BalancerUnreachable,
    /// No other process confirms the configuration of a process, which keeps using its last one.
    Isolated,
    /// A balancer has an older version of an object than the store.
    VersionLag,
    /// An object of the store does not satisfy the schema.
    ObjectInvalid,
    /// A service claims an id or address that another service holds.
    ClaimNotInForce,
    /// Operators have taken a failure domain out of service.
    DomainOut,
    /// The burn rate of a service is so high that an operator must act immediately.
    BurnPage,
    /// The burn rate of a service is too high, but leaves time to find the cause.
    BurnTicket,
    /// A service has no host that accepts new flows.
    NoCandidate,
    /// A backend server refuses connections.
    ConnectFailures,
    /// A backend server fails requests while its own reports are good.
    HostFailing,
    /// SYNs are queued because the hosts of a service have no free slot.
    HeldOpenings,
    /// A process knows of a newer catalogue and does not get it.
    CatalogueBehind,
    /// Owner lookups of flows end without a result.
    LookupsUndecided,
    /// A process receives datagrams with a wrong tag, or replayed datagrams.
    ControlRejected,
    /// The control thread of a process cannot keep up with incoming datagrams.
    ControlOverflow,
}

/// Source of an alert and the action that an operator takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlertEntry {
    /// Stable name in JSON output and in rules on metrics.
    pub name: &'static str,
    /// Command, rule on metrics or log event that shows the alert.
    pub source: &'static str,
    /// Action for the operator.
    pub action: &'static str,
}

impl Alert {
    /// All alerts, in the order of the operators' page.
    pub const ALL: [Self; 17] = [
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
        Self::CatalogueBehind,
        Self::LookupsUndecided,
        Self::ControlRejected,
        Self::ControlOverflow,
    ];

    /// Returns name, source and operator action of this alert.
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
            Self::CatalogueBehind => AlertEntry::new("catalogue_behind", "log event `catalogue_behind`; `cardamomloom_catalogue_behind_seconds` > 1", "Look at `catalogue_copy_failed` and `store_lost` in the log of the process: it reaches neither the processes that have the newer catalogue nor the store. It opens no flows by its own catalogue; restart or replace it if it does not catch up."),
            Self::LookupsUndecided => AlertEntry::new("lookups_undecided", "log event `lookup_undecided`; `cardamomloom_lookups_total{outcome=~\"undecided_.*\"}` rises for longer than 10 s", "Callers of lost flows wait until their deadline. `agent_silent`: look at the named agents. `lists_differ`: look at `cardamomloom_control_rejected_total` and the links between agents. `old_server`, `older_process`: agents have restarted and reach neither an older agent of their service nor an older balancer; ends after 20 s. `service_silent`: a service that may own the flows has no host that answers. `limited`: too many at once."),
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
