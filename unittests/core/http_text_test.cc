#include "bamboorack/core/http_text.h"

#include <catch2/catch.hpp>

namespace bamboorack {
namespace {

SCENARIO("a number in a header is read as another number") {
  CHECK(ParseDecimal("0") == 0U);
  CHECK(ParseDecimal("600000") == 600'000U);
  for (const char* text :
       {"", "-1", "+1", " 1", "1 ", "0x1", "1e3", "18446744073709551616"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseDecimal(text).has_value());
  }
}

}  // namespace
}  // namespace bamboorack
