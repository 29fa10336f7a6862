//! A small HTTP/1.1: parsing for servers and clients, with limits. Pure; the
//! driver brings the sockets.

/// Largest head accepted.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest request body accepted.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest response taken from a service of the platform (watches have no
/// limit of their own; this bounds what one answer may cost us).
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a message was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// It is not HTTP, or contradicts itself.
    #[error("malformed message")]
    Malformed,
    /// Its head is over the limit.
    #[error("head too large")]
    HeadTooLarge,
    /// Its body is over the limit.
    #[error("body too large")]
    BodyTooLarge,
}

impl HttpError {
    /// The status that answers it.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
        }
    }
}

/// How a body's end is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A request, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without its question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection closes after the answer.
    pub close: bool,
}

/// A response, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection closes.
    pub close: bool,
}

#[derive(Default)]
struct Fields {
    length: Option<usize>,
    chunked: bool,
    close: Option<bool>,
    retry_after: Option<u32>,
}

fn fields(headers: &[httparse::Header<'_>]) -> Result<Fields, HttpError> {
    let mut f = Fields::default();
    for h in headers {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let n = value.parse().map_err(|_| HttpError::BodyTooLarge)?;
            // Two lengths that differ are a smuggling attempt.
            if f.length.is_some_and(|l| l != n) {
                return Err(HttpError::Malformed);
            }
            f.length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            f.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for word in value.split(',') {
                match word.trim().to_ascii_lowercase().as_str() {
                    "close" => f.close = Some(true),
                    "keep-alive" => f.close = Some(false),
                    _ => {}
                }
            }
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            f.retry_after = value.parse().ok();
        }
    }
    if f.chunked && f.length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(f)
}

/// Decodes the body at the start of `data`. `None`: more is needed. Otherwise
/// the body and how many bytes it took.
fn body(
    data: &[u8],
    framing: Framing,
    most: usize,
    ended: bool,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    match framing {
        Framing::Length(n) if n > most => Err(HttpError::BodyTooLarge),
        Framing::Length(n) => Ok((data.len() >= n).then(|| (data[..n].to_vec(), n))),
        Framing::UntilClose if data.len() > most => Err(HttpError::BodyTooLarge),
        Framing::UntilClose => Ok(ended.then(|| (data.to_vec(), data.len()))),
        Framing::Chunked => chunked(data, most),
    }
}

fn chunked(data: &[u8], most: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut out = Vec::new();
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&data[at..]) {
            Err(_) => return Err(HttpError::Malformed),
            Ok(httparse::Status::Partial) => {
                return if data.len() - at > MAX_HEAD_BYTES {
                    Err(HttpError::Malformed)
                } else {
                    Ok(None)
                };
            }
            Ok(httparse::Status::Complete((line, size))) => {
                at += line;
                if size == 0 {
                    return trailers(&data[at..]).map(|t| t.map(|n| (out, at + n)));
                }
                if size > (most - out.len().min(most)) as u64 {
                    return Err(HttpError::BodyTooLarge);
                }
                let size = size as usize;
                if data.len() < at + size + 2 {
                    return Ok(None);
                }
                out.extend_from_slice(&data[at..at + size]);
                if &data[at + size..at + size + 2] != b"\r\n" {
                    return Err(HttpError::Malformed);
                }
                at += size + 2;
            }
        }
    }
}

/// Skips trailer lines up to the empty one; returns their length.
fn trailers(data: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut at = 0;
    while let Some(end) = data[at..].windows(2).position(|w| w == b"\r\n") {
        at += end + 2;
        if end == 0 {
            return Ok(Some(at));
        }
    }
    if data.len() > MAX_HEAD_BYTES {
        return Err(HttpError::HeadTooLarge);
    }
    Ok(None)
}

/// Reads a request from the start of `data`. `None`: more is needed.
/// Otherwise the request and how many bytes it took.
///
/// # Errors
/// The message is malformed or over a limit; the connection cannot be used further.
pub fn read_request(data: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > MAX_HEAD_BYTES => {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    if used > MAX_HEAD_BYTES {
        return Err(HttpError::HeadTooLarge);
    }
    let f = fields(head.headers)?;
    let framing = if f.chunked {
        Framing::Chunked
    } else {
        Framing::Length(f.length.unwrap_or(0))
    };
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let old = head.version == Some(0);
    Ok(
        body(&data[used..], framing, MAX_BODY_BYTES, false)?.map(|(body, n)| {
            (
                Request {
                    method: head.method.unwrap_or("").to_string(),
                    path: path.to_string(),
                    query: query.to_string(),
                    body,
                    close: f.close.unwrap_or(old),
                },
                used + n,
            )
        }),
    )
}

/// Reads a response from the start of `data`; `ended`: the sender has closed.
///
/// # Errors
/// The message is malformed or over a limit; the connection cannot be used further.
pub fn read_response(data: &[u8], ended: bool) -> Result<Option<(Response, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > MAX_HEAD_BYTES => {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed),
    };
    let status = head.code.unwrap_or(0);
    let f = fields(head.headers)?;
    let framing = match (f.chunked, f.length) {
        (true, _) => Framing::Chunked,
        (false, Some(n)) => Framing::Length(n),
        (false, None) if status == 204 || status == 304 => Framing::Length(0),
        (false, None) => Framing::UntilClose,
    };
    Ok(
        body(&data[used..], framing, MAX_RESPONSE_BYTES, ended)?.map(|(body, n)| {
            (
                Response {
                    status,
                    retry_after: f.retry_after,
                    body,
                    close: f.close.unwrap_or(head.version == Some(0))
                        || framing == Framing::UntilClose,
                },
                used + n,
            )
        }),
    )
}

fn reason(status: u16) -> &'static str {
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

/// Writes a response.
pub fn write_response(r: &Response) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        r.status,
        reason(r.status),
        r.body.len()
    );
    if let Some(s) = r.retry_after {
        out.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if r.close {
        out.push_str("Connection: close\r\n");
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(&r.body);
    out
}

/// Writes a request.
pub fn write_request(method: &str, host: &str, target: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        out.push_str(&format!(
            "Content-Type: application/msgpack\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

#[cfg(test)]
mod tests;
