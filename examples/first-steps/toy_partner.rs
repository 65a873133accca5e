//! A toy partner for a first try: takes events at the address given, prints them, and goes wrong now and then so
//! that the instance has something to do. Start it with `cargo run --example toy_partner`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

static TURN: AtomicUsize = AtomicUsize::new(0);

fn main() -> std::io::Result<()> {
    let at = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:9100".to_owned());
    let listener = TcpListener::bind(&at)?;
    println!("toy partner at {at}: turns away every fourth event");
    for stream in listener.incoming() {
        let stream = stream?;
        thread::spawn(move || {
            if let Err(error) = serve(stream) {
                println!("a connection ended: {error}");
            }
        });
    }
    Ok(())
}

fn serve(stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let (mut length, mut key) = (0, String::from("no key"));
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "idempotency-key" => value.trim().clone_into(&mut key),
                    _ => {}
                }
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let turned_away = TURN.fetch_add(1, Ordering::Relaxed) % 4 == 3;
        let status = if turned_away {
            "503 Service Unavailable"
        } else {
            "200 OK"
        };
        println!("{status} to {} ({key})", String::from_utf8_lossy(&body));
        write!(writer, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")?;
    }
}
