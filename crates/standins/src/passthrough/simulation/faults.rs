//! Faults and planned changes that tests inject into a simulation.

use {
    super::{
        AgentProcess, BalancerProcess, Event, REPORT_INTERVAL, Simulation, domain_name,
        server_address, service_name,
    },
    cardamomloom_coordination::passthrough::{
        agent::{Agent, AgentIdentity},
        balancer::{Balancer, BalancerOptions},
    },
    cardamomloom_core::Span,
    cardamomloom_protocol::passthrough::{HostReportState, RunId, StoreEra, StoreRevision},
    rand::RngExt,
    std::net::Ipv4Addr,
};

impl Simulation {
    /// Sets the mean processing time of a request at the backend server beside an agent.
    pub fn set_service_time(&mut self, agent: Ipv4Addr, service_time: Span) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.model.set_service_time(service_time);
        }
    }

    /// Starts to drain the backend server beside an agent, which reports it at once.
    pub fn drain_server(&mut self, agent: Ipv4Addr) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.state = HostReportState::Draining;
        }
        self.report(agent);
    }

    /// Crashes the backend server beside an agent: it drops all packets and reports nothing more.
    pub fn crash_server(&mut self, agent: Ipv4Addr) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.is_up = false;
        }
    }

    /// Sets the share of requests, from 0 to 1, that the backend server beside an agent fails. Its
    /// reports do not change.
    pub fn set_failure_ratio(&mut self, agent: Ipv4Addr, ratio: f64) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.model.set_failure_ratio(ratio);
        }
    }

    /// Replaces the backend server beside an agent by a cold one. Unless `reports_at_once`, its
    /// first report is sent when the next one of its predecessor would have been.
    pub fn restart_server(&mut self, agent: Ipv4Addr, reports_at_once: bool) {
        if let Some(server) = self.servers.get(&agent) {
            let service = server.service;
            self.start_server(agent, service, self.now);
            if reports_at_once {
                self.report(agent);
            }
        }
    }

    /// Kills an agent; its backend server keeps running.
    pub fn kill_agent(&mut self, agent: Ipv4Addr) {
        self.last_disruption = self.now;
        self.links.clear(agent);
        if let Some(process) = self.agents.get_mut(&agent) {
            process.is_up = false;
        }
    }

    /// Starts or restarts an agent with empty state.
    pub fn start_agent(&mut self, agent: Ipv4Addr) {
        self.last_disruption = self.now;
        let generation = self.allocate_generation();
        let Some(server) = self.servers.get(&agent) else {
            return;
        };
        let identity = AgentIdentity {
            address: agent,
            // Sets the highest bit because real processes use random 64-bit numbers.
            process_run: RunId(generation | 1 << 63),
            service: service_name(server.service),
            domain: server.domain.clone(),
            server: server_address(agent),
        };
        let is_server_up = server.is_up;
        let mut core = Agent::new(self.options.agent, identity, &self.seeds(), self.now);
        if !is_server_up {
            core.on_server_absent(self.now, &mut Vec::new());
        }
        let process = AgentProcess {
            core,
            syn_timer: None,
            generation,
            is_up: true,
        };
        self.agents.insert(agent, process);
        self.schedule(Span::ZERO, Event::Tick(agent, generation));
        let first_report = Span(self.random.random_range(0..REPORT_INTERVAL.0));
        self.schedule(first_report, Event::Report(agent, generation));
    }

    /// Kills a balancer; routers send to it until their next probe.
    pub fn kill_balancer(&mut self, balancer: Ipv4Addr) {
        self.last_disruption = self.now;
        self.links.clear(balancer);
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_up = false;
        }
    }

    /// Starts or restarts a balancer with empty state; it is in rotation once a probe finds it
    /// ready.
    pub fn start_balancer(&mut self, balancer: Ipv4Addr) {
        self.last_disruption = self.now;
        let generation = self.allocate_generation();
        let seeds = self.seeds();
        let process = BalancerProcess {
            core: Balancer::new(BalancerOptions::default(), balancer, &seeds, self.now),
            generation,
            is_up: true,
            is_in_rotation: false,
            is_cut_from_store: false,
            loses_inbound_control: false,
            is_partitioned: false,
        };
        self.balancers.insert(balancer, process);
        self.schedule(Span::ZERO, Event::Tick(balancer, generation));
    }

    /// Sets whether the store answers reads and accepts changes.
    pub fn set_store_up(&mut self, is_up: bool) {
        self.is_store_up = is_up;
        self.oracle.on_store(self.now, is_up);
    }

    /// Sets whether a balancer cannot reach the store.
    pub fn set_store_cut(&mut self, balancer: Ipv4Addr, is_cut: bool) {
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_cut_from_store = is_cut;
        }
    }

    /// Sets whether all control messages to a balancer are lost.
    pub fn set_inbound_control_loss(&mut self, balancer: Ipv4Addr, is_lossy: bool) {
        self.last_disruption = self.now;
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.loses_inbound_control = is_lossy;
        }
    }

    /// Sets whether a balancer receives neither heartbeats of other balancers nor answers of the
    /// store. Messages of agents still arrive.
    pub fn set_partitioned(&mut self, balancer: Ipv4Addr, is_partitioned: bool) {
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_partitioned = is_partitioned;
            process.is_cut_from_store = is_partitioned;
        }
    }

    /// Takes a failure domain out of service or returns it; no effect while the store is down.
    pub fn set_domain_out(&mut self, index: u8, is_out: bool) {
        if !self.is_store_up {
            return;
        }
        let domain = domain_name(index);
        self.oracle.on_domain(self.now, &domain, is_out);
        if is_out {
            self.domain_status.domains_out.insert(domain);
        } else {
            self.domain_status.domains_out.remove(&domain);
        }
        self.domain_status.revision.0 += 1;
    }
    /// Restores the store from its first copy. Revisions start again, and what operators wrote is
    /// written again.
    pub fn restore_store(&mut self) {
        let status = &mut self.domain_status;
        status.era = status.era.map(|era| StoreEra(era.0 + 1));
        status.revision = StoreRevision(1);
    }
}
