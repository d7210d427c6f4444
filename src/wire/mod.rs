//! Messages of the platform, mapped to the library's types. Their field names appear here and nowhere else.

pub mod settings;
