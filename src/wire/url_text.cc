#include "include/wire/url_text.h"

// Debian has no library package for Boost.URL, so it is compiled in here.
#define BOOST_URL_NO_LIB
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/src.hpp>

namespace papaya {

std::string EncodeUrlText(const std::string& text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars + '/');
}

std::optional<std::string> DecodeUrlText(const std::string& encoded) {
  const auto view = boost::urls::make_pct_string_view(encoded);
  if (view.has_error()) {
    return std::nullopt;
  }
  return view->decode();
}

}  // namespace papaya
