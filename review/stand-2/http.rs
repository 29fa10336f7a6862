//! HTTP/1.1 as far as the stand needs it: one request a connection as a client, connections
//! that stay open as a server.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Sends a request; returns status and body.
pub fn ask(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    patience: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let fail = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).map_err(fail)?;
    stream.set_read_timeout(Some(patience)).map_err(fail)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(fail)?;
    stream.write_all(body).map_err(fail)?;
    let mut reader = BufReader::new(stream);
    let (first, length) = read_head(&mut reader).ok_or("no answer")?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut answer = vec![0; length];
    reader.read_exact(&mut answer).map_err(fail)?;
    Ok((status.ok_or("no status")?, answer))
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, usize)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim();
        if line.is_empty() {
            return Some((first.trim().into(), length));
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
}

/// Answers requests without end: `handle` gets method, target and body.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some((first, length)) = read_head(&mut reader) {
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("");
                    let target = words.next().unwrap_or("");
                    let (status, answer) = handle(method, target, &body);
                    let head = format!(
                        "HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n",
                        answer.len()
                    );
                    if out
                        .write_all(head.as_bytes())
                        .and_then(|()| out.write_all(&answer))
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}
