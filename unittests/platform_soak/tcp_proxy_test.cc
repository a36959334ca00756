#include "platform_soak/tcp_proxy.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

#include "support/raw_peer.h"

namespace bamboorack::soak {
namespace {

using bamboorack::testing::RawPeer;

// A soak whose proxy turns resets into closes finds no fault that takes one for
// the other.
SCENARIO("the proxy turns a reset into an orderly close") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  TcpProxy proxy;
  proxy.SetTarget(listener.address().port());
  RawPeer client(proxy.Port());
  RawPeer server(listener.acceptConnection());
  GIVEN("a client that has received a part of an answer") {
    server.Send("part");
    REQUIRE(client.ReadBytes(4) == "part");
    WHEN("the server resets the connection") {
      server.Reset();
      THEN("the client sees a reset") { CHECK(client.IsResetByPeer()); }
    }
    WHEN("the server closes its sending direction") {
      server.CloseSend();
      THEN("the client sees an orderly close") {
        CHECK_FALSE(client.IsResetByPeer());
      }
    }
    WHEN("the links are reset") {
      proxy.SetFault(LinkFault::kReset);
      THEN("both ends see a reset") {
        CHECK(client.IsResetByPeer());
        CHECK(server.IsResetByPeer());
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::soak
