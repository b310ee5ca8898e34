//! Where an opening packet can still go that this agent does not take.

use {
    crate::ownership::{Hop, Ownership},
    cardamomloom_protocol::forward::{ForwardHeader, MAX_VISITED},
};

/// Tells whether another candidate takes new flows and was not asked yet.
pub fn has_other(ownership: &Ownership, header: &ForwardHeader) -> bool {
    let hops = usize::from(header.hops);
    hops < MAX_VISITED
        && hops < header.visited.as_slice().len()
        && ownership.table().is_some_and(|table| {
            table
                .candidates_of(header.bucket)
                .any(|other| other.accepts_new && !header.visited.contains(other.host))
        })
}

/// Returns the next hop on the way back, once the last candidate did not take the flow.
///
/// A candidate before the last may have passed the flow on only because it was above the mean, so
/// all of them are asked again in order; with no other candidate left, the mean does not count. The
/// visited hosts stay as they are and hops count on, so a packet takes at most 2 d - 2 hops.
pub fn way_back(ownership: &Ownership, header: &ForwardHeader) -> Option<Hop> {
    let visited = header.visited.as_slice();
    let last = visited.len().checked_sub(1)?;
    let next = usize::from(header.hops).checked_sub(last)?;
    let host = visited.get(next).filter(|_| next < last)?;
    let to = ownership.table()?.host(*host)?.data_address;
    let mut header = *header;
    header.hops += 1;
    Some(Hop { to, header })
}
