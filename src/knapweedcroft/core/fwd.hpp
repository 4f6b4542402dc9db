#ifndef KNAPWEEDCROFT_CORE_FWD_HPP
#define KNAPWEEDCROFT_CORE_FWD_HPP

#include <string>
#include <variant>

namespace knapweedcroft {

class milliseconds;
class time_point;
class clock;
class json_reader;
class priority;
struct error;

/** @brief Name of a node; unique in the system and retained across restarts of its slot. */
using node_name = std::string;

/** @brief Name of a service, which is a group of interchangeable upstreams. */
using service_name = std::string;

/** @brief A value, or the error that prevented it. */
template <typename Type> using result = std::variant<Type, error>;

} // namespace knapweedcroft

#endif
