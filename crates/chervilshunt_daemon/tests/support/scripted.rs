//! A plain service that answers any call with the same bytes, and ends its connections in any way.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;

/// Time between the last bytes and a reset, so that it doesn't overtake them.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// A service that is gone when this is dropped.
#[derive(Debug)]
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl Scripted {
    /// Starts a service that sends `answer` to each call and closes the connection, with a reset if
    /// `resets`.
    pub(crate) async fn start(answer: String, resets: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer.clone(), resets));
            }
        });
        Self {
            address,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

async fn serve(mut stream: TcpStream, answer: String, resets: bool) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    drop(stream.write_all(answer.as_bytes()).await);
    if resets {
        tokio::time::sleep(RESET_DELAY).await;
        stream.set_zero_linger().expect("an option");
    }
}
