//! A deserializer that makes up values, so that samples of a type need no list of its fields and variants.

use std::collections::BTreeMap;
use std::fmt;

use serde::de;
use serde::de::DeserializeOwned;
use serde::de::DeserializeSeed;
use serde::de::IntoDeserializer;
use serde::de::Visitor;
use serde::de::value::StrDeserializer;

/// Samples of one type at most. A type with more variants at any depth is pinned by its parts as well.
const MAX_SAMPLES: usize = 400;

/// Forms of a text that are tried in turn until one is accepted.
const TEXT_FORMS: usize = 4;

/// Lengths of a byte string that are tried in turn until one is accepted.
const BYTE_LENGTHS: [usize; 5] = [16, 32, 37, 69, 8];

#[derive(Debug)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl de::Error for Error {
    fn custom<T: fmt::Display>(text: T) -> Self {
        Self(text.to_string())
    }
}

/// Where the values come from.
#[derive(Debug, Clone, Default)]
struct Source {
    human_readable: bool,
    /// Options are absent and collections empty.
    sparse: bool,
    serial: u64,
    /// How often each enum, known by its variants, was asked for.
    enums: BTreeMap<&'static [&'static str], usize>,
    /// The form that each text or byte string of a sample has, in their order.
    forms: Vec<usize>,
    /// The texts and byte strings asked for so far.
    asked: usize,
}

/// One sample at least for each variant of each enum in the type, up to [`MAX_SAMPLES`], and one without optional content.
pub fn all<T: DeserializeOwned>(human_readable: bool) -> Vec<T> {
    let mut source = Source { human_readable, ..Source::default() };
    let mut samples = Vec::new();
    loop {
        samples.push(source.sample());
        if source.is_complete() || samples.len() == MAX_SAMPLES {
            break;
        }
    }
    source.sparse = true;
    samples.push(source.sample());
    samples
}

impl Source {
    fn is_complete(&self) -> bool {
        self.enums.iter().all(|(variants, asked)| *asked >= variants.len())
    }

    fn sample<T: DeserializeOwned>(&mut self) -> T {
        self.forms.clear();
        loop {
            let mut attempt = self.clone();
            attempt.asked = 0;
            match T::deserialize(&mut attempt) {
                Ok(value) => {
                    *self = attempt;
                    return value;
                }
                Err(error) => self.try_next_form(&attempt, &error, std::any::type_name::<T>()),
            }
        }
    }

    /// The text or byte string asked for last was not accepted.
    fn try_next_form(&mut self, attempt: &Self, error: &Error, name: &str) {
        assert!(attempt.asked > 0, "{name}: {error}");
        self.forms.resize(attempt.asked, 0);
        self.forms[attempt.asked - 1] += 1;
        let tried = self.forms[attempt.asked - 1];
        assert!(tried < TEXT_FORMS.max(BYTE_LENGTHS.len()), "{name}: {error}");
    }

    fn number(&mut self) -> u8 {
        self.serial += 1;
        (self.serial % 100 + 1) as u8
    }

    fn form(&mut self) -> usize {
        self.asked += 1;
        self.forms.get(self.asked - 1).copied().unwrap_or(0)
    }

    fn text(&mut self) -> String {
        let number = self.number();
        match self.form() {
            0 => format!("name-{number}"),
            1 => format!("{number:032x}"),
            2 => format!("{number:064x}"),
            _ => format!("127.0.0.1:{number}"),
        }
    }

    fn bytes(&mut self) -> Vec<u8> {
        let length = BYTE_LENGTHS.get(self.form()).copied().unwrap_or(0);
        vec![1; length]
    }

    fn variant(&mut self, variants: &'static [&'static str]) -> &'static str {
        let asked = self.enums.entry(variants).or_default();
        let variant = variants[*asked % variants.len()];
        *asked += 1;
        variant
    }
}

macro_rules! numbers {
    ($($method:ident $visit:ident),*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
            visitor.$visit(self.number().into())
        })*
    };
}

impl<'de> de::Deserializer<'de> for &mut Source {
    type Error = Error;

    numbers!(
        deserialize_u8 visit_u8, deserialize_u16 visit_u16, deserialize_u32 visit_u32,
        deserialize_u64 visit_u64, deserialize_u128 visit_u128, deserialize_i8 visit_u8,
        deserialize_i16 visit_i16, deserialize_i32 visit_i32, deserialize_i64 visit_i64,
        deserialize_f32 visit_f32, deserialize_f64 visit_f64
    );

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Error> {
        Err(Error("a self-describing type has no samples".to_owned()))
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_bool(!self.sparse)
    }

    fn deserialize_char<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_char('c')
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_string(self.text())
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_string(self.text())
    }

    fn deserialize_bytes<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_byte_buf(self.bytes())
    }

    fn deserialize_byte_buf<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_byte_buf(self.bytes())
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        if self.sparse { visitor.visit_none() } else { visitor.visit_some(self) }
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_unit()
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let left = usize::from(!self.sparse);
        visitor.visit_seq(List { source: self, left })
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(List { source: self, left: length })
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(List { source: self, left: length })
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let left = usize::from(!self.sparse);
        visitor.visit_map(List { source: self, left })
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        // By position: the list of names holds aliases too.
        visitor.visit_seq(List { source: self, left: usize::MAX })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let name = self.variant(variants);
        visitor.visit_enum(Choice { source: self, name })
    }

    fn deserialize_identifier<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }

    fn is_human_readable(&self) -> bool {
        self.human_readable
    }
}

/// The elements of a sequence or a map.
struct List<'a> {
    source: &'a mut Source,
    left: usize,
}

impl List<'_> {
    fn next<'de, T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>, Error> {
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        seed.deserialize(&mut *self.source).map(Some)
    }
}

impl<'de> de::SeqAccess<'de> for List<'_> {
    type Error = Error;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Error> {
        self.next(seed)
    }
}

impl<'de> de::MapAccess<'de> for List<'_> {
    type Error = Error;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Error> {
        self.next(seed)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Error> {
        seed.deserialize(&mut *self.source)
    }
}

/// One variant of an enum.
struct Choice<'a> {
    source: &'a mut Source,
    name: &'static str,
}

impl<'a, 'de> de::EnumAccess<'de> for Choice<'a> {
    type Error = Error;
    type Variant = &'a mut Source;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Self::Variant), Error> {
        let name: StrDeserializer<'_, Error> = self.name.into_deserializer();
        Ok((seed.deserialize(name)?, self.source))
    }
}

impl<'de> de::VariantAccess<'de> for &mut Source {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Error> {
        seed.deserialize(self)
    }

    fn tuple_variant<V: Visitor<'de>>(self, length: usize, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_seq(List { source: self, left: length })
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(List { source: self, left: usize::MAX })
    }
}
