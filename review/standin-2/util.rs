//! Small parts that all stand-ins share: JSON, base64, HTTP/1.1, time, the record of a run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- time and record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn open_record(path: &str) {
    let file = File::create(path).unwrap_or_else(|error| {
        eprintln!("cannot write {path}: {error}");
        std::process::exit(2);
    });
    let _ = RECORD.set(Mutex::new(file));
    now_ms();
}

/// Writes one line, with the time, to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {line}", now_ms());
        let _ = file.flush();
    }
}

#[macro_export]
macro_rules! note {
    ($($arg:tt)*) => { $crate::util::record(&format!($($arg)*)) };
}

/// A small generator of pseudo-random numbers, seeded by the time of day.
pub fn random(below: u64) -> u64 {
    static STATE: Mutex<u64> = Mutex::new(0);
    let mut state = STATE.lock().unwrap();
    if *state == 0 {
        *state = unix_ms() | 1;
    }
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state % below.max(1)
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&NULL),
            _ => &NULL,
        }
    }
    pub fn text(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }
    pub fn number(&self) -> Option<u64> {
        if let Json::Num(number) = self { Some(*number as u64) } else { None }
    }
    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                let Json::Str(key) = parse_value(bytes, at)? else { return None };
                skip(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                map.insert(key, parse_value(bytes, at)?);
                skip(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
                skip(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        *at += 1;
                        match *bytes.get(*at)? {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let mut buffer = [0; 4];
                                let c = char::from_u32(code).unwrap_or('?');
                                text.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                                *at += 4;
                            }
                            other => text.push(other),
                        }
                        *at += 1;
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|b| b"+-0123456789.eE".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            c if (c as u32) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", c as u32);
            }
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

// ---------------------------------------------------------------- base64

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                text.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == c) else { continue };
        n = (n << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP/1.1

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(percent_decode(pair))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 0 {
            if let Ok(byte) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                decoded.push(byte);
                i += 3;
                continue;
            }
        }
        decoded.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Reads the first line and the headers; `None` at the end of the channel.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request; `None` at the end of the channel.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length = find_header(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

/// Writes a whole response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How an exchange ended for a caller.
pub struct Reply {
    /// Status; 0 without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole: its length, or the last chunk.
    pub is_whole: bool,
}

/// A kept channel of a caller.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads the answer; calls `arrived` with the body at each part of it.
    pub fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        mut arrived: impl FnMut(&[u8]),
    ) -> Reply {
        let mut reply = Reply { status: 0, headers: Vec::new(), body: Vec::new(), is_whole: false };
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        if self.reader.get_mut().write_all(&bytes).is_err() {
            return reply;
        }
        let Some((first, headers)) = read_head(&mut self.reader) else { return reply };
        reply.status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        reply.headers = headers;
        let is_chunked = find_header(&reply.headers, "transfer-encoding").is_some();
        let length = find_header(&reply.headers, "content-length").and_then(|l| l.parse().ok());
        if let Some(length) = length {
            reply.body = vec![0; length];
            reply.is_whole = self.reader.read_exact(&mut reply.body).is_ok();
            arrived(&reply.body);
        } else if is_chunked {
            loop {
                let mut line = String::new();
                if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return reply;
                }
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return reply };
                let mut part = vec![0; size + 2];
                if self.reader.read_exact(&mut part).is_err() {
                    return reply;
                }
                if size == 0 {
                    reply.is_whole = true;
                    return reply;
                }
                reply.body.extend_from_slice(&part[..size]);
                arrived(&reply.body);
            }
        }
        reply
    }
}
