//! A client connection with a small receive buffer, as a slow link has one.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    #[link_name = "connect"]
    fn raw_connect(fd: i32, address: *const u8, len: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Connects over IPv4 with a receive buffer of about `bytes`.
pub fn connect(address: SocketAddr, bytes: i32) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    let mut raw = [0_u8; 16];
    raw[0..2].copy_from_slice(&2_u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: plain system calls on a descriptor that this function owns.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        // Ethernet's segments instead of those of the loopback device, which have 64 KB each.
        let segment = 1448_i32;
        // SOL_SOCKET with SO_RCVBUF, and IPPROTO_TCP with TCP_MAXSEG, of Linux.
        if setsockopt(fd, 1, 8, &raw const bytes, 4) != 0
            || setsockopt(fd, 6, 2, &raw const segment, 4) != 0
            || raw_connect(fd, raw.as_ptr(), 16) != 0
        {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

pub fn signal(pid: u32, signal: i32) {
    // SAFETY: a signal to a process that this program started.
    unsafe {
        kill(pid as i32, signal);
    }
}
