//! Minimal JSON reader and string writer for the stand-ins.

use std::{collections::BTreeMap, iter::Peekable, str::Chars};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; returns `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut chars = text.chars().peekable();
        let value = value(&mut chars)?;
        skip_space(&mut chars);
        chars.next().is_none().then_some(value)
    }

    /// Returns the member of a table, or null.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    /// Returns the text of a string.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Encodes the value.
    pub fn encode(&self) -> String {
        match self {
            Self::Null => "null".into(),
            Self::Bool(value) => value.to_string(),
            Self::Number(value) => value.to_string(),
            Self::Text(text) => quote(text),
            Self::List(list) => {
                let items: Vec<String> = list.iter().map(Self::encode).collect();
                format!("[{}]", items.join(","))
            }
            Self::Table(table) => {
                let items: Vec<String> = table
                    .iter()
                    .map(|(name, value)| format!("{}:{}", quote(name), value.encode()))
                    .collect();
                format!("{{{}}}", items.join(","))
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            char => quoted.push(char),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(chars: &mut Peekable<Chars<'_>>) {
    while chars.next_if(|char| char.is_whitespace()).is_some() {}
}

fn value(chars: &mut Peekable<Chars<'_>>) -> Option<Json> {
    skip_space(chars);
    match *chars.peek()? {
        '{' => {
            chars.next();
            let mut table = BTreeMap::new();
            loop {
                skip_space(chars);
                if chars.next_if_eq(&'}').is_some() {
                    return Some(Json::Table(table));
                }
                if !table.is_empty() {
                    chars.next_if_eq(&',')?;
                    skip_space(chars);
                }
                let name = string(chars)?;
                skip_space(chars);
                chars.next_if_eq(&':')?;
                table.insert(name, value(chars)?);
            }
        }
        '[' => {
            chars.next();
            let mut list = Vec::new();
            loop {
                skip_space(chars);
                if chars.next_if_eq(&']').is_some() {
                    return Some(Json::List(list));
                }
                if !list.is_empty() {
                    chars.next_if_eq(&',')?;
                }
                list.push(value(chars)?);
            }
        }
        '"' => string(chars).map(Json::Text),
        _ => {
            let mut word = String::new();
            while let Some(char) = chars.next_if(|char| !",]} \t\r\n".contains(*char)) {
                word.push(char);
            }
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(chars: &mut Peekable<Chars<'_>>) -> Option<String> {
    chars.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let digits: String = chars.by_ref().take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                char => text.push(char),
            },
            char => text.push(char),
        }
    }
}
