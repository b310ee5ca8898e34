//! Authenticated datagrams: a postcard encoding, followed by an 8-byte SipHash-2-4 tag over it.
//!
//! Both control protocols use this format. The content is not encrypted.

use {
    crate::forward::DatagramKey,
    cardamomloom_core::error::{Error, ErrorKind, malformed},
    serde::{Serialize, de::DeserializeOwned},
};

/// Result of sealing or opening a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest control datagram in bytes; with its headers it fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Length of the tag in bytes.
pub const TAG_BYTES: usize = 8;

/// Encodes a message and appends the tag. Error messages start with the name `protocol`.
///
/// # Errors
///
/// Fails with kind `limit_exceeded` when the datagram is larger than [`MAX_DATAGRAM_BYTES`].
pub fn seal<T: Serialize>(protocol: &str, key: DatagramKey, message: &T) -> Result<Vec<u8>> {
    let mut datagram = postcard::to_stdvec(message)
        .map_err(|error| malformed(format!("{protocol}: message cannot be encoded: {error}")))?;
    let total_bytes = datagram.len() + TAG_BYTES;
    if total_bytes > MAX_DATAGRAM_BYTES {
        return Err(Error::new(
            ErrorKind::LimitExceeded,
            format!(
                "{protocol}: message of {total_bytes} bytes is larger than the limit of {MAX_DATAGRAM_BYTES} bytes"
            ),
        ));
    }
    let tag = key.tag(&[&datagram]);
    datagram.extend_from_slice(&tag.to_be_bytes());
    Ok(datagram)
}

/// Verifies the tag of a datagram and decodes it. Error messages start with the name `protocol`.
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is short, too long or cannot be decoded.
pub fn open<T: DeserializeOwned>(protocol: &str, key: DatagramKey, datagram: &[u8]) -> Result<T> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(malformed(format!(
            "{protocol}: datagram of {} bytes is larger than the limit of {MAX_DATAGRAM_BYTES} bytes",
            datagram.len()
        )));
    }
    let Some((body, received_tag)) = datagram.split_last_chunk::<TAG_BYTES>() else {
        return Err(malformed(format!(
            "{protocol}: datagram of {} bytes is shorter than the tag of {TAG_BYTES} bytes",
            datagram.len()
        )));
    };
    if *received_tag != key.tag(&[body]).to_be_bytes() {
        return Err(Error::new(
            ErrorKind::Unauthorized,
            format!("{protocol}: authentication tag does not match"),
        ));
    }
    let (message, rest) = postcard::take_from_bytes(body)
        .map_err(|error| malformed(format!("{protocol}: datagram cannot be decoded: {error}")))?;
    if !rest.is_empty() {
        return Err(malformed(format!(
            "{protocol}: datagram has {} bytes after the message",
            rest.len()
        )));
    }
    Ok(message)
}
