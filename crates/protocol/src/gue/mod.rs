//! Generic UDP encapsulation, variant 0 without optional fields (draft-ietf-intarea-gue).

use cardamomloom_core::error::{Error, malformed};

/// Result of decoding an encapsulated packet.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes of the header that precedes the IP packet.
pub const HEADER_BYTES: usize = 4;

const PROTOCOL_IPV4: u8 = 4;
const PROTOCOL_IPV6: u8 = 41;

/// Returns the IP packet inside a datagram.
///
/// # Errors
///
/// Fails with kind `malformed` when the header is truncated, has an unsupported variant, is a
/// control message or names an inner protocol other than IPv4 or IPv6, and when no packet follows.
pub fn decode(datagram: &[u8]) -> Result<&[u8]> {
    payload(datagram).map_err(malformed)
}

/// Returns the IP packet inside a datagram like [`decode`], but does not allocate on failure.
///
/// # Errors
///
/// Returns the message of the error that [`decode`] fails with.
pub fn payload(datagram: &[u8]) -> std::result::Result<&[u8], &'static str> {
    let Some((header, rest)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return Err("gue: datagram is shorter than the header");
    };
    // Bits 0-1 are the variant, bit 2 the control flag, bits 3-7 the length of optional fields
    // in 32-bit words.
    if header[0] >> 5 != 0 {
        return Err("gue: variant or control flag is not supported");
    }
    let optional_bytes = usize::from(header[0] & 0x1f) * 4;
    if !matches!(header[1], PROTOCOL_IPV4 | PROTOCOL_IPV6) {
        return Err("gue: inner protocol is not IPv4 or IPv6");
    }
    rest.get(optional_bytes..)
        .filter(|packet| !packet.is_empty())
        .ok_or("gue: no packet follows the header")
}

/// Returns the header for an IP packet; the first byte of the packet gives the IP version.
#[must_use]
pub fn header_for(packet: &[u8]) -> [u8; HEADER_BYTES] {
    let is_ipv6 = packet.first().is_some_and(|byte| byte >> 4 == 6);
    let protocol = if is_ipv6 {
        PROTOCOL_IPV6
    } else {
        PROTOCOL_IPV4
    };
    [0, protocol, 0, 0]
}

/// Returns a datagram that holds the header and the IP packet.
#[must_use]
pub fn encode(packet: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(HEADER_BYTES + packet.len());
    datagram.extend_from_slice(&header_for(packet));
    datagram.extend_from_slice(packet);
    datagram
}
