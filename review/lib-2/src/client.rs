//! A client: sends one request on a connection of its own and reads the answer as it comes.

use std::io::{BufReader, Read as _, Write as _};
use std::net::{SocketAddrV4, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_chunk, read_head};
use crate::sys::connect_as_over_a_network;

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub deadline: Duration,
    pub headers: Vec<(String, String)>,
}

/// How fast a client reads.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    Full,
    /// This many bytes a second, with a small receive buffer.
    Slow(usize),
}

/// The answer as the client has got it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Head,
    pub body: Vec<u8>,
    /// Whether the answer has ended as its framing says.
    pub is_whole: bool,
    /// How the reading ended.
    pub end: String,
    /// Time from the first byte of the request to the end.
    pub took: Duration,
}

impl Answer {
    /// Returns the data of the events.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let data = text.lines().filter_map(|it| it.strip_prefix("data: "));
        data.map(str::to_owned).collect()
    }
}

/// Sends a request and reads its answer until it ends or the deadline has passed.
pub fn call(address: SocketAddrV4, request: &Request, pace: Pace) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let end = exchange(address, request, pace, &mut answer);
    answer.end = end
        .err()
        .map_or_else(|| "whole".to_owned(), |it| it.to_string());
    answer.is_whole = answer.end == "whole";
    answer.took = began.elapsed();
    answer
}

fn exchange(
    address: SocketAddrV4,
    request: &Request,
    pace: Pace,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut stream = match pace {
        Pace::Full => TcpStream::connect(address)?,
        Pace::Slow(_) => connect_as_over_a_network(address, 16 * 1024, 1_448)?,
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(request.deadline + Duration::from_millis(500)))?;
    let mut text = format!(
        "POST {} HTTP/1.1\r\nHost: callers.example\r\nX-Chervilshunt-Attempt-Id: {}\r\n\
         X-Chervilshunt-Deadline-Ms: {}\r\nContent-Length: 5\r\n",
        request.path,
        request.id,
        request.deadline.as_millis()
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\nasked");
    stream.write_all(text.as_bytes())?;
    let capacity = match pace {
        Pace::Full => 64 * 1024,
        Pace::Slow(_) => 1_024,
    };
    let mut reader = BufReader::with_capacity(capacity, stream);
    let head = read_head(&mut reader)?;
    let head = head.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
    answer.status = head.status();
    answer.headers = head.clone();
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend_from_slice(&chunk);
            rest(pace, chunk.len());
        }
        return Ok(());
    }
    let Some(length) = head
        .header("content-length")
        .and_then(|it| it.parse::<usize>().ok())
    else {
        reader.read_to_end(&mut answer.body)?;
        return Ok(());
    };
    let mut piece = [0; 1_024];
    while answer.body.len() < length {
        let most = piece.len().min(length - answer.body.len());
        let read = reader.read(&mut piece[..most])?;
        if read == 0 {
            return Err(std::io::Error::other("closed before the end of the body"));
        }
        answer.body.extend_from_slice(&piece[..read]);
        rest(pace, read);
    }
    Ok(())
}

fn rest(pace: Pace, bytes: usize) {
    if let Pace::Slow(per_second) = pace {
        thread::sleep(Duration::from_secs_f64(bytes as f64 / per_second as f64));
    }
}
