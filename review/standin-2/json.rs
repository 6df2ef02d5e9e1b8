//! A small JSON reader and writer. Numbers keep their text, so that large integers lose nothing.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            position: 0,
        };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                let field = fields.iter().find(|(key, _)| key == name);
                field.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Number(number.to_string())
    }
}

/// Builds an object from fields.
pub fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(
        fields
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (position, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if position > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (position, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if position > 0 { "," } else { "" })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(f, "\\u{:04x}", letter as u32)?,
            letter => write!(f, "{letter}")?,
        }
    }
    f.write_str("\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self
            .bytes
            .get(self.position)
            .is_some_and(u8::is_ascii_whitespace)
        {
            self.position += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.position) == Some(&byte);
        self.position += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.position)? {
            b'{' => {
                self.position += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    self.take(b',');
                    self.skip_space();
                    let key = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                }
                Some(Json::Object(fields))
            }
            b'[' => {
                self.position += 1;
                let mut items = Vec::new();
                while !self.take(b']') {
                    self.take(b',');
                    items.push(self.value()?);
                }
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.position;
                while self
                    .bytes
                    .get(self.position)
                    .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte))
                {
                    self.position += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
                Some(match word {
                    "" => return None,
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => Json::Number(number.to_owned()),
                })
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.position)?;
                    self.position += 1;
                    let letter = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code).unwrap_or('\u{fffd}')
                        }
                        other => char::from(other),
                    };
                    let mut buffer = [0; 4];
                    bytes.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}
