//! Typed access to the keys of a JSON object. An error names the key by its path in the whole document, and
//! a missing key is reported together with what it should hold.

use super::error::{WireError, WireFault};
use crate::units::Micros;
use serde_json::{Map, Value};

/// What a value should have been instead of what it is.
pub struct Expected(pub &'static str);

/// A type that is read from one JSON value.
pub trait FromValue<'a>: Sized {
    /// What is expected where the key is missing.
    const EXPECTED: &'static str;

    /// Reads the value, or says what was expected in its place.
    fn from_value(value: &'a Value) -> Result<Self, Expected>;
}

/// An object inside a document. A value that is absent or no object counts as an object without keys.
pub struct Object<'a> {
    path: String,
    members: Option<&'a Map<String, Value>>,
}

impl<'a> Object<'a> {
    /// A whole document.
    pub fn root(document: &'a Value) -> Object<'a> {
        Object { path: String::new(), members: document.as_object() }
    }

    /// The object at a key.
    pub fn object(&self, key: &str) -> Object<'a> {
        Object { path: self.path_of(key), members: self.get(key).and_then(Value::as_object) }
    }

    /// The objects of the array at a key.
    pub fn objects(&self, key: &str) -> Result<Vec<Object<'a>>, WireError> {
        let items: &[Value] = self.required(key)?;
        let path = self.path_of(key);
        let object = |(index, item): (usize, &'a Value)| Object {
            path: format!("{path}[{index}]"),
            members: item.as_object(),
        };
        Ok(items.iter().enumerate().map(object).collect())
    }

    /// The texts of the array at a key.
    pub fn texts(&self, key: &str) -> Result<Vec<&'a str>, WireError> {
        let items: &[Value] = self.required(key)?;
        let text = |(index, item): (usize, &'a Value)| {
            <&str>::from_value(item).map_err(|Expected(expected)| WireError {
                path: format!("{}[{index}]", self.path_of(key)),
                fault: WireFault::new(Some(item), expected),
            })
        };
        items.iter().enumerate().map(text).collect()
    }

    /// Whether a key is there and not null.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some_and(|value| !value.is_null())
    }

    /// The value of a key that must be there.
    pub fn required<T: FromValue<'a>>(&self, key: &str) -> Result<T, WireError> {
        let value = self.get(key).ok_or_else(|| self.unexpected(key, T::EXPECTED))?;
        T::from_value(value).map_err(|Expected(expected)| self.unexpected(key, expected))
    }

    /// The value of a key that may be absent or null.
    pub fn optional<T: FromValue<'a>>(&self, key: &str) -> Result<Option<T>, WireError> {
        if self.has(key) {
            self.required(key).map(Some)
        } else {
            Ok(None)
        }
    }

    /// The text of a key as `parse` takes it; `expected` says which texts those are.
    pub fn parsed<T>(
        &self, key: &str, expected: &'static str, parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, WireError> {
        parse(self.required(key)?).ok_or_else(|| self.unexpected(key, expected))
    }

    /// The error of a key whose value, if any, is not what was expected.
    pub fn unexpected(&self, key: &str, expected: &'static str) -> WireError {
        self.error(key, WireFault::new(self.get(key), expected))
    }

    /// The error of a key.
    pub fn error(&self, key: &str, fault: WireFault) -> WireError {
        WireError { path: self.path_of(key), fault }
    }

    fn get(&self, key: &str) -> Option<&'a Value> {
        self.members?.get(key)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

impl<'a> FromValue<'a> for &'a str {
    const EXPECTED: &'static str = "text";

    fn from_value(value: &'a Value) -> Result<Self, Expected> {
        value.as_str().ok_or(Expected(Self::EXPECTED))
    }
}

impl<'a> FromValue<'a> for &'a [Value] {
    const EXPECTED: &'static str = "an array";

    fn from_value(value: &'a Value) -> Result<Self, Expected> {
        value.as_array().map(Vec::as_slice).ok_or(Expected(Self::EXPECTED))
    }
}

impl FromValue<'_> for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        value.as_bool().ok_or(Expected(Self::EXPECTED))
    }
}

impl FromValue<'_> for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        value.as_f64().ok_or(Expected(Self::EXPECTED))
    }
}

impl FromValue<'_> for u32 {
    const EXPECTED: &'static str = "a whole number";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
        number.ok_or(Expected(Self::EXPECTED))
    }
}

impl FromValue<'_> for Micros {
    const EXPECTED: &'static str = "whole microseconds";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        value.as_u64().map(Micros).ok_or(Expected(Self::EXPECTED))
    }
}
