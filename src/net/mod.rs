//! Network code that more than one program needs: the proxy itself and what plays a fleet of them.

pub mod dial;
pub mod failures;
