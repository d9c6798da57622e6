//! Requests and answers as they stand on the wire.

use super::WITHIN;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A request as a backend server got it, or an answer as a caller got it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Message {
    /// Request line or status line.
    pub(crate) first: String,
    /// Names in lower case.
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
    /// The framing says that it is complete.
    pub(crate) whole: bool,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; none where the connection ends before one begins.
pub(super) fn read_message(reader: &mut impl BufRead, request: bool) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.first).ok()?;
    if message.first.is_empty() {
        return None;
    }
    message.first = message.first.trim().into();
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
        message.whole = read_chunks(reader, &mut message.body);
    } else if let Some(length) = length {
        let taken = reader.take(length as u64).read_to_end(&mut message.body);
        message.whole = taken.is_ok_and(|n| n == length);
    } else {
        message.whole = request || reader.read_to_end(&mut message.body).is_ok();
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

/// One call on a connection of its own.
pub(crate) fn call(at: SocketAddr, head: &str, body: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(WITHIN)).ok()?;
    let length = body.len();
    let text = format!("{head}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), false)
}

/// The head of a caller's request.
pub(crate) fn request(method: &str, path: &str, id: &str, key: &str) -> String {
    let (attempt, deadline) = (bn_platform::header::ATTEMPT, bn_platform::header::DEADLINE);
    format!(
        "{method} {path} HTTP/1.1\r\nhost: front.example\r\n{attempt}: {id}\r\n\
         {deadline}: 2000\r\nauthorization: Bearer {key}"
    )
}
