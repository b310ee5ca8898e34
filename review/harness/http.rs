//! Small HTTP/1.1 client and server over blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Result, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    /// Returns the value of a name in the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value)
    }
}

/// Status, further header lines and body of an answer.
pub struct Answer {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

/// Serves requests on a listener, one thread a connection, until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(&Request) -> Answer + Send + Sync + 'static) {
    serve_over(listener, None, handler);
}

/// Serves requests as [`serve`] does. Each connection carries at most this many bytes a second.
pub fn serve_over(
    listener: TcpListener,
    link: Option<usize>,
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                // An error ends the connection, as does its peer.
                let _ = serve_connection(stream, link, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    link: Option<usize>,
    handler: &dyn Fn(&Request) -> Answer,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let length = read_headers(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let answer = handler(&Request {
            method,
            path: path.into(),
            query: query.into(),
            body: String::from_utf8_lossy(&body).into_owned(),
        });
        let text = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}",
            answer.status,
            answer.body.len(),
            answer.headers,
            answer.body
        );
        let Some(bytes_per_s) = link else {
            writer.write_all(text.as_bytes())?;
            continue;
        };
        let started = Instant::now();
        let mut sent = 0;
        for chunk in text.as_bytes().chunks(4_096) {
            writer.write_all(chunk)?;
            sent += chunk.len();
            let due = Duration::from_secs_f64(sent as f64 / bytes_per_s as f64);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
}

/// Reads header lines up to the empty one and returns the length of the body.
fn read_headers(reader: &mut impl BufRead) -> Result<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(length);
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
}

/// Sends one request on a connection of its own and returns the status, or 0 without an answer
/// within a second.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> Result<u16> {
        let timeout = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&to.into(), timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: \
             application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).unwrap_or_default();
        Ok(status.parse().unwrap_or(0))
    };
    exchange().unwrap_or(0)
}
