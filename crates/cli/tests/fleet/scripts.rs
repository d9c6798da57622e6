//! What backend servers of tests do with a request.

use super::Message;
use bn_platform::header::{ATTEMPT, SIGNATURE};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

pub(crate) fn head(request: &Message, status: &str, more: &str) -> String {
    let id = request.header(ATTEMPT);
    format!("HTTP/1.1 {status}\r\n{ATTEMPT}: {id}\r\n{more}")
}

pub(crate) fn say(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

pub(crate) fn good(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\ncontent-length: 5\r\n"),
    );
    say(stream, &format!("{head}\r\nwhole"))
}

pub(crate) fn slow(request: &Message, stream: &mut TcpStream) -> bool {
    thread::sleep(Duration::from_millis(700));
    good(request, stream)
}
