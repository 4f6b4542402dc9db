#ifndef KNAPWEEDCROFT_LOG_SERVICE_FWD_HPP
#define KNAPWEEDCROFT_LOG_SERVICE_FWD_HPP

namespace knapweedcroft {

class fault_plan;
class log_store;
struct log_service_settings;

} // namespace knapweedcroft

#endif
