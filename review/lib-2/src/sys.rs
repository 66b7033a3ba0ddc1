//! Calls of the system that the standard library lacks: signals, and options of a socket before it connects.

use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd as _;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// The signal that asks a process to end.
pub const SIGTERM: i32 = 15;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

/// Sends a signal to a process that this one has started.
pub fn signal(pid: u32, signal: i32) -> io::Result<()> {
    let pid = i32::try_from(pid).map_err(io::Error::other)?;
    // SAFETY: `kill` takes two numbers and touches no memory of this process.
    if unsafe { kill(pid, signal) } == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Connects with a small receive buffer and the segment size of an ordinary network, in place of the 64 KB of the
/// loopback interface.
pub fn connect_as_over_a_network(
    address: SocketAddrV4,
    receive_buffer: i32,
    segment: i32,
) -> io::Result<TcpStream> {
    // SAFETY: the descriptor is new and owned by nobody else; the pointers are to values that outlive the calls.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let failed = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, 4) != 0
            || setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4) != 0;
        let to = SockAddrIn {
            family: AF_INET as u16,
            port: address.port().to_be_bytes(),
            address: address.ip().octets(),
            zero: [0; 8],
        };
        if failed || connect(fd, &to, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
