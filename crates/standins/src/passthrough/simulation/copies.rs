//! Transfers of the catalogue and of other state: from the store, and between processes.

use {
    super::{Event, Simulation},
    cardamomloom_coordination::passthrough::StoreAccess,
    cardamomloom_protocol::passthrough::{CatalogueDocument, Snapshot},
    std::net::Ipv4Addr,
};

impl Simulation {
    /// Reads the store for a process: at once, or over the link of the process when the catalogue has
    /// changed and links have a rate.
    pub(super) fn read_store(&mut self, address: Ipv4Addr, generation: u64, access: StoreAccess) {
        let document = self.catalogue.clone();
        let known_version = if let Some(process) = self.balancers.get(&address) {
            process.core.catalogue_version()
        } else if let Some(process) = self.agents.get(&address) {
            process.core.catalogue_version()
        } else {
            return;
        };
        if self.options.link_bytes_per_s == 0 || known_version == document.version {
            self.on_store_answer(address, generation, document, access);
        } else if self.links.is_idle(self.now, address) {
            let end = self
                .links
                .transfer(self.now, address, json_bytes(&document));
            let answer = Event::StoreAnswer(address, generation, document, access);
            self.schedule_at(end, answer);
        }
    }

    /// Applies the state that a process has read from the store.
    pub(super) fn on_store_answer(
        &mut self,
        address: Ipv4Addr,
        generation: u64,
        document: CatalogueDocument,
        access: StoreAccess,
    ) {
        if !self.is_current(address, generation) {
            return;
        }
        let (now, status) = (self.now, self.domain_status.clone());
        if let Some(process) = self.balancers.get_mut(&address) {
            let mut outgoing = process.core.on_catalogue(now, document);
            outgoing.extend(process.core.on_domain_status(now, status));
            if access != StoreAccess::Bootstrap {
                process.core.on_store_confirmed(now);
            }
            self.send_control(address, outgoing);
        } else if let Some(process) = self.agents.get_mut(&address) {
            process.core.on_catalogue(now, document);
            process.core.on_domain_status(now, status);
            process.core.on_store_confirmed(now);
        }
    }

    /// Starts to copy the state of a balancer to a process, unless a copy is on its way. Requests are
    /// subject to neither loss nor delay here.
    pub(super) fn start_copy(&mut self, to: Ipv4Addr, generation: u64) {
        let now = self.now;
        let source = if let Some(process) = self.balancers.get_mut(&to) {
            let source = (!process.is_copying).then(|| process.core.snapshot_source(now));
            source.flatten()
        } else if let Some(process) = self.agents.get_mut(&to) {
            let source = (!process.is_copying).then(|| process.core.snapshot_source());
            source.flatten()
        } else {
            None
        };
        let copy = source
            .and_then(|source| self.balancers.get(&source).map(|process| (source, process)))
            .filter(|(_, process)| process.is_up)
            .map(|(source, process)| (source, Box::new(process.core.snapshot(now))));
        let Some((source, copy)) = copy else { return };
        if self.options.link_bytes_per_s == 0 {
            self.on_copy_ended(to, generation, Some(copy));
            return;
        }
        self.set_copying(to, true);
        let sent = self.links.transfer(now, source, json_bytes(&copy));
        let end = sent.max(self.links.transfer(now, to, json_bytes(&copy)));
        let copy = Some(copy);
        self.schedule_at(
            end,
            Event::CopyEnded {
                to,
                generation,
                copy,
            },
        );
    }

    /// Applies the copy that a process has received.
    pub(super) fn on_copy_ended(
        &mut self,
        to: Ipv4Addr,
        generation: u64,
        copy: Option<Box<Snapshot>>,
    ) {
        if !self.is_current(to, generation) {
            return;
        }
        self.set_copying(to, false);
        let Some(copy) = copy else { return };
        if let Some(process) = self.balancers.get_mut(&to) {
            let outgoing = process.core.on_snapshot(self.now, *copy);
            self.send_control(to, outgoing);
        } else if let Some(process) = self.agents.get_mut(&to) {
            process.core.on_snapshot(self.now, *copy);
        }
    }

    fn set_copying(&mut self, address: Ipv4Addr, is_copying: bool) {
        if let Some(process) = self.balancers.get_mut(&address) {
            process.is_copying = is_copying;
        } else if let Some(process) = self.agents.get_mut(&address) {
            process.is_copying = is_copying;
        }
    }
}

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |json| json.len())
}
