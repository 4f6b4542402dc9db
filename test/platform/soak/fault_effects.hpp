#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_EFFECTS_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_EFFECTS_HPP

#include "soak/fault_plan.hpp"
#include "soak/fault_relay.hpp"

#include <optional>

namespace knapweedcroft::platform {

/** @brief Returns whether a fault kills processes. */
[[nodiscard]] bool isKill(fault_kind kind);

/** @brief Returns whether a fault kills, stops or freezes processes. */
[[nodiscard]] bool isNodeFault(fault_kind kind);

/** @brief Returns the effect of a fault on the links that other nodes open to a node; nothing if there is none. */
[[nodiscard]] std::optional<relay_mode> linkMode(fault_kind kind);

/** @brief Returns the effect of a fault on the connections of a node to the store; nothing if there is none. */
[[nodiscard]] std::optional<relay_mode> storeMode(fault_kind kind);

/**
 * @brief Returns whether a fault of links or of the path to the store excuses the node from the deadline of a change.
 *
 * Outages of the store and nodes that it turns away are not included, since they extend the deadline.
 */
[[nodiscard]] bool disturbsNode(fault_kind kind);

} // namespace knapweedcroft::platform

#endif
