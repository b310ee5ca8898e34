//! Requests and answers of a caller, HTTP/1.1.

use {crate::backend::Answer, httparse::Status};

/// Result of reading an answer.
pub type Result<T> = std::result::Result<T, BadAnswer>;

/// The bytes are not an answer to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadAnswer;

/// Returns the bytes of a request.
pub fn request(service: &str, id: &str) -> Vec<u8> {
    format!(
        "POST /requests/{service}/{id} HTTP/1.1\r\nhost: {service}\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the answer and its length when `bytes` hold a complete one.
pub fn answer(bytes: &[u8]) -> Result<Option<(Answer, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(BadAnswer),
    };
    if response.code != Some(200) {
        return Err(BadAnswer);
    }
    let body_bytes = response
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("content-length"))
        .and_then(|header| std::str::from_utf8(header.value).ok())
        .and_then(|text| text.parse::<usize>().ok())
        .ok_or(BadAnswer)?;
    let Some(body) = bytes.get(head_bytes..head_bytes + body_bytes) else {
        return Ok(None);
    };
    let answer = serde_json::from_slice(body).map_err(|_| BadAnswer)?;
    Ok(Some((answer, head_bytes + body_bytes)))
}
