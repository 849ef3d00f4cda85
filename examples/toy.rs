//! A fake model server and endpoint list to try the router with. The server repeats the last message of a chat request. The
//! README has the commands.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const REPLICA_ADDRESS: &str = "127.0.0.1:5001";
const LIST_ADDRESS: &str = "127.0.0.1:8500";
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: ";

fn main() -> std::io::Result<()> {
    let (replica, list) = (TcpListener::bind(REPLICA_ADDRESS)?, TcpListener::bind(LIST_ADDRESS)?);
    println!("fake model server on {REPLICA_ADDRESS}, endpoint list on {LIST_ADDRESS}");
    thread::spawn(move || serve_connections(list, serve_watch));
    serve_connections(replica, serve_chat);
    Ok(())
}

/// Serves each connection in a thread of its own.
fn serve_connections(listener: TcpListener, serve: fn(TcpStream) -> std::io::Result<()>) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve(stream));
    }
}

/// Reads one HTTP message and returns its body, or `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().to_ascii_lowercase().split_once(": ") {
            Some(("content-length", n)) => length = n.parse().unwrap_or(0),
            Some(_) => {}
            None if line.trim().is_empty() => break,
            None => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

/// Writes one chunk of a chunked body.
fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

/// Answers a watch of the endpoint list: the full list, then an empty line every 2 s as a heartbeat.
fn serve_watch(mut stream: TcpStream) -> std::io::Result<()> {
    read_message(&mut BufReader::new(stream.try_clone()?))?;
    write!(stream, "{RESPONSE_HEAD}application/json\r\n\r\n")?;
    let entry = format!(r#"{{"id":"s-toy","addr":"{REPLICA_ADDRESS}","state":"active","started_ms":0}}"#);
    write_chunk(&mut stream, &format!("{{\"version\":1,\"full\":true,\"servers\":[{entry}]}}\n"))?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write_chunk(&mut stream, "\n")?;
    }
}

/// Answers chat requests with the words of their last message, one every 60 ms.
fn serve_chat(mut stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(body) = read_message(&mut reader)? {
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let last_message = body["messages"].as_array().and_then(|messages| messages.last());
        let text =
            last_message.and_then(|message| message["content"].as_str()).unwrap_or("nothing").to_string();
        write!(stream, "{RESPONSE_HEAD}text/event-stream\r\n\r\n")?;
        for word in text.split_inclusive(' ') {
            thread::sleep(Duration::from_millis(60));
            let delta = serde_json::json!({"choices": [{"index": 0, "delta": {"content": word}}]});
            write_chunk(&mut stream, &format!("data: {delta}\n\n"))?;
        }
        write_chunk(
            &mut stream,
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
        )?;
        write_chunk(&mut stream, "data: [DONE]\n\n")?;
        write!(stream, "0\r\n\r\n")?;
    }
    Ok(())
}
