//! A small JSON reader: enough for the calls that instances make to the platform's store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a value; `None` if the text is not JSON.
    pub fn read(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut reader = Reader { chars, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// Writes the value.
    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(it) => it.to_string(),
            Json::Number(it) => it.clone(),
            Json::Text(it) => quote(it),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields = fields.iter();
                let fields: Vec<String> = fields
                    .map(|(name, it)| format!("{}:{}", quote(name), it.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            it if (it as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", it as u32)),
            it => out.push(it),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|it| it.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: char) -> Option<()> {
        self.skip_space();
        (self.chars.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for it in word.chars() {
            (self.chars.get(self.at) == Some(&it)).then(|| self.at += 1)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.chars.get(self.at)? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => {
                let begin = self.at;
                while self
                    .chars
                    .get(self.at)
                    .is_some_and(|it| it.is_ascii_digit() || "+-.eE".contains(*it))
                {
                    self.at += 1;
                }
                (self.at > begin).then(|| Json::Number(self.chars[begin..self.at].iter().collect()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut out = String::new();
        loop {
            let it = *self.chars.get(self.at)?;
            self.at += 1;
            match it {
                '"' => return Some(out),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let digits: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            out.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        }
                        it => out.push(it),
                    }
                }
                it => out.push(it),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut items = Vec::new();
        if self.take(']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(',').is_none() {
                self.take(']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        if self.take('}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            if self.take(',').is_none() {
                self.take('}')?;
                return Some(Json::Object(fields));
            }
        }
    }
}
