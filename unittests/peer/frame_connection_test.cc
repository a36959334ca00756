#include "bamboorack/peer/frame_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <string>

#include "support/raw_peer.h"

namespace bamboorack::peer {
namespace {

using bamboorack::testing::RawPeer;

SCENARIO("a daemon that reads slowly loses its connection") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  RawPeer reader(listener.address().port());
  FrameConnection connection(listener.acceptConnection());
  GIVEN("more frames than the kernel takes") {
    const std::string frames(16'000'000, 'f');
    REQUIRE(connection.SendEncoded(frames));
    REQUIRE(connection.Flush());
    REQUIRE(connection.HasOutput());
    WHEN("they are written on while it does not read") {
      THEN("the connection stays") {
        CHECK(connection.Flush());
        CHECK(connection.HasOutput());
      }
    }
    WHEN("it reads on") {
      std::size_t received = 0;
      while (connection.HasOutput()) {
        REQUIRE(connection.Flush());
        received += reader.ReadBytes(1).size();
        received += reader.TakeReceived().size();
      }
      THEN("it gets all frames") {
        received += reader.ReadBytes(frames.size() - received).size();
        CHECK(received == frames.size());
      }
    }
    WHEN("it resets the connection") {
      reader.Reset();
      THEN("the connection ends") { CHECK_FALSE(connection.Flush()); }
    }
  }
}

}  // namespace
}  // namespace bamboorack::peer
