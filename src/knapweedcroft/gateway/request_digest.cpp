#include "knapweedcroft/gateway/request_digest.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <iomanip>
#include <sstream>

namespace knapweedcroft {

std::uint64_t digestOf(const service_name& caller, const opaque_request& request)
{
    // Each part seeds the hash of the next one, so no byte can move from one part to another.
    std::uint64_t digest = hash64(caller);
    digest = hash64(findHeader(request.headers, "Host").value_or(""), digest);
    digest = hash64(request.method, digest);
    digest = hash64(request.target, digest);
    return hash64(request.body, digest);
}

std::string formatDigest(std::uint64_t digest)
{
    constexpr int digits = 16;
    std::ostringstream text;
    text << std::hex << std::setw(digits) << std::setfill('0') << digest;
    return text.str();
}

} // namespace knapweedcroft
