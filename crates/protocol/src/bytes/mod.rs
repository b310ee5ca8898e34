//! Decoding of numbers in network byte order.

/// Decodes a number from two bytes.
#[must_use]
pub fn be_u16(bytes: &[u8]) -> u16 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u16::from(*byte))
}

/// Decodes a number from four bytes.
#[must_use]
pub fn be_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Decodes a number from eight bytes.
#[must_use]
pub fn be_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
