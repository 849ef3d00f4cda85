//! A toy for trying the router: one model node that answers with the words it was given, in the chat
//! dialect, and a node list that names it. See the README for the commands.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const NODE: &str = "127.0.0.1:5001";
const LIST: &str = "127.0.0.1:8500";
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: ";

fn main() -> std::io::Result<()> {
    let (node, list) = (TcpListener::bind(NODE)?, TcpListener::bind(LIST)?);
    println!("a model node on {NODE}, the node list on {LIST}");
    thread::spawn(move || each(list, watch));
    each(node, answers);
    Ok(())
}

fn each(listener: TcpListener, serve: fn(TcpStream) -> std::io::Result<()>) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve(stream));
    }
}

/// Reads one message; gives its body, or nothing at the end of the connection.
fn message(from: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
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
    from.read_exact(&mut body)?;
    Ok(Some(body))
}

fn chunk(to: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(to, "{:x}\r\n{text}\r\n", text.len())
}

/// The whole list, then a sign of life every 2 s.
fn watch(mut stream: TcpStream) -> std::io::Result<()> {
    message(&mut BufReader::new(stream.try_clone()?))?;
    write!(stream, "{HEAD}application/json\r\n\r\n")?;
    let row = format!(r#"{{"id":"s-toy","addr":"{NODE}","state":"active","started_ms":0}}"#);
    chunk(&mut stream, &format!("{{\"version\":1,\"full\":true,\"servers\":[{row}]}}\n"))?;
    loop {
        thread::sleep(Duration::from_secs(2));
        chunk(&mut stream, "\n")?;
    }
}

/// Says the last message again, a word at a time.
fn answers(mut stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(body) = message(&mut reader)? {
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let last = body["messages"].as_array().and_then(|m| m.last());
        let words = last.and_then(|m| m["content"].as_str()).unwrap_or("nothing").to_string();
        write!(stream, "{HEAD}text/event-stream\r\n\r\n")?;
        for word in words.split_inclusive(' ') {
            thread::sleep(Duration::from_millis(60));
            let delta = serde_json::json!({"choices": [{"index": 0, "delta": {"content": word}}]});
            chunk(&mut stream, &format!("data: {delta}\n\n"))?;
        }
        chunk(
            &mut stream,
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
        )?;
        chunk(&mut stream, "data: [DONE]\n\n")?;
        write!(stream, "0\r\n\r\n")?;
    }
    Ok(())
}
