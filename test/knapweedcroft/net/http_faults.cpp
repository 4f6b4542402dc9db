#include "knapweedcroft/net/http_client.hpp"
#include "test_servers.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace knapweedcroft {

class http_fault_test : public testing::Test {
protected:
    http_outcome exchange(const std::string& address)
    {
        http_client_request request;
        request.address = address;
        request.target = "/op/a";
        request.body = "b";
        request.timeout = milliseconds { 10'000 };
        std::optional<http_outcome> outcome;
        m_client.send(request, [&outcome](http_outcome got) { outcome = std::move(got); });
        m_loop.runUntil([&outcome] { return outcome.has_value(); }, milliseconds { 20'000 });
        return outcome.value_or(
            http_failure { true, error { error_kind::timed_out, "no outcome before the test's timeout" } });
    }

    event_loop m_loop;
    http_client m_client { m_loop, http_client_settings {} };
};

struct truncated_response {
    const char* name;
    const char* bytes;
};

class truncated_response_test : public http_fault_test, public testing::WithParamInterface<truncated_response> { };

// Guards against a truncated response that is taken for a complete one.
TEST_P(truncated_response_test, IsAFailureAfterWriting)
{
    test_raw_server server { m_loop, { { GetParam().bytes, true } } };
    const http_outcome outcome = exchange(server.address());
    ASSERT_TRUE(std::holds_alternative<http_failure>(outcome));
    EXPECT_TRUE(std::get<http_failure>(outcome).wasWritten);
    EXPECT_EQ(std::get<http_failure>(outcome).cause.kind, error_kind::connection_failed);
    EXPECT_EQ(server.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Table, truncated_response_test,
    testing::Values(truncated_response { "NoAnswer", "" }, truncated_response { "InStatusLine", "HTTP/1.1 20" },
        truncated_response { "InHeaders", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" },
        truncated_response { "InBody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab" },
        truncated_response { "NoLength", "HTTP/1.1 200 OK\r\n\r\nab" },
        truncated_response { "InChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab" },
        truncated_response { "NoLastChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n" }),
    [](const testing::TestParamInfo<truncated_response>& parameter) { return std::string { parameter.param.name }; });

static constexpr const char* completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a request being sent, and executed, twice after the server closed its reused connection without a
// response.
TEST_F(http_fault_test, SendsACallOnceWhenTheServerClosesTheKeptConnection)
{
    test_raw_server server { m_loop, { { completeResponse, false }, { "", true }, { completeResponse, false } } };
    ASSERT_TRUE(std::holds_alternative<http_response>(exchange(server.address())));
    const http_outcome lost = exchange(server.address());
    ASSERT_TRUE(std::holds_alternative<http_failure>(lost));
    EXPECT_TRUE(std::get<http_failure>(lost).wasWritten);
    EXPECT_EQ(server.requests().size(), 2U);
    EXPECT_TRUE(std::holds_alternative<http_response>(exchange(server.address())));
    EXPECT_EQ(server.requests().size(), 3U);
}

// Guards against a request that fails because the server closed the idle connection that it reuses.
TEST_F(http_fault_test, UsesANewConnectionAfterTheServerClosedTheIdleOne)
{
    test_raw_server server { m_loop,
        { { completeResponse, true }, { completeResponse, true }, { completeResponse, true } } };
    for (std::size_t sent = 1; sent <= 3; ++sent) {
        EXPECT_TRUE(std::holds_alternative<http_response>(exchange(server.address())));
        EXPECT_EQ(server.requests().size(), sent);
    }
}

} // namespace knapweedcroft
