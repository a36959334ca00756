#include "bamboorack/core/http_head.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>

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
      {"value that is too long",
       start + "A: " + std::string(9'000, 'a') + "\r\n\r\n", false},
      {"control character in a value", start + "A: b\x01\r\n\r\n", false},
      {"vertical tab before a value", start + "A: \vb\r\n\r\n", false},
      {"delete character in a value", start + "A: \x7f\r\n\r\n", false},
      {"control character in the target", "GET /\x02 HTTP/1.1\r\n\r\n", false},
      {"tab and bytes outside ASCII in a value",
       start + "A: b\t\xc3\xa9\r\n\r\n", true},
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

// A line end in an encoded word of RFC 2047 would start another header, for
// example one that only this process may set.
SCENARIO("a header value is passed on as another one, or as several") {
  for (const char* value :
       {"=?utf-8?q?a=0D=0AHost:=20other?=", "=?utf-8?b?YQ0KSG9zdDogb3RoZXI=?=",
        "\xc3\xa9 \"quoted\", two  blanks", "a:b", ""}) {
    WHEN(std::string("the value is ") + value) {
      const std::string line = std::string("A: \t") + value + " \r\n\r\n";
      THEN("both readers take it as it was sent") {
        const auto request = ParseRequestHead("GET / HTTP/1.1\r\n" + line);
        REQUIRE(request.has_value());
        REQUIRE(request->headers.size() == 1);
        CHECK(request->headers[0].name == "A");
        CHECK(request->headers[0].value == value);
        const auto response = ParseResponseHead("HTTP/1.1 200 OK\r\n" + line);
        REQUIRE(response.has_value());
        REQUIRE(response->headers.size() == 1);
        CHECK(response->headers[0].value == value);
      }
    }
  }
}

SCENARIO("a start line is read as another one") {
  const std::string rest = "\r\nA: b\r\n\r\n";
  GIVEN("a request") {
    const auto head = ParseRequestHead("GET /a?b=%20 HTTP/1.0" + rest);
    REQUIRE(head.has_value());
    CHECK(head->method == "GET");
    CHECK(head->target == "/a?b=%20");
    for (const char* line :
         {" GET / HTTP/1.1", "GET  / HTTP/1.1", "GET /  HTTP/1.1",
          "GET /\tHTTP/1.1", "GET / x HTTP/1.1", "GET / HTTP/1.1 ",
          "GET /\tx HTTP/1.1", "G(T / HTTP/1.1", "GET / http/1.1",
          "GET  HTTP/1.1"}) {
      CAPTURE(line);
      CHECK_FALSE(ParseRequestHead(line + rest).has_value());
    }
  }
  GIVEN("an answer") {
    for (const char* line : {"HTTP/1.1 200 All is well", "HTTP/1.0 200 OK",
                             "HTTP/1.1 200 ", "HTTP/1.1 200"}) {
      CAPTURE(line);
      const auto head = ParseResponseHead(line + rest);
      REQUIRE(head.has_value());
      CHECK(head->status == 200);
      CHECK(head->headers.size() == 1);
    }
    for (const char* line :
         {" HTTP/1.1 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
          "HTTP/1.1 200\tOK", "HTTP/1.1 000 OK", "HTTP/1.1 0200 OK",
          "HTTP/1.1 600 OK", "HTTP/1.1", "HTTP/2 200 OK", "200 OK"}) {
      CAPTURE(line);
      CHECK_FALSE(ParseResponseHead(line + rest).has_value());
    }
  }
}

SCENARIO("a connection that the peer closes is used again") {
  struct Row {
    const char* version;
    const char* headers;
    bool keep_alive;
  };
  constexpr std::array rows = {
      Row{"HTTP/1.1", "", true},
      Row{"HTTP/1.1", "Connection: Close\r\n", false},
      Row{"HTTP/1.1", "connection: upgrade , close\r\n", false},
      Row{"HTTP/1.1", "Connection: a\r\nConnection: close\r\n", false},
      Row{"HTTP/1.1", "Connection: closed\r\n", true},
      Row{"HTTP/1.0", "", false},
      Row{"HTTP/1.0", "Connection: upgrade\r\n", false},
      Row{"HTTP/1.0", "Connection: Keep-Alive\r\n", true}};
  for (const Row& row : rows) {
    WHEN(std::string(row.version) + " " + row.headers) {
      const std::string rest = std::string(row.headers) + "\r\n";
      const std::string version = row.version;
      const auto request = ParseRequestHead("GET / " + version + "\r\n" + rest);
      const auto response = ParseResponseHead(version + " 200 OK\r\n" + rest);
      THEN("both readers know whether it is kept") {
        CHECK(request.value().keep_alive == row.keep_alive);
        CHECK(response.value().keep_alive == row.keep_alive);
      }
    }
  }
}

SCENARIO("a head of many or long headers takes up the process") {
  const std::string start = "GET / HTTP/1.1\r\n";
  const auto repeat = [](int count) {
    std::string lines;
    for (int i = 0; i < count; ++i) lines += "A: b\r\n";
    return lines;
  };
  CHECK(ParseRequestHead(start + repeat(100) + "\r\n").has_value());
  CHECK_FALSE(ParseRequestHead(start + repeat(101) + "\r\n").has_value());
  CHECK_FALSE(ParseRequestHead(start + std::string(300, 'a') + ": b\r\n\r\n")
                  .has_value());
}

}  // namespace
}  // namespace bamboorack
