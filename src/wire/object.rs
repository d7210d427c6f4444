//! Typed access to the keys of a JSON object. An error names the path of the key in the whole document and
//! the expected value.

use super::error::{WireError, WireFault};
use crate::units::Micros;
use serde_json::{Map, Value};

/// Error for an invalid value: a description of the valid ones.
pub struct Expected(pub &'static str);

/// A type that is decoded from a JSON value.
pub trait FromValue<'a>: Sized {
    /// Description of a valid value, reported if the key is missing.
    const EXPECTED: &'static str;

    /// Decodes `value`, or returns the description of a valid value.
    fn from_value(value: &'a Value) -> Result<Self, Expected>;
}

/// An object in a document, with its path. A value that is absent or not an object is treated as an empty
/// object.
pub struct Object<'a> {
    path: String,
    members: Option<&'a Map<String, Value>>,
}

impl<'a> Object<'a> {
    /// Returns the root object of a document.
    pub fn root(document: &'a Value) -> Object<'a> {
        Object { path: String::new(), members: document.as_object() }
    }

    /// Returns the object at a key.
    pub fn object(&self, key: &str) -> Object<'a> {
        Object { path: self.path_of(key), members: self.get(key).and_then(Value::as_object) }
    }

    /// Returns the objects in the array at a required key.
    pub fn objects(&self, key: &str) -> Result<Vec<Object<'a>>, WireError> {
        let items: &[Value] = self.required(key)?;
        let path = self.path_of(key);
        let object = |(index, item): (usize, &'a Value)| Object {
            path: format!("{path}[{index}]"),
            members: item.as_object(),
        };
        Ok(items.iter().enumerate().map(object).collect())
    }

    /// Returns the strings in the array at a required key.
    pub fn strings(&self, key: &str) -> Result<Vec<&'a str>, WireError> {
        let items: &[Value] = self.required(key)?;
        let string = |(index, item): (usize, &'a Value)| {
            <&str>::from_value(item).map_err(|Expected(expected)| WireError {
                path: format!("{}[{index}]", self.path_of(key)),
                fault: WireFault::new(Some(item), expected),
            })
        };
        items.iter().enumerate().map(string).collect()
    }

    /// Whether a key is present and not null.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some_and(|value| !value.is_null())
    }

    /// Returns the value of a key that must be present.
    pub fn required<T: FromValue<'a>>(&self, key: &str) -> Result<T, WireError> {
        let value = self.get(key).ok_or_else(|| self.unexpected(key, T::EXPECTED))?;
        T::from_value(value).map_err(|Expected(expected)| self.unexpected(key, expected))
    }

    /// Returns the value of a key, or `None` if the key is absent or null.
    pub fn optional<T: FromValue<'a>>(&self, key: &str) -> Result<Option<T>, WireError> {
        if self.has(key) {
            self.required(key).map(Some)
        } else {
            Ok(None)
        }
    }

    /// Returns the result of `parse` on the string at a required key. `expected` describes the strings that
    /// `parse` accepts.
    pub fn parse_string<T>(
        &self, key: &str, expected: &'static str, parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, WireError> {
        parse(self.required(key)?).ok_or_else(|| self.unexpected(key, expected))
    }

    /// Returns the error of a key whose value is missing or is not `expected`.
    pub fn unexpected(&self, key: &str, expected: &'static str) -> WireError {
        self.error(key, WireFault::new(self.get(key), expected))
    }

    /// Returns the error of a key with this fault.
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
