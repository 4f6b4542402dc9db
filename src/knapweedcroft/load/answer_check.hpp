#ifndef KNAPWEEDCROFT_LOAD_ANSWER_CHECK_HPP
#define KNAPWEEDCROFT_LOAD_ANSWER_CHECK_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/client_request.hpp"
#include "knapweedcroft/load/shape.hpp"
#include "knapweedcroft/net/http_types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Expected content of a complete answer of an operation. */
struct answer_spec {
    service_name service;
    std::string operation;
    std::size_t payloadBytes = 0;
    std::size_t subCalls = 0; /*!< Number of calls that the operation makes itself. */
};

/** @brief Classification of an answer by the client. */
struct classified_answer {
    attempt_end end = attempt_end::unclassified;
    std::optional<milliseconds> retryAfter;
    std::string fault; /*!< Reason why an answer is broken or unclassified. */
};

/** @brief Returns the expected answer of an operation of the shape. */
[[nodiscard]] answer_spec answerSpecOf(const shape& on, const service_name& service, const std::string& operation);

/**
 * @brief Builds a request body that contains a token.
 * @param token The token, which the answer must echo.
 * @param size Size in bytes; raised if it is too small to hold the token.
 * @return JSON text.
 */
[[nodiscard]] std::string makeRequestBody(const std::string& token, std::int64_t size);

/** @brief Classifies an answer of a node and checks that it is complete and belongs to the request. */
[[nodiscard]] classified_answer checkAnswer(
    const answer_spec& spec, const std::string& token, const http_response& response);

/**
 * @brief Checks the body of a complete answer.
 * @return Description of the first fault; empty if the body is valid.
 */
[[nodiscard]] std::string findBodyFault(const answer_spec& spec, const std::string& token, const std::string& body);

} // namespace knapweedcroft

#endif
