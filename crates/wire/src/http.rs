//! A small HTTP/1.1: parsing and serialization of messages for servers and clients, with
//! size limits. It does no I/O; `pebblefold-net` provides the sockets.

/// Largest accepted head (start line and header fields).
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest accepted body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest accepted body of a response. The platform's watches have no size limit, so this
/// one bounds the memory that a response can take.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The message is not HTTP, or its header fields contradict each other.
    #[error("malformed message")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has more than 48 header fields, or the
    /// trailers exceed that size.
    #[error("head too large")]
    HeadTooLarge,
    /// The body exceeds [`MAX_BODY_BYTES`] or [`MAX_RESPONSE_BYTES`].
    #[error("body too large")]
    BodyTooLarge,
}

impl HttpError {
    /// The status of the response to the rejected request.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
        }
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By `Content-Length`, in bytes.
    Length(usize),
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without its question mark.
    pub query: String,
    /// The body, without chunked encoding.
    pub body: Vec<u8>,
    /// Whether the connection closes after the response.
    pub close: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// `Retry-After` in seconds; `None` if absent or given as a date.
    pub retry_after: Option<u32>,
    /// The body, without chunked encoding.
    pub body: Vec<u8>,
    /// Whether the connection closes after this response.
    pub close: bool,
}

/// The header fields that matter here.
#[derive(Default)]
struct Fields {
    length: Option<usize>,
    chunked: bool,
    /// By `Connection`; `None`: the default of the HTTP version applies.
    close: Option<bool>,
    retry_after: Option<u32>,
}

fn parse_fields(headers: &[httparse::Header<'_>]) -> Result<Fields, HttpError> {
    let mut header_fields = Fields::default();
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let n = value.parse().map_err(|_| HttpError::BodyTooLarge)?;
            // Two different lengths indicate request smuggling.
            if header_fields.length.is_some_and(|previous| previous != n) {
                return Err(HttpError::Malformed);
            }
            header_fields.length = Some(n);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            header_fields.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            for option in value.split(',') {
                match option.trim().to_ascii_lowercase().as_str() {
                    "close" => header_fields.close = Some(true),
                    "keep-alive" => header_fields.close = Some(false),
                    _ => {}
                }
            }
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            header_fields.retry_after = value.parse().ok();
        }
    }
    if header_fields.chunked && header_fields.length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(header_fields)
}

/// Decodes the body at the start of `data`. Returns the body and the bytes that it took
/// up; `None` if `data` is incomplete. `at_eof`: the sender has closed the connection.
fn decode_body(
    data: &[u8],
    framing: Framing,
    max_bytes: usize,
    at_eof: bool,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    match framing {
        Framing::Length(n) if n > max_bytes => Err(HttpError::BodyTooLarge),
        Framing::Length(n) => Ok((data.len() >= n).then(|| (data[..n].to_vec(), n))),
        Framing::UntilClose if data.len() > max_bytes => Err(HttpError::BodyTooLarge),
        Framing::UntilClose => Ok(at_eof.then(|| (data.to_vec(), data.len()))),
        Framing::Chunked => decode_chunked(data, max_bytes),
    }
}

/// Decodes a body in chunked encoding, like [`decode_body`].
fn decode_chunked(data: &[u8], max_bytes: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut buffer = Vec::new();
    let mut offset = 0;
    loop {
        match httparse::parse_chunk_size(&data[offset..]) {
            Err(_) => return Err(HttpError::Malformed),
            Ok(httparse::Status::Partial) => {
                return if data.len() - offset > MAX_HEAD_BYTES {
                    Err(HttpError::Malformed)
                } else {
                    Ok(None)
                };
            }
            Ok(httparse::Status::Complete((size_line_length, size))) => {
                offset += size_line_length;
                if size == 0 {
                    return trailers_length(&data[offset..])
                        .map(|t| t.map(|n| (buffer, offset + n)));
                }
                if size > (max_bytes - buffer.len().min(max_bytes)) as u64 {
                    return Err(HttpError::BodyTooLarge);
                }
                let size = size as usize;
                if data.len() < offset + size + 2 {
                    return Ok(None);
                }
                buffer.extend_from_slice(&data[offset..offset + size]);
                if &data[offset + size..offset + size + 2] != b"\r\n" {
                    return Err(HttpError::Malformed);
                }
                offset += size + 2;
            }
        }
    }
}

/// Returns the length of the trailers, the empty line at their end included; `None` if
/// `data` is incomplete.
fn trailers_length(data: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut offset = 0;
    while let Some(end) = data[offset..].windows(2).position(|w| w == b"\r\n") {
        offset += end + 2;
        if end == 0 {
            return Ok(Some(offset));
        }
    }
    if data.len() > MAX_HEAD_BYTES {
        return Err(HttpError::HeadTooLarge);
    }
    Ok(None)
}

/// Parses the request at the start of `data`. Returns the request and the bytes that it
/// took up; `None` if `data` is incomplete.
///
/// # Errors
/// The message is malformed or exceeds a limit; the connection cannot be used any longer.
pub fn parse_request(data: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > MAX_HEAD_BYTES => {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    if head_length > MAX_HEAD_BYTES {
        return Err(HttpError::HeadTooLarge);
    }
    let header_fields = parse_fields(head.headers)?;
    let framing = if header_fields.chunked {
        Framing::Chunked
    } else {
        Framing::Length(header_fields.length.unwrap_or(0))
    };
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let is_http_1_0 = head.version == Some(0);
    Ok(
        decode_body(&data[head_length..], framing, MAX_BODY_BYTES, false)?.map(|(body, n)| {
            (
                Request {
                    method: head.method.unwrap_or("").to_string(),
                    path: path.to_string(),
                    query: query.to_string(),
                    body,
                    close: header_fields.close.unwrap_or(is_http_1_0),
                },
                head_length + n,
            )
        }),
    )
}

/// Parses the response at the start of `data`. Returns the response and the bytes that it
/// took up; `None` if `data` is incomplete. `at_eof`: the sender has closed the connection,
/// which ends a body without a length.
///
/// # Errors
/// The message is malformed or exceeds a limit; the connection cannot be used any longer.
pub fn parse_response(data: &[u8], at_eof: bool) -> Result<Option<(Response, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Response::new(&mut headers);
    let head_length = match head.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > MAX_HEAD_BYTES => {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed),
    };
    let status = head.code.unwrap_or(0);
    let header_fields = parse_fields(head.headers)?;
    let framing = match (header_fields.chunked, header_fields.length) {
        (true, _) => Framing::Chunked,
        (false, Some(n)) => Framing::Length(n),
        (false, None) if status == 204 || status == 304 => Framing::Length(0),
        (false, None) => Framing::UntilClose,
    };
    Ok(
        decode_body(&data[head_length..], framing, MAX_RESPONSE_BYTES, at_eof)?.map(|(body, n)| {
            (
                Response {
                    status,
                    retry_after: header_fields.retry_after,
                    body,
                    close: header_fields.close.unwrap_or(head.version == Some(0))
                        || framing == Framing::UntilClose,
                },
                head_length + n,
            )
        }),
    )
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Serializes a response. Its body is declared as MessagePack.
pub fn write_response(response: &Response) -> Vec<u8> {
    let mut buffer = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        buffer.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if response.close {
        buffer.push_str("Connection: close\r\n");
    }
    buffer.push_str("\r\n");
    let mut buffer = buffer.into_bytes();
    buffer.extend_from_slice(&response.body);
    buffer
}

/// Serializes a request. `target` is the path with the query; a body is declared as
/// MessagePack.
pub fn write_request(method: &str, host: &str, target: &str, body: &[u8]) -> Vec<u8> {
    let mut buffer = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        buffer.push_str(&format!(
            "Content-Type: application/msgpack\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    buffer.push_str("\r\n");
    let mut buffer = buffer.into_bytes();
    buffer.extend_from_slice(body);
    buffer
}

#[cfg(test)]
mod tests;
