//! Scripted responses of the backend servers in tests.

use super::Message;
use bn_platform::header::{ATTEMPT, SIGNATURE};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

pub(crate) fn response_head(request: &Message, status: &str, headers: &str) -> String {
    let id = request.header(ATTEMPT);
    format!("HTTP/1.1 {status}\r\n{ATTEMPT}: {id}\r\n{headers}")
}

pub(crate) fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

pub(crate) fn succeed(request: &Message, stream: &mut TcpStream) -> bool {
    let head = response_head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\ncontent-length: 5\r\n"),
    );
    write_text(stream, &format!("{head}\r\nwhole"))
}

pub(crate) fn succeed_slowly(request: &Message, stream: &mut TcpStream) -> bool {
    thread::sleep(Duration::from_millis(700));
    succeed(request, stream)
}
