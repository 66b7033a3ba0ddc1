//! A stand-in for a replica, as a process of its own.
//!
//! It prints a line for each request that it runs: `run ID from EVENT`, and `ran ID pieces N whole|cut` at its end.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head, write_answer};

/// How the end of an answer is marked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

struct Replica {
    id: String,
    software: String,
    born: u128,
    /// The base model that it holds, if it is an engine.
    model: Option<String>,
    framing: Framing,
    /// Pieces of an answer, and the time between two.
    pieces: usize,
    gap: Duration,
    /// Size of a piece that is no event, in bytes.
    piece_bytes: usize,
    is_stream: bool,
    /// Whether it states its start. On the sites of the first pages replicas don't.
    states_start: bool,
    is_leaving: AtomicBool,
    active: AtomicUsize,
    /// For how many milliseconds it falls silent after its next answer.
    falls_silent_ms: AtomicU64,
    /// Until when it does nothing.
    silent_until: Mutex<Option<Instant>>,
}

/// Runs a replica until its process is killed.
pub fn run(options: &BTreeMap<String, String>) -> Result<(), String> {
    let text = |name: &str| {
        options
            .get(name)
            .cloned()
            .ok_or(format!("--{name} is missing"))
    };
    let number = |name: &str, default: u64| match options.get(name) {
        Some(it) => it
            .parse::<u64>()
            .map_err(|_| format!("--{name} {it} is no number")),
        None => Ok(default),
    };
    let framing = match options.get("framing").map_or("length", String::as_str) {
        "length" => Framing::Length,
        "chunks" => Framing::Chunks,
        "connection" => Framing::Connection,
        other => return Err(format!("--framing {other} is unknown")),
    };
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let replica = Arc::new(Replica {
        id: text("id")?,
        software: options
            .get("software")
            .cloned()
            .unwrap_or_else(|| "v1".to_owned()),
        born,
        model: options.get("model").cloned(),
        framing,
        pieces: number("pieces", 1)? as usize,
        gap: Duration::from_millis(number("gap-ms", 0)?),
        piece_bytes: number("piece-bytes", 800)? as usize,
        is_stream: options.contains_key("stream"),
        states_start: !options.contains_key("no-born"),
        is_leaving: AtomicBool::new(false),
        active: AtomicUsize::new(0),
        falls_silent_ms: AtomicU64::new(0),
        silent_until: Mutex::default(),
    });
    let address = text("address")?;
    let listener =
        TcpListener::bind(&address).map_err(|it| format!("can't listen at {address}: {it}"))?;
    say(&format!("born {born}"));
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || drop(replica.serve(stream)));
    }
    Ok(())
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    drop(writeln!(out, "{line}").and_then(|()| out.flush()));
}

impl Replica {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head)?;
            self.wait_out_silence();
            let (_, target) = head.request_line();
            let expected = head.header("x-chervilshunt-expect-instance");
            if expected.is_some_and(|it| it != self.id) {
                write_answer(
                    &mut stream,
                    "421 Misdirected Request",
                    &self.headers(&head),
                    b"",
                )?;
                continue;
            }
            match target {
                "/health" if self.is_leaving.load(Ordering::SeqCst) => {
                    let headers = self.headers(&head);
                    write_answer(&mut stream, "503 Service Unavailable", &headers, b"")?;
                }
                "/health" => write_answer(&mut stream, "200 OK", &self.headers(&head), b"")?,
                "/report" => {
                    let report = self.report();
                    write_answer(
                        &mut stream,
                        "200 OK",
                        &self.headers(&head),
                        report.as_bytes(),
                    )?;
                }
                // The base model that it holds is all that it is ever ordered to load.
                "/order" => write_answer(&mut stream, "200 OK", &self.headers(&head), b"{}")?,
                // The driver of a case says that the replica has to leave.
                "/leave" => {
                    self.is_leaving.store(true, Ordering::SeqCst);
                    write_answer(&mut stream, "200 OK", &[], b"")?;
                }
                // The driver says for how long it falls silent after its next answer.
                target if target.starts_with("/silence/") => {
                    let time = target.rsplit('/').next().and_then(|it| it.parse().ok());
                    self.falls_silent_ms
                        .store(time.unwrap_or(0), Ordering::SeqCst);
                    write_answer(&mut stream, "200 OK", &[], b"")?;
                }
                _ => {
                    self.active.fetch_add(1, Ordering::SeqCst);
                    let ran = self.answer(&mut stream, &head);
                    self.active.fetch_sub(1, Ordering::SeqCst);
                    ran?;
                    self.fall_silent();
                    if self.framing == Framing::Connection {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Falls silent if that is due.
    fn fall_silent(&self) {
        let time = self.falls_silent_ms.swap(0, Ordering::SeqCst);
        if time > 0 {
            say(&format!("silent for {time} ms"));
            let until = Instant::now() + Duration::from_millis(time);
            *self
                .silent_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(until);
        }
    }

    fn wait_out_silence(&self) {
        let until = *self
            .silent_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(until) = until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn headers(&self, head: &Head) -> Vec<(&'static str, String)> {
        let mut headers = vec![("X-Chervilshunt-Instance-Id", self.id.clone())];
        if let Some(id) = head.header("x-chervilshunt-attempt-id") {
            headers.push(("X-Chervilshunt-Attempt-Id", id.to_owned()));
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        headers
    }

    fn report(&self) -> String {
        let models = self.model.as_ref();
        let models =
            models.map(|it| format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}"));
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{}],\"busy\":false,\"sequence\":0,\"queued\":0,\
             \"active\":{},\"kv_used\":0,\"kv_total\":154016,\"handles\":0{}}}",
            models.unwrap_or_default(),
            self.active.load(Ordering::SeqCst),
            if self.states_start {
                format!(",\"born\":{}", self.born)
            } else {
                String::new()
            }
        )
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head
            .header("x-chervilshunt-attempt-id")
            .unwrap_or("none")
            .to_owned();
        let from = head
            .header("last-event-id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        say(&format!("run {id} from {from}"));
        let mut out = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in self.headers(head) {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!(
            "X-Chervilshunt-Server-Seal: {}.{}.{id}\r\n",
            self.id, self.born
        ));
        let (_, target) = head.request_line();
        let asked = target
            .split_once("?bytes=")
            .and_then(|(_, it)| it.parse().ok());
        let bytes = asked.unwrap_or(self.piece_bytes);
        let pieces: Vec<Vec<u8>> = (from + 1..=self.pieces)
            .map(|it| self.piece(it, bytes))
            .collect();
        let length: usize = pieces.iter().map(Vec::len).sum();
        let kind = if self.is_stream {
            "text/event-stream"
        } else {
            "application/octet-stream"
        };
        out.push_str(&format!("Content-Type: {kind}\r\n"));
        match self.framing {
            Framing::Length => out.push_str(&format!("Content-Length: {length}\r\n")),
            Framing::Chunks => out.push_str("Transfer-Encoding: chunked\r\n"),
            Framing::Connection => out.push_str("Connection: close\r\n"),
        }
        out.push_str("\r\n");
        let sent = self.send(stream, out.as_bytes(), &pieces);
        let end = if sent.is_ok() { "whole" } else { "cut" };
        say(&format!("ran {id} pieces {} {end}", pieces.len()));
        sent
    }

    fn send(&self, stream: &mut TcpStream, head: &[u8], pieces: &[Vec<u8>]) -> io::Result<()> {
        stream.write_all(head)?;
        for piece in pieces {
            thread::sleep(self.gap);
            self.wait_out_silence();
            if self.framing == Framing::Chunks {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(piece);
                chunk.extend_from_slice(b"\r\n");
                stream.write_all(&chunk)?;
            } else {
                stream.write_all(piece)?;
            }
        }
        if self.framing == Framing::Chunks {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }

    /// Returns a piece of an answer: an event that names the replica and its software, or bytes.
    fn piece(&self, number: usize, bytes: usize) -> Vec<u8> {
        if self.is_stream {
            let (id, software) = (&self.id, &self.software);
            return format!("id: {number}\ndata: {software} {id} {number}\n\n").into_bytes();
        }
        vec![b'a' + (number % 26) as u8; bytes]
    }
}
