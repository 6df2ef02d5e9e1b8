//! HTTP/1.1 over blocking sockets: requests as a server reads them, responses as a caller reads them.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpStream;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// First line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Next chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = line.split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((size > 0).then_some(data))
}

pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = header(headers, "content-length") {
        body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
