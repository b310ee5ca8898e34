//! Encodes the HTTP/1.1 requests of a caller and parses the responses.

use {crate::backend::ResponseBody, httparse::Status};

/// Result of parsing a response.
pub type Result<T> = std::result::Result<T, InvalidResponse>;

/// The received bytes are not a response with status 200, a content length and the expected body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidResponse;

/// Encodes a request with an empty body.
pub fn encode_request(service: &str, id: &str) -> Vec<u8> {
    format!(
        "POST /requests/{service}/{id} HTTP/1.1\r\nhost: {service}\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Parses the response at the start of `bytes` and returns its body and its total length in bytes.
///
/// Returns `None` while the response is incomplete.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseBody, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(InvalidResponse),
    };
    if response.code != Some(200) {
        return Err(InvalidResponse);
    }
    let body_bytes = response
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("content-length"))
        .and_then(|header| std::str::from_utf8(header.value).ok())
        .and_then(|text| text.parse::<usize>().ok())
        .ok_or(InvalidResponse)?;
    let Some(body) = bytes.get(head_bytes..head_bytes + body_bytes) else {
        return Ok(None);
    };
    let parsed_body = serde_json::from_slice(body).map_err(|_| InvalidResponse)?;
    Ok(Some((parsed_body, head_bytes + body_bytes)))
}
