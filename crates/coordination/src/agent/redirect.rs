//! Further hops of a SYN whose flow this agent does not admit.

use {
    crate::ownership::{Hop, Ownership},
    cardamomloom_protocol::forward::{ForwardHeader, MAX_VISITED},
};

/// Returns whether another candidate accepts new flows and has not been visited by the packet. A
/// packet in its second pass over the candidates has no alternative.
pub fn has_alternative(ownership: &Ownership, header: &ForwardHeader) -> bool {
    let hops = usize::from(header.hops);
    hops < MAX_VISITED
        && hops < header.visited.as_slice().len()
        && ownership.table().is_some_and(|table| {
            table
                .candidates_of(header.bucket)
                .any(|candidate| candidate.accepts_new && !header.visited.contains(candidate.host))
        })
}

/// Returns the next hop of the second pass over the visited candidates, which starts once the last
/// one has rejected the flow.
///
/// An earlier candidate may have forwarded the flow only because it was above the mean, so all of
/// them are visited again in order. Without an alternative candidate, admission ignores the mean.
/// The list of visited hosts stays as it is and the hop count goes on, so a packet takes at most
/// 2 d - 2 hops, where d is the number of visited hosts.
pub fn second_pass_hop(ownership: &Ownership, header: &ForwardHeader) -> Option<Hop> {
    let visited = header.visited.as_slice();
    let last = visited.len().checked_sub(1)?;
    let next = usize::from(header.hops).checked_sub(last)?;
    let host = visited.get(next).filter(|_| next < last)?;
    let to = ownership.table()?.host(*host)?.data_address;
    let mut header = *header;
    header.hops += 1;
    Some(Hop { to, header })
}
