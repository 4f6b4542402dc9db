#ifndef KNAPWEEDCROFT_CORE_VERSION_HPP
#define KNAPWEEDCROFT_CORE_VERSION_HPP

#include <string_view>

namespace knapweedcroft {

/** @brief Version of the project; must match CMakeLists.txt. */
inline constexpr std::string_view projectVersion = "0.1.0";

} // namespace knapweedcroft

#endif
