#include "bamboorack/core/http_head.h"

#include <catch2/catch.hpp>
#include <string>

#include "bamboorack/core/http_text.h"

namespace bamboorack {
namespace {

SCENARIO("two readers of one head see two different messages") {
  struct Row {
    const char* title;
    std::string head;
    bool is_accepted;
  };
  const std::string start = "GET / HTTP/1.1\r\n";
  const Row rows[] = {
      {"plain", start + "A: b\r\n\r\n", true},
      {"without headers", start + "\r\n", true},
      {"lone line feed", start + "A: b\nC: d\r\n\r\n", false},
      {"line without a colon", start + "A b\r\n\r\n", false},
      {"space before the colon", start + "A : b\r\n\r\n", false},
      {"control character in a name", start + "A\x01: b\r\n\r\n", false},
      {"vertical tab before the colon", start + "A\v: b\r\n\r\n", false},
      {"delimiter in a name", start + "A(b): c\r\n\r\n", false},
      {"name outside ASCII", start + "A\xc3\xa9: b\r\n\r\n", false},
      {"all letters that a name may have",
       start + "aZ09!#$%&'*+-.^_`|~: b\r\n\r\n", true},
      {"folded line", start + "A: b\r\n c: d\r\n\r\n", false},
      {"value that POCO does not take whole",
       start + "A: " + std::string(9'000, 'a') + "\r\n\r\n", false},
      {"NUL", start + std::string("A: \0\r\n\r\n", 9), false},
      {"no start line", "\r\n\r\n", false},
      {"other version", "GET / HTTP/2.0\r\n\r\n", false},
      {"no version", "GET /\r\n\r\n", false},
  };
  for (const Row& row : rows) {
    SECTION(row.title) {
      CHECK(ParseRequestHead(row.head).has_value() == row.is_accepted);
    }
  }
}

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
