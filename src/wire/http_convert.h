#ifndef SRC_WIRE_HTTP_CONVERT_H_
#define SRC_WIRE_HTTP_CONVERT_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "include/wire/http_message.h"

namespace papaya {

// HTTP/1.1 as Beast counts versions.
inline constexpr int kHttp11 = 11;

// Conversions between our HTTP values and Beast's. Headers that belong to one
// connection only (Connection, Transfer-Encoding and the like) are left out.

HttpHeaders FromBeast(const boost::beast::http::fields& fields);

void AddToBeast(const HttpHeaders& headers, boost::beast::http::fields& fields);

boost::beast::http::request<boost::beast::http::string_body> ToBeast(
    const HttpRequest& request);

}  // namespace papaya

#endif  // SRC_WIRE_HTTP_CONVERT_H_
