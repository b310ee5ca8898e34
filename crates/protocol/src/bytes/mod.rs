//! Numbers in network byte order.

/// Reads two bytes.
#[must_use]
pub fn be_u16(bytes: &[u8]) -> u16 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u16::from(*byte))
}

/// Reads four bytes.
#[must_use]
pub fn be_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Reads eight bytes.
#[must_use]
pub fn be_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
