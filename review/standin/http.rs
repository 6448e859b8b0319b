//! HTTP/1.1 over std sockets: a thread for each connection, one request at a time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or(String::new(), |(_, value)| value.to_owned())
    }
}

fn read_headers(
    reader: &mut impl BufRead,
) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request whose body has a length; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let Some((first, headers)) = read_headers(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut head = Head {
        path: words.nth(1).unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = head.header("content-length").parse().unwrap_or(0);
    head.body = vec![0; length];
    reader.read_exact(&mut head.body)?;
    Ok(Some(head))
}

/// A server that can be ended like a process: its port and all its connections close.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Serves one request on a connection; returns whether the connection stays open.
pub type Handler = dyn Fn(&Head, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

impl Server {
    pub fn start(handler: Arc<Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let ended = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_ended, connections) = (Arc::clone(&ended), Arc::clone(&open));
        std::thread::spawn(move || {
            while !is_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    connections.lock().unwrap().push(kept);
                }
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || {
                    let _ = serve(stream, &*handler);
                });
            }
        });
        Ok(Self {
            address,
            ended,
            open,
        })
    }

    /// Ends the server: it accepts nothing any more and closes all its connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_request(&mut reader)? {
        if !handler(&head, &mut stream)? {
            break;
        }
    }
    stream.shutdown(Shutdown::Both)
}

pub fn reply(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

/// Head of an answer, and the reader that its body is read from.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    reader: BufReader<TcpStream>,
    left: Option<usize>,
    is_chunked: bool,
    is_over: bool,
}

/// How a read of a body ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// The body broke off.
    Broken(String),
}

/// Sends a request on a new connection and waits for the head of its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
    receive_buffer: Option<i32>,
) -> std::io::Result<Answer> {
    let mut stream = match receive_buffer {
        None => TcpStream::connect_timeout(&address, Duration::from_secs(1))?,
        Some(bytes) => crate::socket::connect(address, bytes)?,
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    read_answer(stream)
}

/// Sends a request whose body arrives at a given rate, and waits for the head of its answer.
pub fn send_slowly(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body_bytes: usize,
    bytes_per_s: f64,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut text = format!("POST {path} HTTP/1.1\r\nContent-Length: {body_bytes}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())?;
    let began = Instant::now();
    let part = vec![b'x'; 32 << 10];
    let mut sent = 0;
    while sent < body_bytes {
        let length = part.len().min(body_bytes - sent);
        stream.write_all(&part[..length])?;
        sent += length;
        let due = Duration::from_secs_f64(sent as f64 / bytes_per_s);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
    read_answer(stream)
}

/// Sends a request on a kept connection and waits for the head of its answer.
pub fn send_again(
    mut connection: BufReader<TcpStream>,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<Answer> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    connection.get_mut().write_all(text.as_bytes())?;
    connection.get_mut().write_all(body)?;
    read_answer_from(connection)
}

fn read_answer(stream: TcpStream) -> std::io::Result<Answer> {
    read_answer_from(BufReader::new(stream))
}

fn read_answer_from(mut reader: BufReader<TcpStream>) -> std::io::Result<Answer> {
    let Some((first, headers)) = read_headers(&mut reader)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let find = |name: &str| {
        headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, v)| v.clone())
    };
    let is_chunked = find("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let left = find("content-length").and_then(|value| value.parse().ok());
    Ok(Answer {
        status: status.unwrap_or(0),
        headers,
        reader,
        left,
        is_chunked,
        is_over: false,
    })
}

impl Answer {
    /// Returns the connection, which can carry another request once the body is whole.
    pub fn into_connection(self) -> BufReader<TcpStream> {
        self.reader
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Reads the next part of the body.
    pub fn next(&mut self) -> Part {
        if self.is_over {
            return Part::End;
        }
        match self.read() {
            Ok(part) => part,
            Err(error) => Part::Broken(error.to_string()),
        }
    }

    fn read(&mut self) -> std::io::Result<Part> {
        if self.is_chunked {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Ok(Part::Broken("closed between chunks".into()));
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(Part::Broken(format!("no chunk size: {line:?}")));
            };
            let mut data = vec![0; size + 2];
            self.reader.read_exact(&mut data)?;
            data.truncate(size);
            if size == 0 {
                self.is_over = true;
                return Ok(Part::End);
            }
            return Ok(Part::Data(data));
        }
        let wanted = self.left.unwrap_or(64 << 10).min(64 << 10);
        if wanted == 0 {
            self.is_over = true;
            return Ok(Part::End);
        }
        let mut data = vec![0; wanted];
        let read = self.reader.read(&mut data)?;
        if read == 0 {
            return Ok(match self.left {
                None => Part::End,
                Some(left) => Part::Broken(format!("closed, {left} bytes of the body are missing")),
            });
        }
        data.truncate(read);
        if let Some(left) = &mut self.left {
            *left -= read;
        }
        Ok(Part::Data(data))
    }
}
