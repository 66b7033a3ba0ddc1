//! Bodies of answers to callers.

use bytes::Bytes;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::relay::RelayError;

/// The body of any answer to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, RelayError>;

/// Makes an answer whose body is in memory.
pub(crate) fn whole(res: Response<Bytes>) -> Response<ResponseBody> {
    res.map(|bytes| {
        Full::new(bytes)
            .map_err(|never| match never {})
            .boxed_unsync()
    })
}
