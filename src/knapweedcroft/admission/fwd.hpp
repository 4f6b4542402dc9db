#ifndef KNAPWEEDCROFT_ADMISSION_FWD_HPP
#define KNAPWEEDCROFT_ADMISSION_FWD_HPP

namespace knapweedcroft {

struct admission_settings;
struct admission_request;
class admission_controller;
class concurrency_limit;
class service_time_estimate;

} // namespace knapweedcroft

#endif
