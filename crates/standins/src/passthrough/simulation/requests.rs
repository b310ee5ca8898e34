//! Requests of the simulated callers over all flows that they open for them, and the least expected
//! wait that balancers state.

use {
    super::{
        Caller, CallerOptions, Event, Load, Simulation, TestPacketFormat,
        layout::{service_route, urgent_route},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, PacketFormat, Segment, ServiceWait},
    rand::RngExt,
    std::{collections::HashMap, net::SocketAddrV4},
};

/// Time from a reset or timeout to the first SYN of the next flow.
const RETRY_DELAY: Span = Span::from_millis(10);

/// Age up to which balancers state an expected wait: the interval of heartbeats.
const SERVICE_WAIT_AGE: Span = Span::from_millis(250);

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Address of its route.
    pub address: SocketAddrV4,
    /// Time of the request; that of the first one on a flow is the time of the first SYN of the first
    /// flow that was opened for it.
    pub requested_at: Time,
    /// Time from the request to its response, or `None` if there was none.
    pub response_time: Option<Span>,
}

/// Requests that have ended.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    records: Vec<RequestRecord>,
    /// Time of the request of each open flow that was opened again for it.
    first_opened: HashMap<FlowId, Time>,
}

impl Simulation {
    /// Sends a reset of the system to the caller of a flow.
    pub(super) fn send_reset(&mut self, flow: &FlowId, sequence: u32) {
        let reset = Segment::reset(flow, sequence);
        self.send(Event::ToCaller(TestPacketFormat.encode(&reset, &[])));
    }

    /// Schedules the new flows of a load at random times from now on.
    pub fn schedule_load(&mut self, load: Load) {
        self.schedule_flows(service_route(load.service), load);
    }

    /// Schedules a load like [`Self::schedule_load`], to the urgent route of its service.
    pub fn schedule_urgent_load(&mut self, load: Load) {
        self.schedule_flows(urgent_route(load.service), load);
    }

    fn schedule_flows(&mut self, address: SocketAddrV4, load: Load) {
        let count = load.duration.0 * u64::from(load.flows_per_s) / 1_000_000;
        for _ in 0..count {
            let delay = Span(self.random.random_range(0..load.duration.0));
            self.schedule(delay, Event::OpenFlow(address, load.caller));
        }
    }

    /// Returns the requests that have ended, in the order in which their flows ended.
    #[must_use]
    pub fn requests(&self) -> &[RequestRecord] {
        &self.requests.records
    }

    pub(super) fn open_again(&mut self, ended: FlowId, first_opened: Time, options: CallerOptions) {
        let flow = self.open_flow(ended.service, options);
        self.requests.first_opened.insert(flow, first_opened);
    }

    /// Records the requests of a flow that has ended, and schedules the next one of its caller.
    pub(super) fn on_flow_ended(&mut self, flow: FlowId, caller: &Caller) {
        let first_opened = self.requests.first_opened.remove(&flow);
        for (index, (requested_at, response_time)) in caller.responses.iter().enumerate() {
            let waited = first_opened
                .filter(|_| index == 0)
                .map_or(Span::ZERO, |opened| requested_at.since(opened));
            self.requests.records.push(RequestRecord {
                address: flow.service,
                requested_at: *requested_at - waited,
                response_time: Some(Span(response_time.0 + waited.0)),
            });
        }
        let requested_at = first_opened
            .filter(|_| caller.responses.is_empty())
            .unwrap_or_else(|| caller.requested_at());
        if let Some(options) = caller.retry() {
            self.schedule(RETRY_DELAY, Event::Retry(flow, requested_at, options));
        } else if !caller.is_served() {
            self.requests.records.push(RequestRecord {
                address: flow.service,
                requested_at,
                response_time: None,
            });
        }
    }

    /// Returns the least expected wait among the hosts of the service of an address, as balancers
    /// state it.
    pub(super) fn service_wait(&mut self, address: SocketAddrV4) -> ServiceWait {
        let service = address.ip().octets()[3] - 1;
        let (now, agents) = (self.now, self.agents(service));
        let known = self.service_waits.get(&service);
        if let Some((_, wait)) = known.filter(|(at, _)| now.since(*at) < SERVICE_WAIT_AGE) {
            return *wait;
        }
        let processes = agents.iter().filter_map(|agent| self.agents.get(agent));
        let least_wait = processes
            .filter(|process| process.is_up)
            .filter_map(|process| process.core.new_flow_wait(now))
            .min();
        let wait = least_wait.map_or(ServiceWait::UNKNOWN, ServiceWait::from_wait);
        self.service_waits.insert(service, (now, wait));
        wait
    }
}
