//! Control datagrams: a postcard encoding, followed by an 8-byte SipHash-2-4 tag over it.

use {
    crate::forward::DatagramKey,
    cardamomloom_core::error::{Error, ErrorKind, malformed},
    serde::{Serialize, de::DeserializeOwned},
};

/// Result of sealing or opening a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest control datagram in bytes, so that it fits an Ethernet frame with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Bytes of the tag.
pub const TAG_BYTES: usize = 8;

/// Encodes and authenticates a message. Errors begin with the name of the protocol, `area`.
///
/// # Errors
///
/// Fails with kind `limit_exceeded` when the datagram is larger than [`MAX_DATAGRAM_BYTES`].
pub fn seal<T: Serialize>(area: &str, key: DatagramKey, message: &T) -> Result<Vec<u8>> {
    let mut datagram = postcard::to_stdvec(message)
        .map_err(|error| malformed(format!("{area}: message cannot be encoded: {error}")))?;
    let total_bytes = datagram.len() + TAG_BYTES;
    if total_bytes > MAX_DATAGRAM_BYTES {
        return Err(Error::new(
            ErrorKind::LimitExceeded,
            format!(
                "{area}: message of {total_bytes} bytes is larger than the limit of {MAX_DATAGRAM_BYTES} bytes"
            ),
        ));
    }
    let tag = key.tag(&[&datagram]);
    datagram.extend_from_slice(&tag.to_be_bytes());
    Ok(datagram)
}

/// Checks and decodes a datagram. Errors begin with the name of the protocol, `area`.
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is short, too long or cannot be decoded.
pub fn open<T: DeserializeOwned>(area: &str, key: DatagramKey, datagram: &[u8]) -> Result<T> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(malformed(format!(
            "{area}: datagram is larger than the limit"
        )));
    }
    let Some((body, received_tag)) = datagram.split_last_chunk::<TAG_BYTES>() else {
        return Err(malformed(format!(
            "{area}: datagram is shorter than its tag"
        )));
    };
    if *received_tag != key.tag(&[body]).to_be_bytes() {
        return Err(Error::new(
            ErrorKind::Unauthorized,
            format!("{area}: authentication tag does not match"),
        ));
    }
    let (message, rest) = postcard::take_from_bytes(body)
        .map_err(|error| malformed(format!("{area}: datagram cannot be decoded: {error}")))?;
    if !rest.is_empty() {
        return Err(malformed(format!("{area}: datagram has trailing bytes")));
    }
    Ok(message)
}
