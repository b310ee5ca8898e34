//! Log lines for the decisions of an agent on packets.

use {
    super::{super::rejections, PacketIo},
    cardamomloom_coordination::passthrough::agent::{Action, DropReason},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::RelayKind,
    log::info,
};

impl PacketIo {
    /// Logs a decision within the limits of its class: decisions that affect a caller, or samples
    /// of normal forwarding. Packets returned to callers and messages about flow owners are not
    /// logged.
    pub(super) fn log_action(&mut self, now: Time, action: &Action, packet: &[u8]) {
        let limiter = match action {
            Action::ReturnToCaller { .. }
            | Action::AnnounceOwner { .. }
            | Action::ReportAbsence { .. }
            | Action::Send { .. } => return,
            // An owner lookup reaches every agent of a service, and at most one owns the flow.
            Action::Deliver | Action::DeliverBuffered(_) | Action::Drop(DropReason::NotOwner) => {
                &mut self.sample_log
            }
            Action::Relay { header, .. } if header.kind != RelayKind::Search => {
                &mut self.sample_log
            }
            _ => &mut self.caller_visible_log,
        };
        if !limiter.try_acquire(now) {
            return;
        }
        let packet = match action {
            Action::RelayBuffered { packet, .. } | Action::DeliverBuffered(packet) => packet,
            _ => packet,
        };
        let segment = self.format.parse(packet);
        let flow = segment.map(|segment| segment.flow_from_caller().to_string());
        let opens = segment.is_some_and(|segment| segment.is_syn_without_ack());
        match action {
            Action::Deliver | Action::DeliverBuffered(_) => {
                info!(
                    event = "packet_delivered", flow, opens;
                    "packet delivered to the backend server"
                );
            }
            Action::Relay { to, header } | Action::RelayBuffered { to, header, .. } => info!(
                event = "packet_relayed", flow, opens, kind:? = header.kind, to:%,
                balancer:% = header.balancer, catalogue:% = header.catalogue,
                visited = header.visited().len();
                "packet forwarded to another agent"
            ),
            Action::Reset { flow, sequence } => info!(
                event = "flow_reset", flow:%, sequence;
                "reset sent to the caller: no backend server has the flow any more"
            ),
            Action::Reject { flow, rejection } => rejections::log(flow, rejection),
            Action::Drop(reason) => info!(
                event = "packet_dropped", flow, opens, cause = reason.label();
                "packet dropped"
            ),
            Action::ReturnToCaller { .. }
            | Action::AnnounceOwner { .. }
            | Action::ReportAbsence { .. }
            | Action::Send { .. } => {}
        }
    }
}
