//! MessagePack, and HTTP/1.1 as far as the protocol needs it. Standard library only.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A message. Maps keep the order of their fields.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i64),
    Num(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

pub fn t(s: impl Into<String>) -> V {
    V::Text(s.into())
}

pub fn map(fields: Vec<(&str, V)>) -> V {
    V::Map(
        fields
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect(),
    )
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::Map(m) => m.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(V::Text(s)) => s.clone(),
            _ => String::new(),
        }
    }
    pub fn int(&self, key: &str) -> Option<i64> {
        match self.get(key) {
            Some(V::Int(n)) => Some(*n),
            Some(V::Num(n)) => Some(*n as i64),
            _ => None,
        }
    }
    pub fn num(&self, key: &str) -> f64 {
        match self.get(key) {
            Some(V::Int(n)) => *n as f64,
            Some(V::Num(n)) => *n,
            _ => 0.0,
        }
    }
    pub fn list(&self, key: &str) -> &[V] {
        match self.get(key) {
            Some(V::List(l)) => l,
            _ => &[],
        }
    }

    /// The message as JSON, in which the pages count sizes.
    pub fn json(&self) -> String {
        match self {
            V::Null => "null".into(),
            V::Bool(b) => b.to_string(),
            V::Int(n) => n.to_string(),
            V::Num(n) => format!("{n:?}"),
            V::Text(s) => quoted(s),
            V::List(l) => {
                let items: Vec<String> = l.iter().map(V::json).collect();
                format!("[{}]", items.join(","))
            }
            V::Map(m) => {
                let fields: Vec<String> = m
                    .iter()
                    .map(|(k, v)| format!("{}:{}", quoted(k), v.json()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quoted(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn encode(v: &V) -> Vec<u8> {
    let mut out = Vec::new();
    put(v, &mut out);
    out
}

fn put(v: &V, out: &mut Vec<u8>) {
    match v {
        V::Null => out.push(0xc0),
        V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
        V::Int(n) if *n >= 0 => {
            out.push(0xcf);
            out.extend((*n as u64).to_be_bytes());
        }
        V::Int(n) => {
            out.push(0xd3);
            out.extend(n.to_be_bytes());
        }
        V::Num(n) => {
            out.push(0xcb);
            out.extend(n.to_be_bytes());
        }
        V::Text(s) => put_text(s, out),
        V::List(l) => {
            out.push(0xdd);
            out.extend((l.len() as u32).to_be_bytes());
            l.iter().for_each(|v| put(v, out));
        }
        V::Map(m) => {
            out.push(0xdf);
            out.extend((m.len() as u32).to_be_bytes());
            for (k, v) in m {
                put_text(k, out);
                put(v, out);
            }
        }
    }
}

fn put_text(s: &str, out: &mut Vec<u8>) {
    out.push(0xdb);
    out.extend((s.len() as u32).to_be_bytes());
    out.extend(s.as_bytes());
}

pub fn decode(bytes: &[u8]) -> Option<V> {
    let mut rest = bytes;
    take(&mut rest)
}

fn bytes<'a>(rest: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    if rest.len() < n {
        return None;
    }
    let (head, tail) = rest.split_at(n);
    *rest = tail;
    Some(head)
}

fn number(rest: &mut &[u8], n: usize) -> Option<u64> {
    Some(
        bytes(rest, n)?
            .iter()
            .fold(0, |a, b| a << 8 | u64::from(*b)),
    )
}

fn take(rest: &mut &[u8]) -> Option<V> {
    let head = bytes(rest, 1)?[0];
    Some(match head {
        0x00..=0x7f => V::Int(i64::from(head)),
        0x80..=0x8f => take_map(rest, usize::from(head & 0x0f))?,
        0x90..=0x9f => take_list(rest, usize::from(head & 0x0f))?,
        0xa0..=0xbf => take_text(rest, usize::from(head & 0x1f))?,
        0xc0 => V::Null,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::Num(f64::from(f32::from_bits(number(rest, 4)? as u32))),
        0xcb => V::Num(f64::from_bits(number(rest, 8)?)),
        0xcc => V::Int(number(rest, 1)? as i64),
        0xcd => V::Int(number(rest, 2)? as i64),
        0xce => V::Int(number(rest, 4)? as i64),
        0xcf => V::Int(number(rest, 8)? as i64),
        0xd0 => V::Int(i64::from(number(rest, 1)? as i8)),
        0xd1 => V::Int(i64::from(number(rest, 2)? as i16)),
        0xd2 => V::Int(i64::from(number(rest, 4)? as i32)),
        0xd3 => V::Int(number(rest, 8)? as i64),
        0xd9 => {
            let n = number(rest, 1)? as usize;
            take_text(rest, n)?
        }
        0xda => {
            let n = number(rest, 2)? as usize;
            take_text(rest, n)?
        }
        0xdb => {
            let n = number(rest, 4)? as usize;
            take_text(rest, n)?
        }
        0xdc => {
            let n = number(rest, 2)? as usize;
            take_list(rest, n)?
        }
        0xdd => {
            let n = number(rest, 4)? as usize;
            take_list(rest, n)?
        }
        0xde => {
            let n = number(rest, 2)? as usize;
            take_map(rest, n)?
        }
        0xdf => {
            let n = number(rest, 4)? as usize;
            take_map(rest, n)?
        }
        0xe0..=0xff => V::Int(i64::from(head as i8)),
        _ => return None,
    })
}

fn take_text(rest: &mut &[u8], n: usize) -> Option<V> {
    let s = std::str::from_utf8(bytes(rest, n)?).ok()?;
    Some(V::Text(s.to_string()))
}

fn take_list(rest: &mut &[u8], n: usize) -> Option<V> {
    (0..n)
        .map(|_| take(rest))
        .collect::<Option<_>>()
        .map(V::List)
}

fn take_map(rest: &mut &[u8], n: usize) -> Option<V> {
    let field = |rest: &mut &[u8]| match take(rest)? {
        V::Text(k) => Some((k, take(rest)?)),
        _ => None,
    };
    (0..n)
        .map(|_| field(rest))
        .collect::<Option<_>>()
        .map(V::Map)
}

/// A message's start line, body, and whether the connection ends after it.
struct Message {
    start: String,
    body: Vec<u8>,
    close: bool,
}

/// Reads one message; `None` at the end of the connection.
fn read_message(s: &mut TcpStream, kept: &mut Vec<u8>, until: Instant) -> Result<Option<Message>> {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        if let Some(end) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).to_string();
            let field = |name: &str| {
                head.lines().skip(1).find_map(|l| {
                    let (k, v) = l.split_once(':')?;
                    k.eq_ignore_ascii_case(name).then(|| v.trim().to_string())
                })
            };
            let length: usize = field("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            if kept.len() >= end + 4 + length {
                let body = kept[end + 4..end + 4 + length].to_vec();
                let close = field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                kept.drain(..end + 4 + length);
                let start = head.lines().next().unwrap_or("").to_string();
                return Ok(Some(Message { start, body, close }));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        s.set_read_timeout(Some(left))?;
        match s.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(n) => kept.extend(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// One request on a connection of its own. Returns the status and the body.
pub fn ask(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    patience: Duration,
) -> Result<(u16, Vec<u8>)> {
    let until = Instant::now() + patience;
    let mut s = TcpStream::connect_timeout(&addr, patience.min(Duration::from_millis(500)))?;
    s.set_nodelay(true)?;
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend(body);
    s.write_all(&request)?;
    let answer = read_message(&mut s, &mut Vec::new(), until)?
        .ok_or(Error::from(ErrorKind::UnexpectedEof))?;
    let status = answer.start.split(' ').nth(1).and_then(|c| c.parse().ok());
    Ok((
        status.ok_or(Error::from(ErrorKind::InvalidData))?,
        answer.body,
    ))
}

/// Serves requests on threads without end. `handle` gets method, path with query, and body.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&str, &str, &[u8]) -> Option<(u16, Vec<u8>)> + Send + Sync + Clone + 'static,
) {
    std::thread::spawn(move || {
        for s in listener.incoming() {
            let Ok(mut s) = s else { continue };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = s.set_nodelay(true);
                let mut kept = Vec::new();
                while let Ok(Some(m)) =
                    read_message(&mut s, &mut kept, Instant::now() + Duration::from_secs(90))
                {
                    let mut words = m.start.split(' ');
                    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                    let Some((status, body)) = handle(method, path, &m.body) else {
                        return;
                    };
                    let mut out = format!("HTTP/1.1 {status} -\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
                    out.extend(body);
                    if s.write_all(&out).is_err() || m.close {
                        return;
                    }
                }
            });
        }
    });
}
