//! Running estimates of a stream of samples. Nothing here decides anything.

mod rate;
mod running_mean;
mod token_bucket;

pub(crate) use rate::{Rate, RATE_MEMORY};
pub(crate) use running_mean::RunningMean;
pub(crate) use token_bucket::TokenBucket;
