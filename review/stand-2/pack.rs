//! MessagePack, as far as the protocols use it, and its display as JSON.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

impl From<&str> for V {
    fn from(s: &str) -> V {
        V::Text(s.into())
    }
}
impl From<String> for V {
    fn from(s: String) -> V {
        V::Text(s)
    }
}
impl From<f64> for V {
    fn from(n: f64) -> V {
        V::Float(n)
    }
}
impl From<i32> for V {
    fn from(n: i32) -> V {
        V::Int(n.into())
    }
}
impl From<bool> for V {
    fn from(b: bool) -> V {
        V::Bool(b)
    }
}
impl From<Vec<V>> for V {
    fn from(l: Vec<V>) -> V {
        V::List(l)
    }
}

/// A map of these fields.
pub fn map(fields: &[(&str, V)]) -> V {
    V::Map(
        fields
            .iter()
            .map(|(k, v)| (k.to_string(), v.clone()))
            .collect(),
    )
}

impl V {
    pub fn get(&self, name: &str) -> Option<&V> {
        match self {
            V::Map(fields) => fields.iter().find(|(k, _)| k == name).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self) -> Option<&str> {
        match self {
            V::Text(s) => Some(s),
            _ => None,
        }
    }
    pub fn int(&self) -> Option<i128> {
        match self {
            V::Int(n) => Some(*n),
            _ => None,
        }
    }
    pub fn list(&self) -> &[V] {
        match self {
            V::List(l) => l,
            _ => &[],
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            V::Int(n) if (0..128).contains(n) => out.push(*n as u8),
            V::Int(n) if (0..256).contains(n) => out.extend([0xcc, *n as u8]),
            V::Int(n) if (0..65_536).contains(n) => {
                out.push(0xcd);
                out.extend((*n as u16).to_be_bytes());
            }
            V::Int(n) if *n >= 0 => {
                out.push(0xcf);
                out.extend((*n as u64).to_be_bytes());
            }
            V::Int(n) => {
                out.push(0xd3);
                out.extend((*n as i64).to_be_bytes());
            }
            V::Float(f) => {
                out.push(0xcb);
                out.extend(f.to_be_bytes());
            }
            V::Text(s) => {
                length(out, s.len(), (0xa0, 31), 0xda, 0xdb);
                out.extend(s.as_bytes());
            }
            V::List(l) => {
                length(out, l.len(), (0x90, 15), 0xdc, 0xdd);
                l.iter().for_each(|v| v.write(out));
            }
            V::Map(m) => {
                length(out, m.len(), (0x80, 15), 0xde, 0xdf);
                for (k, v) in m {
                    V::Text(k.clone()).write(out);
                    v.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        read(bytes, &mut at)
    }
}

/// The shortest form of a length: within the first byte, two bytes or four.
fn length(out: &mut Vec<u8>, n: usize, (first, most): (u8, usize), two: u8, four: u8) {
    if n <= most {
        out.push(first | n as u8);
    } else if n < 65_536 {
        out.push(two);
        out.extend((n as u16).to_be_bytes());
    } else {
        out.push(four);
        out.extend((n as u32).to_be_bytes());
    }
}

fn take<'b>(b: &'b [u8], at: &mut usize, n: usize) -> Option<&'b [u8]> {
    let part = b.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(part)
}

fn number(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(
        take(b, at, n)?
            .iter()
            .fold(0, |a, x| a << 8 | u64::from(*x)),
    )
}

fn read(b: &[u8], at: &mut usize) -> Option<V> {
    let first = number(b, at, 1)? as u8;
    Some(match first {
        0..=0x7f => V::Int(first.into()),
        0xe0..=0xff => V::Int((first as i8).into()),
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::Float(f32::from_bits(number(b, at, 4)? as u32).into()),
        0xcb => V::Float(f64::from_bits(number(b, at, 8)?)),
        0xcc..=0xcf => V::Int(number(b, at, 1 << (first - 0xcc))?.into()),
        0xd0 => V::Int((number(b, at, 1)? as i8).into()),
        0xd1 => V::Int((number(b, at, 2)? as i16).into()),
        0xd2 => V::Int((number(b, at, 4)? as i32).into()),
        0xd3 => V::Int((number(b, at, 8)? as i64).into()),
        0xa0..=0xbf => text(b, at, usize::from(first & 0x1f))?,
        0xd9..=0xdb => {
            let n = number(b, at, 1 << (first - 0xd9))? as usize;
            text(b, at, n)?
        }
        0x90..=0x9f => list(b, at, usize::from(first & 0x0f))?,
        0xdc | 0xdd => {
            let n = number(b, at, if first == 0xdc { 2 } else { 4 })? as usize;
            list(b, at, n)?
        }
        0x80..=0x8f => fields(b, at, usize::from(first & 0x0f))?,
        0xde | 0xdf => {
            let n = number(b, at, if first == 0xde { 2 } else { 4 })? as usize;
            fields(b, at, n)?
        }
        _ => return None,
    })
}

fn text(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let s = std::str::from_utf8(take(b, at, n)?).ok()?;
    Some(V::Text(s.into()))
}

fn list(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    (0..n)
        .map(|_| read(b, at))
        .collect::<Option<Vec<V>>>()
        .map(V::List)
}

fn fields(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut out = Vec::new();
    for _ in 0..n {
        let V::Text(k) = read(b, at)? else {
            return None;
        };
        out.push((k, read(b, at)?));
    }
    Some(V::Map(out))
}

fn quoted(s: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("\"")?;
    for c in s.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

impl fmt::Display for V {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            V::Nil => f.write_str("null"),
            V::Bool(b) => write!(f, "{b}"),
            V::Int(n) => write!(f, "{n}"),
            V::Float(n) => write!(f, "{n:?}"),
            V::Text(s) => quoted(s, f),
            V::List(l) => {
                f.write_str("[")?;
                for (i, v) in l.iter().enumerate() {
                    write!(f, "{}{v}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            V::Map(m) => {
                f.write_str("{")?;
                for (i, (k, v)) in m.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    quoted(k, f)?;
                    write!(f, ":{v}")?;
                }
                f.write_str("}")
            }
        }
    }
}
