//! Reads single values of a YAML file, so that one that can't be read harms no other.

use std::{
    fmt::{self, Formatter},
    marker::PhantomData,
};

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{
    DuplicateKeyPolicy, Error, Options, from_str_with_options,
    with_deserializer_from_str_with_options,
};

/// Longest part of a value that is shown, in characters.
const MAX_SHOWN: usize = 60;

/// What stands at a path of the file.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Found<T> {
    /// Nothing, or null.
    Missing,
    /// A value of the expected type.
    Value(T),
    /// Something else; its beginning as text.
    Other(Box<str>),
}

/// Checks that the text is YAML.
///
/// # Errors
/// If it is not.
pub(super) fn check_syntax(text: &str) -> Result<(), Error> {
    from_str_with_options(text, options()).map(|IgnoredAny| ())
}

/// Reads the value at a path of keys. A section on the path that is no mapping counts as empty.
pub(super) fn read<'de, T: Deserialize<'de>>(text: &'de str, path: &[&str]) -> Found<T> {
    match read_typed::<T>(text, path) {
        Ok(Some(value)) => Found::Value(value),
        Ok(None) => Found::Missing,
        Err(_) => Found::Other(show(text, path)),
    }
}

/// Reads the number at a path of keys; one that is quoted or written with a radix counts as well.
pub(super) fn read_number(text: &str, path: &[&str]) -> Found<f64> {
    match read::<f64>(text, path) {
        Found::Other(shown) => match read::<u64>(text, path) {
            Found::Value(whole) => Found::Value(whole as f64),
            _ => Found::Other(shown),
        },
        found => found,
    }
}

/// The value at a path as text, cut short.
pub(super) fn show(text: &str, path: &[&str]) -> Box<str> {
    match read_typed::<Item>(text, path) {
        Ok(Some(Item(Some(value)))) => cut(&value),
        Ok(Some(Item(None))) => "a list or mapping".into(),
        Ok(None) => "null".into(),
        Err(_) => "unreadable".into(),
    }
}

/// The beginning of a text.
pub(super) fn cut(text: &str) -> Box<str> {
    let shown: String = text.chars().take(MAX_SHOWN).collect();
    if shown.len() < text.len() { format!("{shown}...").into() } else { shown.into() }
}

/// Of a key that is there twice, the last one counts.
fn options() -> Options {
    serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::LastWins,
        reject_non_finite_typeless_float: false,
        strict_booleans: true,
        ignore_binary_tag_for_string: true,
    }
}

fn read_typed<'de, T: Deserialize<'de>>(text: &'de str, path: &[&str]) -> Result<Option<T>, Error> {
    with_deserializer_from_str_with_options(text, options(), |deserializer| {
        At { path, value: PhantomData }.deserialize(deserializer)
    })
}

/// Reads the value at a path and skips everything else.
struct At<'a, T> {
    path: &'a [&'a str],
    value: PhantomData<T>,
}

impl<'de, T: Deserialize<'de>> DeserializeSeed<'de> for At<'_, T> {
    type Value = Option<T>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Option<T>, D::Error> {
        if self.path.is_empty() {
            return Option::deserialize(deserializer);
        }
        deserializer.deserialize_any(self)
    }
}

impl<'de, T: Deserialize<'de>> Visitor<'de> for At<'_, T> {
    type Value = Option<T>;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a mapping")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<T>, A::Error> {
        let Some((first, rest)) = self.path.split_first() else { return Ok(None) };
        let mut found = None;
        while let Some(Item(key)) = map.next_key()? {
            if key.as_deref() == Some(*first) {
                found = map.next_value_seed(At { path: rest, value: PhantomData })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(found)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Option<T>, A::Error> {
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(None)
    }

    fn visit_str<E>(self, _: &str) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_unit<E>(self) -> Result<Option<T>, E> {
        Ok(None)
    }
}

/// An element of a list or mapping, or a key: the text of a scalar, or `None` for null, a list or a mapping.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Item(pub(super) Option<Box<str>>);

impl<'de> Deserialize<'de> for Item {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ItemVisitor)
    }
}

/// Reads an [`Item`].
struct ItemVisitor;

impl<'de> Visitor<'de> for ItemVisitor {
    type Value = Item;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_str<E>(self, text: &str) -> Result<Item, E> {
        Ok(Item(Some(text.into())))
    }

    fn visit_bool<E>(self, value: bool) -> Result<Item, E> {
        Ok(Item(Some(value.to_string().into())))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Item, E> {
        Ok(Item(Some(value.to_string().into())))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Item, E> {
        Ok(Item(Some(value.to_string().into())))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Item, E> {
        Ok(Item(Some(value.to_string().into())))
    }

    fn visit_unit<E>(self) -> Result<Item, E> {
        Ok(Item(None))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Item, A::Error> {
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Item(None))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Item, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Item(None))
    }
}
