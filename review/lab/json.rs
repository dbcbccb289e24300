//! A reader of JSON.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Parses a document; none if it is not JSON.
pub fn parse(text: &[u8]) -> Option<Json> {
    let text: Vec<char> = std::str::from_utf8(text).ok()?.chars().collect();
    let mut at = 0;
    let value = value(&text, &mut at)?;
    skip(&text, &mut at);
    (at == text.len()).then_some(value)
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|one| one.is_whitespace()) {
        *at += 1;
    }
}

fn eat(text: &[char], at: &mut usize, one: char) -> bool {
    skip(text, at);
    let found = text.get(*at) == Some(&one);
    *at += usize::from(found);
    found
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            while !eat(text, at, '}') {
                if !fields.is_empty() && !eat(text, at, ',') {
                    return None;
                }
                skip(text, at);
                let name = string(text, at)?;
                if !eat(text, at, ':') {
                    return None;
                }
                fields.push((name, value(text, at)?));
            }
            Some(Json::Map(fields))
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            while !eat(text, at, ']') {
                if !items.is_empty() && !eat(text, at, ',') {
                    return None;
                }
                items.push(value(text, at)?);
            }
            Some(Json::List(items))
        }
        '"' => string(text, at).map(Json::Text),
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|one| one.is_alphanumeric() || "+-.".contains(*one)) {
                *at += 1;
            }
            let word: String = text[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    if text.get(*at) != Some(&'"') {
        return None;
    }
    *at += 1;
    let mut found = String::new();
    loop {
        let one = *text.get(*at)?;
        *at += 1;
        match one {
            '"' => return Some(found),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => found.push('\n'),
                    't' => found.push('\t'),
                    'r' => found.push('\r'),
                    'b' => found.push('\u{8}'),
                    'f' => found.push('\u{c}'),
                    'u' => {
                        let hex: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&hex, 16).ok()?;
                        found.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => found.push(other),
                }
            }
            other => found.push(other),
        }
    }
}
