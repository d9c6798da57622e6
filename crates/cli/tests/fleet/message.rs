//! HTTP requests and responses, read from and written to a connection.

use super::TIMEOUT;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A request that a backend server received, or a response that a caller received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Message {
    /// Request line or status line.
    pub(crate) start_line: String,
    /// Header names are in lower case.
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
    /// Whether the message is complete according to its framing.
    pub(crate) complete: bool,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        let word = self.start_line.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether a request is a caller's: gateways pass these on with the time that is left. Calls to
    /// engines and health checks have none.
    pub(crate) fn is_callers(&self) -> bool {
        self.headers.contains_key(bn_platform::header::DEADLINE)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the connection closes before its first byte.
pub(super) fn read_message(reader: &mut impl BufRead, is_request: bool) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok()?;
    if message.start_line.is_empty() {
        return None;
    }
    message.start_line = message.start_line.trim().into();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        message.headers.insert(name, value.trim().into());
    }
    let length = message.header("content-length").parse::<usize>().ok();
    if message.header("transfer-encoding") == "chunked" {
        message.complete = read_chunks(reader, &mut message.body);
    } else if let Some(length) = length {
        let read = reader.take(length as u64).read_to_end(&mut message.body);
        message.complete = read.is_ok_and(|n| n == length);
    } else {
        message.complete = is_request || reader.read_to_end(&mut message.body).is_ok();
    }
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line);
        let size = usize::from_str_radix(line.trim(), 16);
        let (Ok(1..), Ok(size)) = (read, size) else {
            return false;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends one request on its own connection and reads the response.
pub(crate) fn call(address: SocketAddr, head: &str, body: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let length = body.len();
    let text = format!("{head}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), false)
}

/// The request line and headers of a caller's request, without the final line break.
pub(crate) fn request_head(method: &str, path: &str, id: &str, key: &str) -> String {
    let (attempt, deadline) = (bn_platform::header::ATTEMPT, bn_platform::header::DEADLINE);
    format!(
        "{method} {path} HTTP/1.1\r\nhost: front.example\r\n{attempt}: {id}\r\n\
         {deadline}: 2000\r\nauthorization: Bearer {key}"
    )
}
