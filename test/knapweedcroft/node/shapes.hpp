#ifndef KNAPWEEDCROFT_TEST_NODE_SHAPES_HPP
#define KNAPWEEDCROFT_TEST_NODE_SHAPES_HPP

#include "knapweedcroft/node/node_group.hpp"

namespace knapweedcroft {

/** @brief Returns the deployment in deploy/hyggesnak: four services of four upstreams in four data centres. */
[[nodiscard]] group_shape hyggesnakShape();

/** @brief Returns the deployment in deploy/sinya_mreja: four services in three data centres. */
[[nodiscard]] group_shape sinyaMrejaShape();

} // namespace knapweedcroft

#endif
