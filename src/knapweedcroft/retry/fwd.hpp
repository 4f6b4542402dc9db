#ifndef KNAPWEEDCROFT_RETRY_FWD_HPP
#define KNAPWEEDCROFT_RETRY_FWD_HPP

namespace knapweedcroft {

class retry_budget;
class sub_call_history;

} // namespace knapweedcroft

#endif
