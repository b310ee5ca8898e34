//! Faults and planned work that a test brings into a world.

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
    cardamomloom_protocol::passthrough::{HostReportState, RunId},
    rand::RngExt,
    std::net::Ipv4Addr,
};

impl Simulation {
    /// Lets the backend server beside an agent drain.
    pub fn drain_server(&mut self, agent: Ipv4Addr) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.state = HostReportState::Draining;
        }
        self.report(agent);
    }

    /// Crashes the backend server beside an agent.
    pub fn crash_server(&mut self, agent: Ipv4Addr) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.is_up = false;
        }
    }

    /// Sets the share of requests that the backend server beside an agent fails, while it reports
    /// as before.
    pub fn set_failure_ratio(&mut self, agent: Ipv4Addr, share: f64) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.model.set_failure_ratio(share);
        }
    }

    /// Starts a cold backend server beside an agent. Unless it reports at once, its first report
    /// comes when the next one of its predecessor would have come.
    pub fn restart_server(&mut self, agent: Ipv4Addr, reports_at_once: bool) {
        if let Some(server) = self.servers.get(&agent) {
            let service = server.service;
            self.start_server(agent, service, self.now);
            if reports_at_once {
                self.report(agent);
            }
        }
    }

    /// Kills an agent.
    pub fn kill_agent(&mut self, agent: Ipv4Addr) {
        self.disturbed = self.now;
        if let Some(process) = self.agents.get_mut(&agent) {
            process.is_up = false;
        }
    }

    /// Starts an agent that knows nothing.
    pub fn start_agent(&mut self, agent: Ipv4Addr) {
        self.disturbed = self.now;
        let generation = self.generation();
        let Some(server) = self.servers.get(&agent) else {
            return;
        };
        let identity = AgentIdentity {
            address: agent,
            // As large as the random number of a real process.
            process_run: RunId(generation | 1 << 63),
            service: service_name(server.service),
            domain: server.domain.clone(),
            server: server_address(agent),
        };
        let core = Agent::new(self.options.agent, identity, &self.seeds(), self.now);
        let process = AgentProcess {
            core,
            generation,
            is_up: true,
        };
        self.agents.insert(agent, process);
        self.schedule(Span::ZERO, Event::Tick(agent, generation));
        let first_report = Span(self.random.random_range(0..REPORT_INTERVAL.0));
        self.schedule(first_report, Event::Report(agent, generation));
    }

    /// Kills a balancer; the routers notice at their second probe.
    pub fn kill_balancer(&mut self, balancer: Ipv4Addr) {
        self.disturbed = self.now;
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_up = false;
        }
    }

    /// Starts a balancer that knows nothing.
    pub fn start_balancer(&mut self, balancer: Ipv4Addr) {
        self.disturbed = self.now;
        let generation = self.generation();
        let seeds = self.seeds();
        let process = BalancerProcess {
            core: Balancer::new(BalancerOptions::default(), balancer, &seeds, self.now),
            generation,
            is_up: true,
            is_in_rotation: false,
            is_cut_from_store: false,
            is_deaf: false,
            is_apart: false,
        };
        self.balancers.insert(balancer, process);
        self.schedule(Span::ZERO, Event::Tick(balancer, generation));
    }

    /// Sets whether the store answers.
    pub fn set_store_up(&mut self, is_up: bool) {
        self.is_store_up = is_up;
        self.oracle.on_store(self.now, is_up);
    }

    /// Sets whether a balancer is cut off from the store.
    pub fn set_store_cut(&mut self, balancer: Ipv4Addr, is_cut: bool) {
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_cut_from_store = is_cut;
        }
    }

    /// Sets whether control messages do not reach a balancer.
    pub fn set_inbound_control_loss(&mut self, balancer: Ipv4Addr, is_deaf: bool) {
        self.disturbed = self.now;
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_deaf = is_deaf;
        }
    }

    /// Sets whether a balancer hears neither other balancers nor the store, but agents.
    pub fn set_partitioned(&mut self, balancer: Ipv4Addr, is_apart: bool) {
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_apart = is_apart;
            process.is_cut_from_store = is_apart;
        }
    }

    /// Takes a failure domain out of service or back, if the store accepts the change.
    pub fn set_domain_out(&mut self, index: u8, is_out: bool) {
        if !self.is_store_up {
            return;
        }
        let domain = domain_name(index);
        self.oracle.on_domain(self.now, &domain, is_out);
        if is_out {
            self.standing.domains_out.insert(domain);
        } else {
            self.standing.domains_out.remove(&domain);
        }
        self.standing.revision.0 += 1;
    }
}
