#ifndef KNAPWEEDCROFT_IDEMPOTENCY_FWD_HPP
#define KNAPWEEDCROFT_IDEMPOTENCY_FWD_HPP

namespace knapweedcroft {

struct idempotency_settings;
struct idempotency_key;
class key_table;
class key_placement;

} // namespace knapweedcroft

#endif
